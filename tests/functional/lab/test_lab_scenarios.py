"""Short runs: unmodified code passes every checker, and checkers report planted defects."""

from __future__ import annotations

import dataclasses

import pytest

from tinrudder_lab.experiment import run_scenario
from tinrudder_lab.plants import PLANTED_DEFECTS_BY_NAME
from tinrudder_lab.scenarios import BY_NAME

SHORT_S = 8.0


def _short(name: str) -> object:
    scenario = BY_NAME[name]
    return dataclasses.replace(scenario, duration_s=min(SHORT_S, scenario.duration_s))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_everything_keeps_every_promise(seed: int) -> None:
    assert run_scenario(_short("everything"), seed).violations == ()


@pytest.mark.parametrize(
    "plant",
    ["lowered-revision", "no-dissemination", "coverage-at-send", "stop-drops-relayed"],
)
def test_a_planted_defect_is_reported(plant: str) -> None:
    planted = PLANTED_DEFECTS_BY_NAME[plant]
    result = run_scenario(BY_NAME[planted.scenario], 3, planted)
    assert planted.promise in {violation.promise for violation in result.violations}
