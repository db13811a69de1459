"""Converts calls at back ends and index versions of the platform into history events."""

from __future__ import annotations

import msgspec

from tinrudder.node.backends.messages import SearchRequest
from tinrudder.node.configuration_service.messages import ResourceDocument
from tinrudder.node.resources.model import IndexSpec, Kind, ServiceSpec
from tinrudder_lab.history import CallSeen, CallStage, VersionPublished, operation_name


def call_events(
    at: float, backend: str, stage: CallStage, request: SearchRequest, node: str
) -> list[CallSeen]:
    """Return one event for each shard of a call."""
    return [
        CallSeen(
            at,
            backend,
            node,
            stage,
            request.query_id,
            request.index,
            request.version,
            shard,
            operation_name(request),
        )
        for shard in request.shards
    ]


def version_events(at: float, document: ResourceDocument) -> list[VersionPublished]:
    """Return one event for each index version in a document."""
    events = []
    specs = {(raw.kind, raw.name): raw.spec for raw in document.resources}
    for (kind, name), raw in specs.items():
        if kind != Kind.INDEX.value:
            continue
        index = msgspec.json.decode(raw, type=IndexSpec)
        service_spec = specs[Kind.SERVICE.value, index.service]
        service = msgspec.json.decode(service_spec, type=ServiceSpec)
        for version in index.versions:
            shards = tuple(shard.shard for shard in version.shards)
            events.append(VersionPublished(at, name, version.version, shards, service.tenants))
    return events
