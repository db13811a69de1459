"""Both users' deployments at their current sizes: resources, members and caller credentials."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

import msgspec

from tinrudder.node.configuration_service.messages import PlatformMember, RawResource
from tinrudder.node.resources.model import (
    AnySpec,
    BackendSpec,
    Credential,
    IndexSpec,
    IndexVersionSpec,
    Kind,
    Preference,
    Priority,
    QueryRuleSpec,
    ServiceSpec,
    ShardSpec,
    TenantSpec,
)

LOOPBACK = "127.0.0.1"
PLATA_REGION = "montevideo"
PLATA_ZONES = ("mvd-a", "mvd-b", "mvd-c", "mvd-d")
ARENA_REGION = "swiss-middle"
ARENA_ZONES = ("chm-a", "chm-b", "chm-c")
PLATA_OWNERS = ("centro", "pocitos", "cordon", "prado")
OPERATION_DATASETS = ("ledger", "seats")
OPERATION_RULE_SUFFIX = "-post"
"""Ledgers and seat sales also accept operations, under the rule ``SERVICE-post``."""

ARENA_OWNERS = ("alpen-tickets", "limmat-seats", "aare-events", "rhein-pass")


@dataclass(frozen=True, slots=True)
class ServiceShape:
    """A group of identical services.

    :param count: number of services; :param backends: number of back ends of each.
    :param shards: shards of each index; every shard has two replicas if there are two back ends.
    """

    name: str
    dataset: str
    tenant: str
    count: int
    backends: int
    slots: int
    connections: int
    shards: int
    rule: QueryRuleSpec


@dataclass(frozen=True, slots=True)
class Caller:
    """A tenant's plain-text key, as its clients store it."""

    tenant: str
    key_id: str
    secret: str

    @property
    def authorization(self) -> str:
        """Return the header value."""
        return f"Bearer {self.key_id}.{self.secret}"


@dataclass(frozen=True, slots=True)
class QueryKind:
    """One kind of query a caller sends."""

    caller: Caller
    index: str
    rule: str
    region: str


@dataclass(slots=True)
class Deployment:
    """The deployed resources, back ends, members and kinds of queries of a run."""

    resources: list[RawResource] = field(default_factory=list)
    backends: dict[str, BackendSpec] = field(default_factory=dict)
    query_kinds: list[QueryKind] = field(default_factory=list)
    members: list[PlatformMember] = field(default_factory=list)

    def add(self, kind: Kind, name: str, spec: AnySpec) -> None:
        """Add one resource at generation 1."""
        raw = msgspec.Raw(msgspec.json.encode(spec))
        self.resources.append(RawResource(kind.value, name, 1, raw))

    def replace(self, kind: Kind, name: str, spec: AnySpec) -> None:
        """Replace the specification of a resource; only valid before a run."""
        self.resources = [raw for raw in self.resources if (raw.kind, raw.name) != (kind, name)]
        self.add(kind, name, spec)


def _rule(
    preference: Preference, priority: Priority, soft_ms: int, hard_ms: int, minimum: float
) -> QueryRuleSpec:
    return QueryRuleSpec(
        service="placeholder",
        priority=priority,
        preference=preference,
        soft_deadline_ms=soft_ms,
        hard_deadline_ms=hard_ms,
        minimum_coverage=minimum,
    )


_PLANNING = _rule(Preference.LATENCY, Priority.PLANNING, 80, 300, 0.9)
_INTERACTIVE = _rule(Preference.LATENCY, Priority.INTERACTIVE, 60, 200, 0.9)
_BATCH = _rule(Preference.COVERAGE, Priority.BATCH, 2000, 5000, 1.0)
_LISTING = _rule(Preference.COVERAGE, Priority.INTERACTIVE, 150, 300, 0.5)
_OPERATION = msgspec.structs.replace(
    _rule(Preference.COVERAGE, Priority.INTERACTIVE, 2000, 2000, 1.0), repeatable=False
)
_GATE = _rule(Preference.COVERAGE, Priority.INTERACTIVE, 150, 300, 1.0)

