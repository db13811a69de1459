"""The scenarios, each composed of a topology, arrivals and a few fault primitives.

Node names are ``ZONE-nNUMBER``, back ends ``SERVICE-bNUMBER``.  Times are seconds after the
nodes' warm-up.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from tinrudder.node.resources.model import Priority
from tinrudder_lab import faults
from tinrudder_lab.deployment import ARENA_REGION, ARENA_ZONES, PLATA_REGION, PLATA_ZONES
from tinrudder_lab.faults import Step
from tinrudder_lab.random_faults import random_steps
from tinrudder_lab.topology import (
    TenantLoad,
    Topology,
    both_deployments,
    shared_service,
    wide_service,
    with_purchases,
)

MakeSteps = Callable[[random.Random], list[Step]]
ZONES = frozenset(PLATA_ZONES + ARENA_ZONES)
CUT_ZONE = frozenset({"chm-a"})
WEIGHTS = {"bronze": 1, "silver": 2, "gold": 4, "platinum": 8}
ARENA_NODES = tuple(f"{zone}-n0" for zone in ARENA_ZONES)
PLATA_NODES = tuple(f"{zone}-n0" for zone in PLATA_ZONES)
ALL_WEIGHTS = sum(WEIGHTS.values())
NOISY_TENANT = "bronze"
FAULT_SEEDS = 5
LOAD_SEEDS = 2
"""Scenarios with many queries take longest and have few faults that vary with the seed."""
EVERYTHING_SEEDS = 200


def _no_faults(_: random.Random) -> list[Step]:
    return []


@dataclass(frozen=True, slots=True)
class Scenario:
    """One experiment.

    :param proof_seeds: number of seeds that ``make proof`` runs.
    """

    name: str
    what: str
    topology: Callable[[], Topology]
    duration_s: float
    steps: MakeSteps = _no_faults
    proof_seeds: int = FAULT_SEEDS


def _tenants(total: float, noisy_factor: float) -> tuple[TenantLoad, ...]:
    """Return tenants with their shares of the ``total`` load; one has a multiple of its share."""
    loads = {name: total * weight / ALL_WEIGHTS for name, weight in WEIGHTS.items()}
    loads[NOISY_TENANT] *= noisy_factor
    return tuple(TenantLoad(name, weight, loads[name]) for name, weight in WEIGHTS.items())


def _overload(retries: int, load: float) -> Topology:
    interactive = TenantLoad("desk", 1, 0.5, Priority.INTERACTIVE, retries)
    batch = TenantLoad("finance", 1, load - 0.5, Priority.BATCH, retries)
    return shared_service((interactive, batch), 400)


def _straggler(_: random.Random) -> list[Step]:
    return [
        Step(0.0, faults.straggling_calls(0.01, 20.0)),
        Step(0.0, faults.slow_backend("route-planning-b7", 20.0)),
    ]


def _replica_loss(_: random.Random) -> list[Step]:
    return [
        Step(2.0, faults.kill_backend("route-planning-0-b0")),
        Step(3.0, faults.kill_backend("finance-b3")),
        Step(4.0, faults.kill_backend("gate-b1")),
    ]


def _cold_start(_: random.Random) -> list[Step]:
    return [
        Step(2.0, faults.kill_backend("finance-b0", 2.0)),
        Step(2.0, faults.kill_backend("gate-b0", 2.0)),
        Step(3.0, faults.kill_backend("telemetry-b2", 2.0)),
    ]


def _lying_health(_: random.Random) -> list[Step]:
    return [
        Step(0.0, faults.lag_load(2.0)),
        Step(1.0, faults.misreport_load("finance-b1", 0, 10.0)),
        Step(1.0, faults.misreport_load("gate-b2", 0, 10.0)),
    ]


def _versions(move_shards: bool) -> MakeSteps:
    def steps(_: random.Random) -> list[Step]:
        indexes = ("finance.ledger", "gate.orders", "telemetry.faults")
        return [
            Step(1.0 + 2.5 * number, faults.new_version(index, 1.5, move_shards=move_shards))
            for number, index in enumerate(indexes * 2)
        ]

    return steps


def _drain(_: random.Random) -> list[Step]:
    return [
        Step(1.0, faults.platform_down(None, 4.0)),
        Step(2.0, faults.drain_by_answer("finance-b0")),
        Step(6.0, faults.drain_by_configuration("telemetry-b1")),
    ]


def _rolling_stop(_: random.Random) -> list[Step]:
    names = [f"{zone}-n0" for zone in (*PLATA_ZONES, *ARENA_ZONES)]
    steps = [Step(0.0, faults.straggling_calls(0.02, 20.0))]
    for number, name in enumerate(names):
        steps.append(Step(1.0 + 3.0 * number, faults.stop_node(name)))
    return steps


def _config_stale(_: random.Random) -> list[Step]:
    return [
        Step(1.0, faults.change_configuration("finance-b1")),
        Step(4.0, faults.platform_stale(None, 1, 6.0)),
        Step(6.0, faults.crash_node("mvd-b-n0")),
        Step(12.0, faults.change_configuration("finance-b2")),
    ]


def _config_down(_: random.Random) -> list[Step]:
    others = ZONES - {"mvd-a"}
    return [
        Step(0.5, faults.platform_down(others, 15.0)),
        Step(1.0, faults.change_configuration("finance-b1")),
        Step(5.0, faults.platform_down(None, 10.0)),
        Step(7.0, faults.crash_node("chm-b-n0")),
    ]


def _zone_cut(_: random.Random) -> list[Step]:
    return [
        Step(1.0, faults.cut(CUT_ZONE, ZONES - CUT_ZONE, 5.0, both=True)),
        Step(1.0, faults.platform_down(CUT_ZONE, 5.0)),
        Step(2.0, faults.change_configuration("finance-b1")),
        Step(2.5, faults.drain_by_configuration("storefront-0-b1")),
        Step(8.0, faults.cut(frozenset({"mvd-a"}), frozenset({"mvd-b"}), 3.0, both=False)),
    ]


def _region_cut(_: random.Random) -> list[Step]:
    regions = (frozenset({PLATA_REGION}), frozenset({ARENA_REGION}))
    return [
        Step(1.0, faults.cut(*regions, 6.0, both=True)),
        Step(2.0, faults.change_configuration("gate-b1")),
        Step(3.0, faults.drain_by_answer("gate-b0")),
    ]


def _paused_node(_: random.Random) -> list[Step]:
    return [
        Step(1.0, faults.pause_node("mvd-a-n0", 1.0)),
        Step(2.0, faults.pause_node("chm-a-n0", 8.0)),
        Step(3.0, faults.pause_node("mvd-b-n0", 20.0)),
        Step(4.0, faults.change_configuration("finance-b1")),
        Step(5.0, faults.drain_by_answer("gate-b0")),
    ]


def _duplicate_purchase(_: random.Random) -> list[Step]:
    steps = [
        Step(1.0, faults.cut(CUT_ZONE, ZONES - CUT_ZONE, 2.0, both=True)),
        Step(4.0, faults.slow_network(0.1, 15.5)),
    ]
    for number in range(3):
        steps.append(Step(20.0, faults.slow_backend(f"gate-b{number}", 20.0, 1.5)))
    for at in (20.5, 21.2):
        steps.append(Step(at, faults.kill_backend("gate-b1", 0.3)))
    for number, name in enumerate(ARENA_NODES):
        pause = faults.pause_node(name, 4.0, clock_frozen=True)
        steps.append(Step(5.0 + 5.0 * number, pause))
    for name in (*ARENA_NODES[1:], *PLATA_NODES[:2]):
        steps.append(Step(22.0, faults.crash_node(name, 0.3)))
    return steps


SCENARIOS = (
    Scenario(
        "steady",
        "no fault; one service, fan-out 130 over 130 back ends, 4 nodes",
        lambda: wide_service(rate=100.0),
        10.0,
        proof_seeds=LOAD_SEEDS,
    ),
    Scenario(
        "straggler",
        "as steady, 1% of calls 20 times slower and one replica 20 times slower",
        lambda: wide_service(rate=100.0),
        10.0,
        _straggler,
        proof_seeds=LOAD_SEEDS,
    ),
    Scenario(
        "replica-loss",
        "three back ends die; every shard keeps a replica",
        lambda: both_deployments(rate=20.0),
        10.0,
        _replica_loss,
        proof_seeds=LOAD_SEEDS,
    ),
    Scenario(
        "cold-start",
        "three back ends die and restart cold two seconds later",
        lambda: both_deployments(rate=20.0),
        10.0,
        _cold_start,
        proof_seeds=LOAD_SEEDS,
    ),
    Scenario(
        "lying-health",
        "all load reports lag 2 s, two slow back ends report that they are idle",
        lambda: both_deployments(rate=20.0),
        10.0,
        _lying_health,
        proof_seeds=LOAD_SEEDS,
    ),
    Scenario(
        "repartition",
        "six new index versions with moved shards while listings are paged",
        lambda: both_deployments(rate=10.0, pages=3),
        18.0,
        _versions(move_shards=True),
    ),
    Scenario(
        "version-change",
        "six new index versions, the old ones gone 1.5 s later, while listings are paged",
        lambda: both_deployments(rate=10.0, pages=3),
        18.0,
        _versions(move_shards=False),
    ),
    Scenario(
        "noisy-tenant",
        "four tenants with weights 1:2:4:8 at 0.7 of capacity, the first at 10 times its share",
        lambda: shared_service(_tenants(0.7, 10.0), 1000),
        10.0,
        proof_seeds=LOAD_SEEDS,
    ),
    Scenario(
        "fair-shares",
        "four tenants with weights 1:2:4:8, each alone at twice the capacity",
        lambda: shared_service(
            tuple(TenantLoad(name, weight, 2.0) for name, weight in WEIGHTS.items()), 1000
        ),
        8.0,
        proof_seeds=LOAD_SEEDS,
    ),
    Scenario(
        "overload",
        "twice the capacity: interactive 0.5, batch 1.5",
        lambda: _overload(retries=0, load=2.0),
        10.0,
        proof_seeds=LOAD_SEEDS,
    ),
    Scenario(
        "retry-storm",
        "1.2 times the capacity, callers retry up to 3 times, all back ends slow for 2 s",
        lambda: _overload(retries=3, load=1.2),
        10.0,
        lambda _: [Step(3.0, faults.slow_everything(3.0, 2.0))],
        proof_seeds=LOAD_SEEDS,
    ),
    Scenario(
        "drain",
        "one back end drains by its answers while the platform is down, one by configuration",
        lambda: both_deployments(rate=20.0),
        12.0,
        _drain,
    ),
    Scenario(
        "rolling-stop",
        "every node is stopped and replaced in turn while 2% of calls are 20 times slower",
        lambda: both_deployments(rate=20.0),
        24.0,
        _rolling_stop,
    ),
    Scenario(
        "config-stale",
        "the platform is restored from an old copy and a node starts meanwhile",
        lambda: both_deployments(rate=5.0),
        15.0,
        _config_stale,
    ),
    Scenario(
        "config-down",
        "one node has a new revision when the platform goes down; a node starts meanwhile",
        lambda: both_deployments(rate=5.0),
        16.0,
        _config_down,
    ),
    Scenario(
        "zone-cut",
        "a zone is cut off both ways, also from the platform; later one way between two zones",
        lambda: both_deployments(rate=10.0),
        13.0,
        _zone_cut,
    ),
    Scenario(
        "region-cut",
        "the two regions cannot reach each other for 6 s",
        lambda: both_deployments(rate=10.0),
        10.0,
        _region_cut,
    ),
    Scenario(
        "paused-node",
        "three nodes pause for 1, 8 and 20 s while a back end drains and the configuration changes",
        lambda: both_deployments(rate=5.0),
        26.0,
        _paused_node,
    ),
    Scenario(
        "duplicate-purchase",
        "purchases submitted twice and retried while nodes are paused, cut off and restarted",
        lambda: with_purchases(rate=2.0, purchases=20.0),
        27.0,
        _duplicate_purchase,
    ),
    Scenario(
        "everything",
        "random faults by seed, some concurrent or repeated, with purchases among the queries",
        lambda: with_purchases(rate=5.0, purchases=5.0),
        12.0,
        random_steps,
        proof_seeds=EVERYTHING_SEEDS,
    ),
)

BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}
