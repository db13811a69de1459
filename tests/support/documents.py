"""Small configuration documents for tests."""

from __future__ import annotations

import msgspec

from tinrudder.node.configuration_service.messages import RawResource, ResourceDocument
from tinrudder.node.resources.model import Kind


def resource(kind: Kind | str, name: str, generation: int = 1, **spec: object) -> RawResource:
    return RawResource(str(kind), name, generation, msgspec.Raw(msgspec.json.encode(spec)))


def document(revision: int, *resources: RawResource, count: int | None = None) -> ResourceDocument:
    return ResourceDocument(revision, resources, count)


def tenant(name: str, generation: int = 1, *, weight: int = 1, key: str = "") -> RawResource:
    """Return a tenant; weight 0 makes it invalid."""
    credentials = [{"key_id": key, "secret_sha256": "0" * 64}] if key else []
    return resource(Kind.TENANT, name, generation, weight=weight, credentials=credentials)


def small_deployment() -> tuple[RawResource, ...]:
    """Return one valid resource of every kind."""
    shard = {"shard": "s0", "owner": "acme", "backends": ["b0"]}
    return (
        tenant("acme", key="acme-key"),
        tenant("rival", key="rival-key"),
        resource(Kind.SERVICE, "search", region="r", tenants=["acme"]),
        resource(
            Kind.BACKEND, "b0", service="search", host="127.0.0.1", port=9000, zone="a", slots=2
        ),
        resource(
            Kind.INDEX,
            "search.rows",
            service="search",
            versions=[{"version": 1, "shards": [shard]}],
        ),
        resource(Kind.QUERY_RULE, "search", service="search"),
    )