PLATA_SHAPES = (
    ServiceShape("route-planning", "stock", "plata-planners", 8, 2, 5, 70, 16, _PLANNING),
    ServiceShape("price-boards", "stock", "plata-boards", 12, 2, 5, 70, 16, _INTERACTIVE),
    ServiceShape("finance", "ledger", "plata-finance", 1, 10, 2, 110, 40, _BATCH),
    ServiceShape("telemetry", "faults", "plata-technicians", 1, 5, 2, 110, 20, _INTERACTIVE),
)
ARENA_SHAPES = (
    ServiceShape("storefront", "seats", "arena-fans", 8, 2, 2, 70, 16, _LISTING),
    ServiceShape("reseller", "events", "arena-resellers", 12, 2, 2, 70, 16, _LISTING),
    ServiceShape("gate", "orders", "arena-gate", 1, 3, 3, 110, 18, _GATE),
    ServiceShape("member-ledger", "ledger", "arena-members", 1, 3, 3, 110, 18, _BATCH),
)


def caller_of(tenant: str) -> Caller:
    """Return a tenant's lab credential."""
    return Caller(tenant, f"{tenant}-key", f"secret-of-{tenant}")


def build_deployment(first_backend_port: int, *, services_per_shape: int = 12) -> Deployment:
    """Return both deployments.

    :param services_per_shape: upper limit of the services built for each shape.
    """
    deployment = Deployment()
    port = first_backend_port
    regions = (
        (PLATA_REGION, PLATA_ZONES, PLATA_SHAPES, PLATA_OWNERS),
        (ARENA_REGION, ARENA_ZONES, ARENA_SHAPES, ARENA_OWNERS),
    )
    for region, zones, shapes, owners in regions:
        for shape in shapes:
            add_tenant(deployment, shape.tenant)
            for number in range(min(shape.count, services_per_shape)):
                name = f"{shape.name}-{number}" if shape.count > 1 else shape.name
                port = add_service(deployment, shape, name, region, zones, owners, port)
    return deployment


def add_tenant(deployment: Deployment, tenant: str, weight: int = 1) -> None:
    """Add a tenant with its lab credential."""
    caller = caller_of(tenant)
    digest = hashlib.sha256(caller.secret.encode()).hexdigest()
    credential = Credential(key_id=caller.key_id, secret_sha256=digest)
    spec = TenantSpec(weight=weight, credentials=(credential,))
    deployment.add(Kind.TENANT, tenant, spec)


def add_service(
    deployment: Deployment,
    shape: ServiceShape,
    name: str,
    region: str,
    zones: tuple[str, ...],
    owners: tuple[str, ...],
    port: int,
) -> int:
    """Add a service with its back ends, index and rule; return the next free port."""
    service = ServiceSpec(
        region=region, tenants=(shape.tenant,), max_connections_per_backend=shape.connections
    )
    deployment.add(Kind.SERVICE, name, service)
    names = [f"{name}-b{number}" for number in range(shape.backends)]
    for number, backend in enumerate(names):
        spec = BackendSpec(
            service=name,
            host=LOOPBACK,
            port=port,
            zone=zones[number % len(zones)],
            slots=shape.slots,
        )
        port += 1
        deployment.backends[backend] = spec
        deployment.add(Kind.BACKEND, backend, spec)
    index = f"{name}.{shape.dataset}"
    deployment.add(Kind.INDEX, index, _index_spec(name, names, owners, shape.shards))
    rule = msgspec.structs.replace(shape.rule, service=name)
    deployment.add(Kind.QUERY_RULE, name, rule)
    if shape.dataset in OPERATION_DATASETS:
        operations = msgspec.structs.replace(_OPERATION, service=name)
        deployment.add(Kind.QUERY_RULE, name + OPERATION_RULE_SUFFIX, operations)
    deployment.query_kinds.append(QueryKind(caller_of(shape.tenant), index, name, region))
    return port


def _index_spec(
    service: str, backends: list[str], owners: tuple[str, ...], shard_count: int
) -> IndexSpec:
    shards = []
    for number in range(shard_count):
        replicas = tuple(backends[(number + step) % len(backends)] for step in range(2))
        owner = owners[number % len(owners)]
        shards.append(ShardSpec(shard=f"s{number:03d}", owner=owner, backends=replicas))
    version = IndexVersionSpec(version=1, shards=tuple(shards))
    return IndexSpec(service=service, versions=(version,))
