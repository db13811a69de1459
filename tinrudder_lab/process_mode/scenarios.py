"""The scenarios that run with real processes; names as in the simulator.

Times are seconds after the callers began.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from tinrudder_lab.deployment import ARENA_ZONES, PLATA_ZONES
from tinrudder_lab.process_mode import faults
from tinrudder_lab.process_mode.faults import Fault, Step

PLATA_NODES = tuple(f"{zone}-n0" for zone in PLATA_ZONES)
ARENA_NODES = tuple(f"{zone}-n0" for zone in ARENA_ZONES)
NODES = PLATA_NODES + ARENA_NODES
KILLED = ("route-planning-0-b0", "finance-b3", "gate-b1")
DRAINED = ("finance-b0", "telemetry-b1", "member-ledger-b0", "storefront-0-b1")
CHANGED = ("finance-b5", "telemetry-b3", "gate-b0")
FEWEST_FAULTS = 3
MOST_FAULTS = 6
LATEST_S = 8.0

MakeSteps = Callable[[random.Random], list[Step]]


def _no_faults(_: random.Random) -> list[Step]:
    return []


@dataclass(frozen=True, slots=True)
class ProcessScenario:
    """One experiment on real processes.

    :param rate: queries a second of each of the eight kinds.
    :param purchases: operations a second, each submitted twice at once.
    :param victims: back ends that may be killed.
    """

    name: str
    duration_s: float
    steps: MakeSteps = _no_faults
    rate: float = 5.0
    purchases: float = 0.0
    victims: tuple[str, ...] = ()


def _replica_loss(_: random.Random) -> list[Step]:
    return [Step(2.0 + n, faults.kill_backend(name)) for n, name in enumerate(KILLED)]


def _drain(_: random.Random) -> list[Step]:
    return [
        Step(1.0, faults.platform_down(3.0)),
        Step(2.0, faults.drain_by_answer("finance-b0")),
        Step(5.5, faults.drain_by_configuration("telemetry-b1")),
    ]


def _rolling_stop(_: random.Random) -> list[Step]:
    return [
        Step(0.5, faults.stop_nodes(*PLATA_NODES)),
        Step(0.5, faults.stop_nodes(*ARENA_NODES)),
    ]


def _config_stale(_: random.Random) -> list[Step]:
    return [
        Step(0.5, faults.change_configuration("finance-b5")),
        Step(3.0, faults.platform_stale(6.0)),
        Step(4.5, faults.crash_node("mvd-b-n0", 0.5)),
        Step(11.0, faults.change_configuration("gate-b0")),
    ]


def _config_down(_: random.Random) -> list[Step]:
    return [
        Step(0.5, faults.change_configuration("finance-b5", then_kill_platform_s=9.0)),
        Step(4.0, faults.crash_node("chm-b-n0", 0.5)),
    ]


def _paused_node(source: random.Random) -> list[Step]:
    middle_s = round(source.uniform(1.0, 8.0), 1)
    return [
        Step(1.0, faults.pause_node("mvd-a-n0", 1.0)),
        Step(2.0, faults.pause_node("chm-a-n0", 8.0)),
        Step(3.0, faults.pause_node("mvd-b-n0", middle_s)),
        Step(4.0, faults.change_configuration("finance-b5")),
        Step(5.0, faults.drain_by_answer("member-ledger-b0")),
    ]


def _duplicate_purchase(source: random.Random) -> list[Step]:
    """Let nodes sleep and crash again and again while operations are in progress."""
    steps = [Step(0.0, faults.slow_backend(name, 20.0)) for name in ("finance-b1", "finance-b2")]
    for number in range(6):
        node = source.choice(NODES)
        seconds = round(source.choice((0.3, 1.0, 3.0)), 1)
        steps.append(Step(0.5 + 1.5 * number, faults.pause_node(node, seconds)))
    steps.append(Step(4.0, faults.crash_node("chm-c-n0", 0.3)))
    steps.append(Step(6.0, faults.crash_node("mvd-d-n0", 0.3)))
    return steps


def _everything(source: random.Random) -> list[Step]:
    steps = []
    for _ in range(source.randint(FEWEST_FAULTS, MOST_FAULTS)):
        steps.append(Step(round(source.uniform(0.0, LATEST_S), 1), _draw(source)))
    return sorted(steps, key=lambda step: step.at)


def _draw(source: random.Random) -> Fault:
    """Return one fault; what is drained is never killed, for it would come back undrained."""
    node = source.choice(NODES)
    seconds = round(source.uniform(0.5, 6.0), 1)
    drained = source.choice(DRAINED)
    drawn = (
        faults.pause_node(node, seconds),
        faults.crash_node(node, min(seconds, 3.0)),
        faults.stop_nodes(node),
        faults.kill_backend(source.choice(KILLED), seconds),
        faults.slow_backend(source.choice(CHANGED), 20.0),
        faults.drain_by_answer(drained),
        faults.drain_by_configuration(drained),
        faults.change_configuration(source.choice(CHANGED)),
        faults.platform_down(seconds),
        faults.platform_stale(seconds),
    )
    return source.choice(drawn)


PROCESS_SCENARIOS = (
    ProcessScenario("steady", 10.0, rate=10.0),
    ProcessScenario("replica-loss", 10.0, _replica_loss, rate=10.0, victims=KILLED),
    ProcessScenario("drain", 10.0, _drain, rate=10.0),
    ProcessScenario("rolling-stop", 14.0, _rolling_stop),
    ProcessScenario("config-stale", 13.0, _config_stale),
    ProcessScenario("config-down", 13.0, _config_down),
    ProcessScenario("paused-node", 13.0, _paused_node),
    ProcessScenario("duplicate-purchase", 12.0, _duplicate_purchase, rate=2.0, purchases=20.0),
    ProcessScenario("everything", 12.0, _everything, purchases=5.0, victims=KILLED),
)

PROCESS_BY_NAME = {scenario.name: scenario for scenario in PROCESS_SCENARIOS}
