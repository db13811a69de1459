"""The scenarios: each a topology, arrivals and a few fault primitives.

Node names are ``ZONE-nNUMBER``, back ends ``SERVICE-bNUMBER``.  The first faults strike after
the nodes have warmed up.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from tinrudder_lab import faults
from tinrudder_lab.faults import Step
from tinrudder_lab.topology import Topology, both_deployments, wide_service

MakeSteps = Callable[[random.Random], list[Step]]


def _no_faults(_: random.Random) -> list[Step]:
    return []


@dataclass(frozen=True, slots=True)
class Scenario:
    """One experiment.

    :param with_baseline: whether the simplest policy runs too, on the same seed and trace.
    """

    name: str
    what: str
    topology: Callable[[], Topology]
    duration_s: float
    steps: MakeSteps = _no_faults
    with_baseline: bool = False


def _straggler_steps(_: random.Random) -> list[Step]:
    return [
        Step(0.0, faults.straggling_calls(0.01, 20.0)),
        Step(0.0, faults.slow_backend("route-planning-b7", 20.0)),
    ]


SCENARIOS = (
    Scenario(
        "steady",
        "no fault; one service, fan-out 130 over 130 back ends, 4 nodes",
        lambda: wide_service(rate=100.0),
        10.0,
        with_baseline=True,
    ),
    Scenario(
        "straggler",
        "as steady, 1% of calls 20 times slower and one bad replica",
        lambda: wide_service(rate=100.0),
        10.0,
        _straggler_steps,
        with_baseline=True,
    ),
    Scenario(
        "drain",
        "two back ends drain, one by its answers, one by configuration",
        lambda: both_deployments(rate=20.0),
        12.0,
        lambda _: [
            Step(2.0, faults.drain_by_answer("finance-b0")),
            Step(3.0, faults.drain_by_configuration("telemetry-b1")),
        ],
    ),
)

BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}
