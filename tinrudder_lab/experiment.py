"""One run of a scenario under a policy: simulate, check, measure."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from unittest import mock

from tinrudder.routing.admission import AdmitAll
from tinrudder.routing.backend_limit import FixedLimit
from tinrudder.routing.call_queue import FirstInFirstOutQueue
from tinrudder.routing.registry import BASELINE
from tinrudder_lab.checkers.all import check_history
from tinrudder_lab.measures import figures_of, result_of
from tinrudder_lab.report import Figures, RunResult
from tinrudder_lab.scenarios import Scenario
from tinrudder_lab.sim.run import simulate
from tinrudder_lab.sim.world import World
from tinrudder_lab.topology import set_policies

DEFAULT_POLICY = "default"
BASELINE_POLICY = "baseline"
NODE_BASELINE = {
    "StartTimeFairQueue": FirstInFirstOutQueue,
    "AdaptiveLimit": FixedLimit,
    "ExpectedWaitAdmission": lambda queue, source: AdmitAll(),
}


def run_scenario(scenario: Scenario, seed: int, policy: str, plant: str | None) -> RunResult:
    """Run a scenario in virtual time, with its baseline where it has one."""
    world = simulate_with_policy(scenario, seed, policy)
    baseline: Figures | None = None
    if scenario.with_baseline and policy != BASELINE_POLICY and plant is None:
        baseline = figures_of(simulate_with_policy(scenario, seed, BASELINE_POLICY))
    return result_of(scenario, seed, policy, world, check_history(world.history), baseline)


def simulate_with_policy(scenario: Scenario, seed: int, policy: str) -> World:
    """Run a scenario once under a named policy.

    :param policy: ``default``, ``baseline``, or ``ROLE=NAME[,ROLE=NAME...]`` for query rules.
    """
    topology = scenario.topology()
    set_policies(topology.deployment, _rule_policies(policy))
    with _node_policies(policy):
        world = simulate(scenario, topology, seed)
    if world.errors:
        raise RuntimeError(f"uncaught errors: {world.errors[:3]}")
    return world


def _rule_policies(policy: str) -> dict[str, str]:
    """Return the policies that query rules name."""
    if policy == DEFAULT_POLICY:
        return {}
    if policy == BASELINE_POLICY:
        return {role.value: name for role, name in BASELINE.items()}
    return dict(choice.split("=", 1) for choice in policy.split(","))


@contextmanager
def _node_policies(policy: str) -> Iterator[None]:
    """Wire the simplest policies of the node itself in for the baseline."""
    with ExitStack() as stack:
        if policy == BASELINE_POLICY:
            for name, substitute in NODE_BASELINE.items():
                stack.enter_context(mock.patch(f"tinrudder.node.{name}", substitute))
        yield
