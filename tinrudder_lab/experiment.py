"""One run of a scenario under a policy: simulate, check, measure."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

from tinrudder.routing.replica_choice import RandomReplica
from tinrudder_lab.checkers.all import check_history
from tinrudder_lab.measures import figures_of, result_of
from tinrudder_lab.report import Figures, RunResult
from tinrudder_lab.scenarios import Scenario
from tinrudder_lab.sim.run import simulate
from tinrudder_lab.sim.world import World

DEFAULT_POLICY = "default"
BASELINE_POLICY = "baseline"


def run_scenario(scenario: Scenario, seed: int, policy: str, plant: str | None) -> RunResult:
    """Run a scenario in virtual time, with its baseline where it has one."""
    world = simulate_with_policy(scenario, seed, policy)
    baseline: Figures | None = None
    if scenario.with_baseline and policy != BASELINE_POLICY and plant is None:
        baseline = figures_of(simulate_with_policy(scenario, seed, BASELINE_POLICY))
    return result_of(scenario, seed, policy, world, check_history(world.history), baseline)


def simulate_with_policy(scenario: Scenario, seed: int, policy: str) -> World:
    """Run a scenario once under a named policy."""
    with _policy(policy):
        world = simulate(scenario, scenario.topology(), seed)
    if world.errors:
        raise RuntimeError(f"uncaught errors: {world.errors[:3]}")
    return world


@contextmanager
def _policy(name: str) -> Iterator[None]:
    """Wire the simplest policies in for the baseline."""
    if name != BASELINE_POLICY:
        yield
        return
    import random

    with mock.patch("tinrudder.node.LeastLoadedReplica", lambda: RandomReplica(random.Random(1))):
        yield
