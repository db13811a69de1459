"""Small deployments for experiments and the arrivals of their queries."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field, replace

import msgspec

from tinrudder.node.resources.model import (
    Kind,
    Preference,
    Priority,
    QueryRuleSpec,
    ServiceSpec,
)
from tinrudder_lab.datasets import ENTITIES, entity_name
from tinrudder_lab.deployment import (
    ARENA_REGION,
    ARENA_ZONES,
    PLATA_OWNERS,
    PLATA_REGION,
    PLATA_ZONES,
    Deployment,
    QueryKind,
    ServiceShape,
    add_service,
    add_tenant,
    build_deployment,
    caller_of,
)

FIRST_PORT = 9000
PAGE_LIMIT = 20
WIDE_SHARDS = 130
CALLER_TIMEOUT_S = 6.0
EARLY_DISCONNECT_S = 0.02
HALF_SIGMA_SQUARED = 0.08
"""Half the squared sigma of the log-normal service time; the mean is the median times exp of it."""
UNAUTHORIZED_RATE = 0.5
PURCHASE_DEADLINE_MS = 600
LONGEST_COPY_DELAY_S = 2.5


@dataclass(frozen=True, slots=True)
class Zone:
    """A zone and its region."""

    name: str
    region: str


@dataclass(frozen=True, slots=True)
class Stream:
    """Open-loop arrivals of one kind of query.

    :param rate: queries per second, Poisson; :param start_s: when the stream starts.
    :param end_s: when the stream ends, ``None`` for the end of the run.
    :param pages: number of pages of a listing that a caller reads in sequence.
    :param retries: how often a caller retries a query that got no answer.
    :param early_disconnects: share of callers that disconnect after ``EARLY_DISCONNECT_S``.
    :param duplicated: for purchases, the share submitted twice; otherwise ``None``.
    """

    kind: QueryKind
    rate: float
    start_s: float = 0.0
    end_s: float | None = None
    pages: int = 1
    retries: int = 0
    early_disconnects: float = 0.0
    duplicated: float | None = None


@dataclass(frozen=True, slots=True)
class Arrival:
    """One query of the trace, drawn before the run so that all policies get the same trace.

    :param node_draw: random number, 0 to 1, that selects one of the nodes available at the time.
    :param copies: submissions of a request that must run at most once, 0 for a query.
    :param copy_delay_s: delay of the second copy after the first, seconds.
    """

    at: float
    kind: QueryKind
    match: dict[str, str]
    pages: int
    retries: int
    timeout_s: float
    node_draw: float
    copies: int = 0
    copy_delay_s: float = 0.0


@dataclass(slots=True)
class Topology:
    """The zones, deployment and arrivals of a scenario."""

    zones: tuple[Zone, ...]
    nodes_per_zone: int
    deployment: Deployment
    streams: list[Stream] = field(default_factory=list)
    service_median_s: float = 0.004
    shards: int = 1

    def all_streams(self, rate: float, *, pages: int = 1, early_disconnects: float = 0.0) -> None:
        """Set one stream of ``rate`` queries per second for each kind of query."""
        self.streams = [
            Stream(kind, rate, pages=pages, early_disconnects=early_disconnects)
            for kind in self.deployment.query_kinds
        ]

    def add_unauthorized_stream(self) -> None:
        """Add a stream in which one tenant queries the index of another."""
        kinds = self.deployment.query_kinds
        kind = replace(kinds[0], caller=kinds[1].caller)
        self.streams.append(Stream(kind, UNAUTHORIZED_RATE))

    def capacity(self, service: str) -> float:
        """Return how many queries per second a service's back ends can answer."""
        specs = self.deployment.backends.values()
        slots = sum(spec.slots for spec in specs if spec.service == service)
        mean_s = self.service_median_s * math.exp(HALF_SIGMA_SQUARED)
        return slots / mean_s / self.shards


def draw_trace(streams: list[Stream], duration_s: float, source: random.Random) -> list[Arrival]:
    """Return the arrivals of all streams in time order."""
    trace: list[Arrival] = []
    for stream in streams:
        now = stream.start_s
        end = duration_s if stream.end_s is None else stream.end_s
        while True:
            now += source.expovariate(stream.rate)
            if now >= end:
                break
            trace.append(_draw_arrival(stream, now, source))
    trace.sort(key=lambda arrival: arrival.at)
    return trace


def _draw_arrival(stream: Stream, at: float, source: random.Random) -> Arrival:
    """Return one random arrival of a stream."""
    timeout_s = (
        EARLY_DISCONNECT_S if source.random() < stream.early_disconnects else CALLER_TIMEOUT_S
    )
    draw = source.random()
    if stream.duplicated is not None:
        copies = 2 if source.random() < stream.duplicated else 1
        delay_s = max(0.0, source.uniform(-LONGEST_COPY_DELAY_S, LONGEST_COPY_DELAY_S))
        return Arrival(at, stream.kind, {}, 1, 0, timeout_s, draw, copies, delay_s)
    match = {}
    if source.random() < 0.5:
        match = {"entity": entity_name("entity", source.randrange(ENTITIES))}
    return Arrival(at, stream.kind, match, stream.pages, stream.retries, timeout_s, draw)


