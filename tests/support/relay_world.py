"""One service on eight simulated nodes, with its coordinator in ``COORDINATOR_ZONE``."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import cache

import msgspec

from tinrudder.cluster.view import Member
from tinrudder.node.decisions.coordinator_set import choose_coordinators
from tinrudder.node.resources.model import Preference, QueryRuleSpec
from tinrudder.peers import PeerAddress
from tinrudder_lab import measures
from tinrudder_lab.deployment import (
    PLATA_OWNERS,
    PLATA_REGION,
    PLATA_ZONES,
    Deployment,
    ServiceShape,
    add_service,
    add_tenant,
)
from tinrudder_lab.faults import Step
from tinrudder_lab.history import QueryEnded
from tinrudder_lab.scenarios import Scenario
from tinrudder_lab.sim.run import simulate
from tinrudder_lab.sim.world import World
from tinrudder_lab.topology import FIRST_PORT, Stream, Topology, Zone

COORDINATOR_ZONE, CUT_ZONE, *BACKEND_ZONES = PLATA_ZONES
NODES_PER_ZONE = 2
SLOTS = 5
DEADLINE_S = 0.3
RATE = 60.0
"""Queries per second."""
DURATION_S = 6.0
RULE = QueryRuleSpec(
    service="placeholder",
    preference=Preference.COVERAGE,
    soft_deadline_ms=300,
    hard_deadline_ms=300,
)


@cache
def service_name() -> str:
    """Return the name of a service whose coordinator is in ``COORDINATOR_ZONE``."""
    return next(
        name
        for name in (f"service-{number}" for number in range(1000))
        if coordinator_of(name).startswith(COORDINATOR_ZONE)
    )


def coordinator_of(service: str) -> str:
    address = PeerAddress("10.0.0.1", 1)
    members = [
        Member(f"{zone}-n{copy}", 1, zone, PLATA_REGION, address)
        for zone in PLATA_ZONES
        for copy in range(NODES_PER_ZONE)
    ]
    return choose_coordinators(service, members, 1).members[0].name


def run(
    make_steps: Callable[[str], list[Step]], rule: QueryRuleSpec = RULE, seed: int = 1
) -> World:
    """Simulate the service with the faults that ``make_steps`` returns.

    :param make_steps: receives the coordinator's name.
    """
    deployment = Deployment()
    name = service_name()
    shape = ServiceShape(name, "stock", "tenant", 1, 2, SLOTS, 70, 16, rule)
    add_tenant(deployment, shape.tenant)
    zones = tuple(BACKEND_ZONES)
    add_service(deployment, shape, name, PLATA_REGION, zones, PLATA_OWNERS, FIRST_PORT)
    topology = Topology(
        tuple(Zone(zone, PLATA_REGION) for zone in PLATA_ZONES), NODES_PER_ZONE, deployment
    )
    topology.streams = [Stream(deployment.query_kinds[0], RATE)]

    def steps(_: random.Random) -> list[Step]:
        return make_steps(coordinator_of(name))

    world = simulate(Scenario("relay", "", lambda: topology, DURATION_S, steps), topology, seed)
    assert world.errors == []
    assert world.history.sent
    return world


def slowest_s(world: World) -> float:
    """Return the longest time in seconds that a caller waited."""
    return max(ended.at - world.history.sent[ended.query].at for ended in ended_queries(world))


def ended_queries(world: World, after: float = 0.0) -> list[QueryEnded]:
    """Return the outcomes of the queries that were sent at ``after`` or later."""
    history = world.history
    assert len(history.ended) == len(history.sent), "every query must have exactly one outcome"
    return [ended for ended in history.ended.values() if history.sent[ended.query].at >= after]


def peak_calls(world: World) -> int:
    """Return the maximum number of concurrent calls in one back end."""
    return measures.peak_calls(world.history)


def relayed_query_count(world: World) -> int:
    """Return the number of queries relayed by the nodes that still run."""
    return sum(host.node.entry.counters.relayed for host in world.hosts.values())


def non_repeatable_rule() -> QueryRuleSpec:
    """Return a rule whose queries must not run twice."""
    return msgspec.structs.replace(RULE, repeatable=False)
