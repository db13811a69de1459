"""Runs a scenario once in virtual time: simulates, checks and measures it."""

from __future__ import annotations

from contextlib import nullcontext

from tinrudder_lab.checkers.all import check_history
from tinrudder_lab.measures import result_of
from tinrudder_lab.plants import PlantedDefect
from tinrudder_lab.report import RunResult
from tinrudder_lab.scenarios import Scenario
from tinrudder_lab.sim.run import simulate


class LabError(Exception):
    """The lab or the product's code raised an exception that was not caught."""


def run_scenario(scenario: Scenario, seed: int, plant: PlantedDefect | None = None) -> RunResult:
    """Run a scenario once, with a planted defect if one is given.

    :raises LabError: an exception was not caught.
    """
    with plant.applied() if plant is not None else nullcontext():
        world = simulate(scenario, scenario.topology(), seed)
    if world.errors:
        raise LabError("; ".join(world.errors[:3]))
    return result_of(scenario, seed, world, check_history(world.history))
