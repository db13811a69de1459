"""The repeat budget over many nodes that share nothing: restarts, cuts and uneven traffic."""

from __future__ import annotations

import random

import pytest

from tinrudder.routing.repeat_budget import RepeatBudget

RATIO, EXTRA, WINDOW_S = 0.2, 56.0, 10.0
STEP_S = 0.02


def over_budget(requests: list[float], repeats: list[float]) -> bool:
    """The rule as it is judged, with the fewest requests that it may count."""
    for end in repeats:
        spent = sum(1 for at in repeats if end - WINDOW_S < at <= end)
        counted = sum(1 for at in requests if end - WINDOW_S < at <= end)
        if spent > RATIO * counted + EXTRA:
            return True
    return False


def run_fleet(seed: int, *, restarts: bool, nodes: int = 8, seconds: float = 40.0) -> bool:
    """Every node repeats as much as it may; tell whether the fleet went over its budget."""
    source = random.Random(seed)
    rates = [source.choice([0.0, 5.0, 40.0]) for _ in range(nodes)]
    budgets = [RepeatBudget(RATIO, EXTRA, WINDOW_S, -WINDOW_S) for _ in range(nodes)]
    requests: list[float] = []
    repeats: list[float] = []
    now = 0.0
    while now < seconds:
        now += STEP_S
        for index in range(nodes):
            if source.random() < rates[index] * STEP_S:
                budgets[index].note_request(now)
                requests.append(now)
            if source.random() < 0.5 and budgets[index].may_repeat(now, nodes, hedge=False):
                repeats.append(now)
            if restarts and source.random() < 0.02 * STEP_S * nodes:
                budgets[index] = RepeatBudget(RATIO, EXTRA, WINDOW_S, now)
            if source.random() < 0.05 * STEP_S:
                rates[index] = source.choice([0.0, 5.0, 40.0])
    assert repeats
    return over_budget(requests, repeats)


@pytest.mark.parametrize("seed", range(4))
def test_greedy_nodes_stay_within_the_fleet_budget(seed: int) -> None:
    assert not run_fleet(seed, restarts=False)


@pytest.mark.parametrize("seed", range(4))
def test_restarts_that_forget_do_not_break_it(seed: int) -> None:
    assert not run_fleet(seed, restarts=True)


def test_a_fresh_node_has_no_part_of_the_extra() -> None:
    budget = RepeatBudget(RATIO, EXTRA, WINDOW_S, 100.0)
    assert not budget.may_repeat(105.0, 1, hedge=False)
    assert budget.may_repeat(110.0, 1, hedge=False)


def test_hedges_leave_a_part_to_retries() -> None:
    budget = RepeatBudget(RATIO, EXTRA, WINDOW_S, -WINDOW_S)
    while budget.may_repeat(1.0, 4, hedge=True):
        pass
    assert budget.may_repeat(1.0, 4, hedge=False)
    assert budget.fill(1.0, 4) == 0.0


def test_what_was_spent_comes_back_after_the_window() -> None:
    budget = RepeatBudget(RATIO, EXTRA, WINDOW_S, -WINDOW_S)
    while budget.may_repeat(1.0, 4, hedge=False):
        pass
    assert not budget.may_repeat(1.0 + WINDOW_S * 0.9, 4, hedge=False)
    assert budget.may_repeat(1.0 + WINDOW_S * 1.2, 4, hedge=False)
