"""A send budget limits the messages of any period, however many are wanted."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from tinrudder.gateway.decisions.fleet.send_budget import SendBudget

BURST = 10
RATE_PER_S = 2.0


@given(st.lists(st.tuples(st.floats(0.0, 5.0), st.integers(0, 30), st.integers(1, 4))))
def test_no_span_of_time_carries_more_than_the_burst_and_the_rate(
    requested: list[tuple[float, int, int]],
) -> None:
    budget, now = SendBudget(BURST, RATE_PER_S), 0.0
    sent: list[tuple[float, int]] = []
    for pause, wanted, size in requested:
        now += pause
        allowed = budget.take(wanted, now, size)
        assert 0 <= allowed <= wanted
        sent.append((now, allowed * size))
    for place, (begin, _) in enumerate(sent):
        for end_place in range(place, len(sent)):
            carried = sum(amount for _, amount in sent[place : end_place + 1])
            assert carried <= BURST + RATE_PER_S * (sent[end_place][0] - begin) + 1e-6


def test_an_unused_budget_is_full_and_no_more() -> None:
    budget = SendBudget(BURST, RATE_PER_S)
    assert budget.take(100, now=1000.0) == BURST
    assert budget.take(100, now=1000.0) == 0
    assert budget.take(100, now=5000.0) == BURST
