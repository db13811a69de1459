"""Policies by name fit the node's wiring as it is now."""

from __future__ import annotations

import dataclasses

import pytest

from tinrudder_lab.experiment import run_scenario
from tinrudder_lab.policies import UnknownPolicyError, use_policy
from tinrudder_lab.scenarios import BY_NAME


def test_the_baseline_runs() -> None:
    scenario = dataclasses.replace(BY_NAME["config-down"], duration_s=1.0, steps=lambda _: [])
    result = run_scenario(scenario, 1, "baseline")
    assert result.outcomes["complete"] > 0
    assert result.violations == ()


@pytest.mark.parametrize("policy", ["nobody", "hedge=random"])
def test_an_unknown_policy_is_named(policy: str) -> None:
    with (
        pytest.raises(UnknownPolicyError, match=policy),
        use_policy(policy, BY_NAME["config-down"].topology()),
    ):
        pass