def both_deployments(rate: float, *, pages: int = 1, early_disconnects: float = 0.0) -> Topology:
    """Return both users' deployments with one service of each shape: 7 nodes, 29 back ends."""
    zones = [Zone(name, PLATA_REGION) for name in PLATA_ZONES]
    zones += [Zone(name, ARENA_REGION) for name in ARENA_ZONES]
    deployment = build_deployment(FIRST_PORT, services_per_shape=1)
    topology = Topology(tuple(zones), 1, deployment)
    topology.all_streams(rate, pages=pages, early_disconnects=early_disconnects)
    topology.add_unauthorized_stream()
    return topology


def add_purchases(deployment: Deployment) -> QueryKind:
    """Add a rule for requests that must run at most once; return their kind."""
    rule = QueryRuleSpec(
        service="gate", hard_deadline_ms=PURCHASE_DEADLINE_MS, repeatable=False, max_rows=1
    )
    deployment.add(Kind.QUERY_RULE, "gate-purchase", rule)
    gate = next(kind for kind in deployment.query_kinds if kind.rule == "gate")
    return replace(gate, rule="gate-purchase")


def with_purchases(rate: float, purchases: float) -> Topology:
    """Return both deployments with purchases, some of which are submitted twice.

    :param purchases: requests per second that must run at most once.
    """
    topology = both_deployments(rate, pages=2, early_disconnects=0.05)
    buying = add_purchases(topology.deployment)
    topology.streams.append(Stream(buying, purchases, duplicated=0.3, early_disconnects=0.05))
    return topology


def wide_service(rate: float) -> Topology:
    """Return one service of 130 shards on 130 back ends: 4 nodes, fan-out 130."""
    rule = QueryRuleSpec(
        service="placeholder",
        preference=Preference.COVERAGE,
        soft_deadline_ms=1000,
        hard_deadline_ms=1000,
    )
    shape = ServiceShape(
        "route-planning", "stock", "plata-planners", 1, WIDE_SHARDS, 5, 70, WIDE_SHARDS, rule
    )
    deployment = Deployment()
    add_tenant(deployment, shape.tenant)
    add_service(deployment, shape, shape.name, PLATA_REGION, PLATA_ZONES, PLATA_OWNERS, FIRST_PORT)
    zones = tuple(Zone(name, PLATA_REGION) for name in PLATA_ZONES)
    topology = Topology(zones, 1, deployment)
    topology.all_streams(rate)
    return topology


@dataclass(frozen=True, slots=True)
class TenantLoad:
    """A tenant of the shared service.

    :param load: its arrival rate as a share of the service's capacity.
    """

    name: str
    weight: int
    load: float
    priority: Priority = Priority.INTERACTIVE
    retries: int = 0


SHARED_SERVICE = "shared"
SHARED_BACKENDS = 8
SHARED_SHARDS = 16
SHARED_SLOTS = 5
SHARED_SERVICE_S = 0.01


def shared_service(tenants: tuple[TenantLoad, ...], deadline_ms: int) -> Topology:
    """Return one service shared by several tenants: 2 nodes, 8 back ends, fan-out 16."""
    rule = QueryRuleSpec(
        service=SHARED_SERVICE,
        preference=Preference.COVERAGE,
        soft_deadline_ms=deadline_ms,
        hard_deadline_ms=deadline_ms,
    )
    shape = ServiceShape(
        SHARED_SERVICE, "stock", "nobody", 1, SHARED_BACKENDS, SHARED_SLOTS, 70, SHARED_SHARDS, rule
    )
    zones = tuple(Zone(name, PLATA_REGION) for name in PLATA_ZONES[:2])
    names = tuple(zone.name for zone in zones)
    deployment = Deployment()
    add_service(deployment, shape, SHARED_SERVICE, PLATA_REGION, names, PLATA_OWNERS, FIRST_PORT)
    index = deployment.query_kinds.pop().index
    _share_service(deployment, tenants)
    topology = Topology(zones, 1, deployment, [], SHARED_SERVICE_S, SHARED_SHARDS)
    for priority in Priority:
        spec = msgspec.structs.replace(rule, priority=priority)
        deployment.add(Kind.QUERY_RULE, f"shared-{priority.value}", spec)
    for tenant in tenants:
        add_tenant(deployment, tenant.name, tenant.weight)
        rule_name = f"shared-{tenant.priority.value}"
        kind = QueryKind(caller_of(tenant.name), index, rule_name, PLATA_REGION)
        deployment.query_kinds.append(kind)
        rate = tenant.load * topology.capacity(SHARED_SERVICE)
        if rate:
            topology.streams.append(Stream(kind, rate, retries=tenant.retries))
    return topology


def _share_service(deployment: Deployment, tenants: tuple[TenantLoad, ...]) -> None:
    """Give all tenants access to the service."""
    names = tuple(tenant.name for tenant in tenants)
    spec = ServiceSpec(region=PLATA_REGION, tenants=names)
    deployment.replace(Kind.SERVICE, SHARED_SERVICE, spec)
