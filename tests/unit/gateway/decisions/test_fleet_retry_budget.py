"""The retry budget over many nodes without shared state: restarts, uneven traffic, greedy nodes."""

from __future__ import annotations

import random

import pytest

from tinrudder.gateway.decisions.attempts.fleet_retry_budget import FleetRetryBudget

RATIO, EXTRA, WINDOW_S = 0.2, 56.0, 10.0
STEP_S = 0.02


def over_budget(requests: list[float], repeats: list[float]) -> bool:
    """Check the fleet's bound in every window, with the lowest request count that it allows for."""
    for end in repeats:
        spent = sum(1 for at in repeats if end - WINDOW_S < at <= end)
        counted = sum(1 for at in requests if end - WINDOW_S < at <= end)
        if spent > RATIO * counted + EXTRA:
            return True
    return False


def run_fleet(seed: int, *, restarts: bool, nodes: int = 8, seconds: float = 40.0) -> bool:
    """Let every node repeat as much as it may; return whether the fleet exceeded its budget."""
    source = random.Random(seed)
    rates = [source.choice([0.0, 5.0, 40.0]) for _ in range(nodes)]
    budgets = [FleetRetryBudget(RATIO, EXTRA, WINDOW_S, -WINDOW_S) for _ in range(nodes)]
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
                budgets[index] = FleetRetryBudget(RATIO, EXTRA, WINDOW_S, now)
            if source.random() < 0.05 * STEP_S:
                rates[index] = source.choice([0.0, 5.0, 40.0])
    assert repeats
    return over_budget(requests, repeats)


@pytest.mark.parametrize("seed", range(4))
def test_greedy_nodes_stay_within_the_fleet_budget(seed: int) -> None:
    assert not run_fleet(seed, restarts=False)


@pytest.mark.parametrize("seed", range(4))
def test_restarts_that_lose_counts_stay_within_the_fleet_budget(seed: int) -> None:
    assert not run_fleet(seed, restarts=True)


def test_a_restarted_node_spends_only_what_its_earlier_incarnation_left() -> None:
    spent_before = FleetRetryBudget(RATIO, EXTRA, WINDOW_S, 0.0)
    repeats = 0
    while spent_before.may_repeat(99.9, 1, hedge=False):
        repeats += 1
    fresh = FleetRetryBudget(RATIO, EXTRA, WINDOW_S, 100.0)
    while fresh.may_repeat(105.0, 1, hedge=False):
        repeats += 1
    assert repeats <= EXTRA
    assert not fresh.may_repeat(109.5, 1, hedge=False)
    assert fresh.may_repeat(110.0, 1, hedge=False)


@pytest.mark.parametrize("seed", range(4))
def test_all_nodes_may_start_again_after_they_spent_everything(seed: int) -> None:
    source = random.Random(seed)
    nodes = 8
    requests: list[float] = []
    repeats: list[float] = []
    budgets = [FleetRetryBudget(RATIO, EXTRA, WINDOW_S, -WINDOW_S) for _ in range(nodes)]
    restart_at = source.uniform(5.0, 15.0)
    for step in range(int(40.0 / STEP_S)):
        now = step * STEP_S
        if now >= restart_at:
            budgets = [FleetRetryBudget(RATIO, EXTRA, WINDOW_S, now) for _ in range(nodes)]
            restart_at = float("inf")
        for budget in budgets:
            if source.random() < 4.0 * STEP_S:
                budget.note_request(now)
                requests.append(now)
            if budget.may_repeat(now, nodes, hedge=False):
                repeats.append(now)
    assert not over_budget(requests, repeats)


def test_a_fresh_node_may_hedge_after_its_first_requests() -> None:
    """One of twelve coordinators of a service whose fixed number of repeats is 192."""
    budget = FleetRetryBudget(RATIO, 192.0, WINDOW_S, 100.0)
    budget.note_request(100.5)
    budget.note_request(101.0)
    assert budget.may_repeat(101.0, 12 / 0.75, hedge=True)


def test_hedges_leave_a_part_to_retries() -> None:
    budget = FleetRetryBudget(RATIO, EXTRA, WINDOW_S, -WINDOW_S)
    while budget.may_repeat(1.0, 4, hedge=True):
        pass
    assert budget.may_repeat(1.0, 4, hedge=False)
    assert budget.fill(1.0, 4) == 0.0


def test_what_was_spent_comes_back_after_the_window() -> None:
    budget = FleetRetryBudget(RATIO, EXTRA, WINDOW_S, -WINDOW_S)
    while budget.may_repeat(1.0, 4, hedge=False):
        pass
    assert not budget.may_repeat(1.0 + WINDOW_S * 0.9, 4, hedge=False)
    assert budget.may_repeat(1.0 + WINDOW_S * 1.2, 4, hedge=False)
