"""Order, room and refusals of scatters that wait at a gateway, against plain oracles."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tinrudder.gateway.decisions.admission.queued_scatter import QueuedScatter, ScatterRefusal
from tinrudder.gateway.decisions.admission.scatter_concurrency import (
    LEAST_FREE,
    ScatterConcurrency,
)
from tinrudder.gateway.decisions.admission.scatter_queue import (
    BEARABLE_SHARE,
    LATE_WAIT_SHARE,
    OVERLOAD_S,
    SHORT_WAIT,
    STANDING_S,
    ScatterQueue,
)

HOLD_S = 0.05

FULL = 2.0

USUAL_S = 0.05


def queue(limit: float = FULL) -> ScatterQueue:
    return ScatterQueue(ScatterConcurrency(part=limit, limit=limit, hold_s=HOLD_S))


def scatter(
    priority: int = 1,
    objective_at: float = 10.0,
    *,
    returning: bool = False,
    tenant: str = "",
    usual_s: float = 0.08,
) -> QueuedScatter:
    return QueuedScatter(priority, objective_at, 20.0, usual_s, returning, tenant)


def started(line: ScatterQueue) -> list[QueuedScatter]:
    """Return what starts as one after another ends."""
    order = []
    while (one := line.next_ready(0.0)) is not None:
        order.append(one)
    return order


kinds = st.tuples(st.integers(0, 2), st.integers(5, 9), st.booleans())


@given(st.lists(kinds, max_size=12))
def test_the_order_is_priority_then_new_ones_then_objective_then_arrival(
    asked: list[tuple[int, int, bool]],
) -> None:
    line = queue()
    came = [scatter(priority, at, returning=again) for priority, at, again in asked]
    for one in came:
        assert line.arrive(one, FULL, 0.0) is False
    plain = sorted(came, key=lambda one: (one.priority, one.returning, one.objective_at))
    assert started(line) == plain


@given(st.lists(st.tuples(st.sampled_from("abcd"), st.booleans()), max_size=40))
def test_no_tenant_starts_more_than_one_ahead_of_another_that_waits(
    steps: list[tuple[str, bool]],
) -> None:
    line = queue()
    waiting: dict[str, int] = dict.fromkeys("abcd", 0)
    since_empty: dict[str, dict[str, int]] = {}
    for tenant, starts in steps:
        assert line.arrive(scatter(tenant=tenant), FULL, 0.0) is False
        waiting[tenant] += 1
        since_empty.setdefault(tenant, {})
        if not starts:
            continue
        one = line.next_ready(0.0)
        assert one is not None
        waiting[one.tenant] -= 1
        for other, counts in since_empty.items():
            if other != one.tenant:
                counts[one.tenant] = counts.get(one.tenant, 0) + 1
                assert counts[one.tenant] <= 2, "a tenant was served twice while another waited"
        since_empty.pop(one.tenant)
        if waiting[one.tenant]:
            since_empty[one.tenant] = {}


def test_a_tenant_that_asks_for_much_is_refused_before_one_that_asks_for_little() -> None:
    line = queue()
    answers = [line.arrive(scatter(tenant="busy", objective_at=0.5), FULL, 0.0) for _ in range(40)]
    assert any(isinstance(one, ScatterRefusal) for one in answers)
    calm = scatter(tenant="calm", objective_at=0.5)
    assert line.arrive(calm, FULL, 0.01) is False
    assert started(line).index(calm) <= 1


def test_nothing_is_refused_where_nothing_waits_and_room_is_free() -> None:
    for objective_at in (-1.0, 0.01, 10.0):
        assert queue().arrive(scatter(objective_at=objective_at), FULL - 1.0, 0.0) is True
        assert queue(limit=1.0).arrive(scatter(objective_at=objective_at), 0.0, 0.0) is True


def test_what_cannot_start_in_time_is_refused_at_once() -> None:
    line = queue()
    kept = 0
    while (verdict := line.arrive(scatter(objective_at=0.28), FULL, 0.0)) is False:
        kept += 1
    assert isinstance(verdict, ScatterRefusal)
    assert verdict.expected_s > BEARABLE_SHARE * 0.2
    # A call's time starts two scatters, and 0.2 s are left to wait.
    assert kept == pytest.approx(BEARABLE_SHARE * 0.2 / HOLD_S * FULL, abs=1)


def test_an_urgent_scatter_goes_first_and_who_has_no_time_left_then_is_refused() -> None:
    line = queue()
    while line.arrive(scatter(objective_at=0.28), FULL, 0.0) is False:
        pass
    before = len(line)
    urgent = [scatter(priority=0, objective_at=0.28) for _ in range(before)]
    assert [line.arrive(one, FULL, 0.05) for one in urgent[:3]] == [False] * 3
    refused = line.refuse_hopeless(FULL, 0.05)
    assert refused
    assert {one.priority for one, _ in refused} == {1}
    # What is left of 0.15 s suffices for six, the urgent ones among them.
    assert len(line) == 6
    assert started(line)[:3] == urgent[:3]


def test_who_has_waited_for_long_is_put_off_and_refused_when_half_its_time_has_passed() -> None:
    line = queue()
    waits, overtakes = scatter(objective_at=0.28), scatter(objective_at=9.0)
    assert line.arrive(waits, FULL, 0.0) is False
    assert line.next_end_at == pytest.approx(0.2)
    assert line.refuse_hopeless(FULL, 0.2) == []
    assert line.arrive(overtakes, FULL, 0.2) is False
    assert list(line) == [overtakes, waits]
    half = 0.2 + (20.0 - 0.2) * LATE_WAIT_SHARE
    assert waits.latest_start_at == pytest.approx(half)
    line.leave(overtakes)
    assert line.refuse_hopeless(FULL, half - 0.01) == []
    assert [one for one, _ in line.refuse_hopeless(FULL, half)] == [waits]
    assert len(line) == 0


def test_a_caller_that_was_refused_before_rather_waits_than_is_refused_again() -> None:
    line = queue()
    while line.arrive(scatter(objective_at=0.28), FULL, 0.0) is False:
        pass
    again = scatter(objective_at=0.09, returning=True)
    assert line.arrive(again, FULL, 0.0) is False
    assert again.late
    assert list(line)[-1] is again


def test_what_is_late_anyway_waits_behind_all_others_and_not_for_long() -> None:
    line = queue()
    late = scatter(priority=0, objective_at=0.01)
    usual = scatter(priority=1)
    assert line.arrive(late, FULL, 0.0) is False
    assert line.arrive(usual, FULL, 0.0) is False
    assert late.latest_start_at == pytest.approx(20.0 * LATE_WAIT_SHARE)
    assert started(line) == [usual, late]


def test_a_standing_queue_is_kept_short_until_the_overload_is_over() -> None:
    line = queue()
    for _ in range(4):
        assert line.arrive(scatter(usual_s=USUAL_S), FULL, 0.0) is False
    verdict = line.arrive(scatter(usual_s=USUAL_S), FULL, STANDING_S)
    assert isinstance(verdict, ScatterRefusal)
    assert verdict.bearable_s == pytest.approx(SHORT_WAIT * USUAL_S)
    started(line)
    # Empty for a moment, it still stands; a second later it does not.
    assert line.arrive(scatter(usual_s=USUAL_S), FULL, STANDING_S + 0.1) is False
    assert isinstance(line.arrive(scatter(usual_s=USUAL_S), FULL, STANDING_S + 0.1), ScatterRefusal)
    started(line)
    calm = STANDING_S + 0.1 + OVERLOAD_S
    assert [line.arrive(scatter(usual_s=USUAL_S), FULL, calm) for _ in range(3)] == [False] * 3


def test_a_caller_that_leaves_takes_its_place_and_its_turn_with_it() -> None:
    line = queue()
    gone, stays = scatter(tenant="a"), scatter(tenant="b")
    line.arrive(gone, FULL, 0.0)
    line.arrive(stays, FULL, 0.0)
    line.leave(gone)
    line.leave(gone)
    again = scatter(tenant="a", objective_at=5.0)
    line.arrive(again, FULL, 0.0)
    assert started(line) == [again, stays]


def test_many_seeds_of_arrivals_and_ends_never_stand_still_with_room_free() -> None:
    for seed in range(50):
        source = random.Random(seed)
        line, held, now = queue(), 0.0, 0.0
        for _ in range(200):
            now += source.expovariate(100.0)
            priority = source.randrange(3)
            if line.arrive(scatter(priority, now + 0.3), held, now) is True:
                held += 1.0
            held = max(0.0, held - source.random())
            while line.next_ready(held) is not None:
                held += 1.0
            line.refuse_hopeless(held, now)
            assert not len(line) or not line.room.bears_another(held)
            assert held <= FULL + 1.0 - LEAST_FREE


def test_less_urgent_ones_that_hold_all_room_do_not_bar_an_urgent_one_that_cannot_wait() -> None:
    urgent = scatter(priority=0, objective_at=0.041, usual_s=0.036)
    assert isinstance(queue().arrive(urgent, FULL, 0.0), ScatterRefusal)
    assert queue().arrive(urgent, FULL, 0.0, held_before=0.0) is True
    assert isinstance(queue().arrive(urgent, FULL, 0.0, held_before=FULL), ScatterRefusal)


def test_what_cannot_be_in_time_any_more_waits_for_all_that_run_whatever_its_priority() -> None:
    line = queue()
    too_late = scatter(priority=0, objective_at=0.01)
    assert line.arrive(too_late, FULL, 0.0, held_before=0.0) is False
    assert too_late.late
