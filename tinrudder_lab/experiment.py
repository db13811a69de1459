"""One run of a scenario under a policy: simulate, check, measure."""

from __future__ import annotations

from collections.abc import Callable

from tinrudder_lab.checkers.all import check_history
from tinrudder_lab.measures import CompanionRuns, figures_of, result_of
from tinrudder_lab.plants import Plant
from tinrudder_lab.policies import BASELINE_POLICY, use_policy
from tinrudder_lab.report import RunResult
from tinrudder_lab.scenarios import Scenario
from tinrudder_lab.sim.run import simulate
from tinrudder_lab.sim.world import World
from tinrudder_lab.topology import Topology


class LabError(Exception):
    """The lab itself, or the product's code, raised something nobody caught."""


def run_scenario(
    scenario: Scenario, seed: int, policy: str, plant: Plant | None = None, *, alone: bool = False
) -> RunResult:
    """Run a scenario in virtual time, with its companions unless it is to run ``alone``."""
    if plant is None:
        world = simulate_with_policy(scenario, scenario.topology, seed, policy)
    else:
        with plant.switch_on():
            world = simulate_with_policy(scenario, scenario.topology, seed, policy)
    skip = alone or plant is not None or policy == BASELINE_POLICY
    companions = CompanionRuns() if skip else _companions(scenario, seed, policy)
    return result_of(scenario, seed, policy, world, check_history(world.history), companions)


def _companions(scenario: Scenario, seed: int, policy: str) -> CompanionRuns:
    """Run the baseline, and the run without noise, where a scenario has them."""
    baseline = None
    quiet = None
    if scenario.with_baseline:
        simplest = simulate_with_policy(scenario, scenario.topology, seed, BASELINE_POLICY)
        baseline = figures_of(simplest.history, simplest.sent_calls)
    if scenario.without_noise is not None:
        quiet = simulate_with_policy(scenario, scenario.without_noise, seed, policy)
    return CompanionRuns(baseline, quiet)


def simulate_with_policy(
    scenario: Scenario, make_topology: Callable[[], Topology], seed: int, policy: str
) -> World:
    """Run a scenario once under a named policy.

    :raises LabError: an exception was not caught.
    """
    topology = make_topology()
    with use_policy(policy, topology):
        world = simulate(scenario, topology, seed)
    if world.errors:
        raise LabError("; ".join(world.errors[:3]))
    return world
