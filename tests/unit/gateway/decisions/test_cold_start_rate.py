"""Calls to a cold back end: the gateways' parts of its rate never add up to more than the rate."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from tinrudder.gateway.decisions.placement.cold_start_rate import (
    RATE_SHARE,
    Callers,
    ColdStartRate,
    own_call_limit,
)

RATES = st.floats(0, 500)


@settings(max_examples=30, deadline=None)
@given(st.integers(3, 1000), RATES)
def test_the_parts_of_gateways_that_know_each_other_are_the_whole_rate(
    gateways: int, rate: float
) -> None:
    names = [f"10.0.{number // 250}.{number % 250}:81" for number in range(gateways)]
    callers = Callers(names, gateways)
    parts = [own_call_limit(rate, name, callers, "back-end") for name in names]
    assert sum(parts) == int(rate * RATE_SHARE)
    assert max(parts) - min(parts) <= 1


@given(st.integers(1, 20), st.integers(0, 20), RATES)
def test_a_gateway_that_knows_few_of_many_takes_at_most_an_equal_part(
    known: int, unknown: int, rate: float
) -> None:
    names = [f"gateway-{number}" for number in range(known)]
    callers = Callers(names, known + unknown)
    each = rate * RATE_SHARE / callers.count
    assert all(own_call_limit(rate, name, callers, "back-end") <= each + 1 for name in names)


def test_single_calls_go_to_other_gateways_for_other_back_ends() -> None:
    names = [f"gateway-{number}" for number in range(76)]
    callers = Callers(names, 76)
    chosen = {
        name
        for name in names
        for other in range(40)
        if own_call_limit(5.0, name, callers, f"b{other}")
    }
    assert len(chosen) > 50


@given(st.integers(0, 6), st.integers(0, 10**6))
def test_no_second_holds_more_calls_than_the_part(part: int, seed: int) -> None:
    source = random.Random(seed)
    cold_rate = ColdStartRate()
    now = 0.0
    sent: list[float] = []
    for _ in range(200):
        now += source.expovariate(20.0)
        if cold_rate.may_send(now, part):
            cold_rate.note_sent(now)
            sent.append(now)
    assert all(sum(1 for at in sent if end - 1.0 < at <= end) <= part for end in sent)
    assert part == 0 or len(sent) >= part


@given(st.lists(st.integers(0, 6), min_size=1, max_size=60))
def test_a_part_that_shrinks_holds_at_once(parts: list[int]) -> None:
    cold_rate = ColdStartRate()
    sent: list[float] = []
    for number, part in enumerate(parts):
        now = number * 0.05
        if cold_rate.may_send(now, part):
            cold_rate.note_sent(now)
            sent.append(now)
            assert sum(1 for at in sent if now - 1.0 < at <= now) <= part
