"""Faults drawn at random from a seed, for the scenario ``everything``."""

from __future__ import annotations

import random

from tinrudder_lab import faults
from tinrudder_lab.deployment import ARENA_REGION, ARENA_ZONES, PLATA_REGION, PLATA_ZONES
from tinrudder_lab.faults import Fault, Step

NODES = tuple(f"{zone}-n0" for zone in (*PLATA_ZONES, *ARENA_ZONES))
BACKENDS = (
    *(f"finance-b{number}" for number in range(10)),
    *(f"telemetry-b{number}" for number in range(5)),
    *(f"gate-b{number}" for number in range(3)),
    *(f"member-ledger-b{number}" for number in range(3)),
    *(f"{service}-0-b{n}" for service in ("route-planning", "storefront") for n in range(2)),
)
INDEXES = ("finance.ledger", "gate.orders", "telemetry.faults", "storefront-0.seats")
ZONES = frozenset(PLATA_ZONES + ARENA_ZONES)
MIN_FAULTS = 3
MAX_FAULTS = 8
LATEST_FAULT_S = 9.0


def random_steps(source: random.Random) -> list[Step]:
    """Return a few faults at random times; about one in ten is injected again 0.5 s later."""
    steps = []
    for _ in range(source.randint(MIN_FAULTS, MAX_FAULTS)):
        at = round(source.uniform(0.0, LATEST_FAULT_S), 1)
        fault = _draw(source)
        steps.append(Step(at, fault))
        if source.random() < 0.1:
            steps.append(Step(at + 0.5, fault))
    steps.sort(key=lambda step: step.at)
    return steps


def _draw(source: random.Random) -> Fault:
    """Return one random fault with random parameters."""
    node = source.choice(NODES)
    backend = source.choice(BACKENDS)
    index = source.choice(INDEXES)
    zone = source.choice(sorted(ZONES))
    seconds = round(source.uniform(0.5, 6.0), 1)
    both = source.random() < 0.7
    single_zone = frozenset({zone})
    regions = (frozenset({PLATA_REGION}), frozenset({ARENA_REGION}))
    drawn = (
        faults.slow_backend(backend, 20.0, seconds),
        faults.slow_everything(3.0, min(2.0, seconds)),
        faults.straggling_calls(0.02, 20.0),
        faults.kill_backend(backend, seconds),
        faults.misreport_load(backend, 0, 5.0),
        faults.late_cancellation(0.05),
        faults.drain_by_answer(backend),
        faults.drain_by_configuration(backend),
        faults.change_configuration(backend),
        faults.new_version(index, 1.5, move_shards=both),
        faults.pause_node(node, seconds, clock_frozen=not both),
        faults.crash_node(node, min(seconds, 3.0)),
        faults.stop_node(node),
        faults.cut(single_zone, ZONES - single_zone, seconds, both=both),
        faults.cut(*regions, seconds, both=both),
        faults.lossy_datagrams(0.1, 0.05),
        faults.slow_network(0.03, seconds),
        faults.platform_down(None, seconds),
        faults.platform_down(single_zone, seconds),
        faults.platform_stale(None, 1, seconds),
    )
    return source.choice(drawn)
