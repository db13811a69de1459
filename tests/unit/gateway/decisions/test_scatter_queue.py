"""Order, room and refusals of scatters that wait at a gateway, checked against simple oracles."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tinrudder.gateway.decisions.admission.queued_scatter import QueuedScatter, ScatterRefusal
from tinrudder.gateway.decisions.admission.scatter_concurrency import (
    MIN_FREE_ROOM,
    ScatterConcurrency,
)
from tinrudder.gateway.decisions.admission.scatter_queue import (
    ACCEPTABLE_WAIT_SHARE,
    LATE_WAIT_SHARE,
    MAX_OVERLOAD_WAIT,
    OVERLOAD_HOLD_S,
    PERSISTENT_QUEUE_S,
    ScatterQueue,
)

HOLD_S = 0.05

FULL = 2.0

USUAL_S = 0.05


def make_queue(limit: float = FULL) -> ScatterQueue:
    return ScatterQueue(ScatterConcurrency(own_slots=limit, limit=limit, hold_s=HOLD_S))


def scatter(
    priority: int = 1,
    objective_at: float = 10.0,
    *,
    returning: bool = False,
    tenant: str = "",
    typical_time_s: float = 0.08,
) -> QueuedScatter:
    return QueuedScatter(priority, objective_at, 20.0, typical_time_s, returning, tenant)


def started(queue: ScatterQueue) -> list[QueuedScatter]:
    """Return the scatters in the order in which they start, one after another."""
    order = []
    while (one := queue.next_ready(0.0)) is not None:
        order.append(one)
    return order


kinds = st.tuples(st.integers(0, 2), st.integers(5, 9), st.booleans())


@given(st.lists(kinds, max_size=12))
def test_the_order_is_priority_then_new_ones_then_objective_then_arrival(
    asked: list[tuple[int, int, bool]],
) -> None:
    queue = make_queue()
    came = [scatter(priority, at, returning=again) for priority, at, again in asked]
    for one in came:
        assert queue.arrive(one, FULL, 0.0) is False
    plain = sorted(came, key=lambda one: (one.priority, one.returning, one.objective_at))
    assert started(queue) == plain


@given(st.lists(st.tuples(st.sampled_from("abcd"), st.booleans()), max_size=40))
def test_no_tenant_starts_more_than_one_ahead_of_another_that_waits(
    steps: list[tuple[str, bool]],
) -> None:
    queue = make_queue()
    waiting: dict[str, int] = dict.fromkeys("abcd", 0)
    since_empty: dict[str, dict[str, int]] = {}
    for tenant, starts in steps:
        assert queue.arrive(scatter(tenant=tenant), FULL, 0.0) is False
        waiting[tenant] += 1
        since_empty.setdefault(tenant, {})
        if not starts:
            continue
        one = queue.next_ready(0.0)
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
    queue = make_queue()
    answers = [queue.arrive(scatter(tenant="busy", objective_at=0.5), FULL, 0.0) for _ in range(40)]
    assert any(isinstance(one, ScatterRefusal) for one in answers)
    calm = scatter(tenant="calm", objective_at=0.5)
    assert queue.arrive(calm, FULL, 0.01) is False
    assert started(queue).index(calm) <= 1


def test_nothing_is_refused_where_nothing_waits_and_room_is_free() -> None:
    for objective_at in (-1.0, 0.01, 10.0):
        assert make_queue().arrive(scatter(objective_at=objective_at), FULL - 1.0, 0.0) is True
        assert make_queue(limit=1.0).arrive(scatter(objective_at=objective_at), 0.0, 0.0) is True


def test_what_cannot_start_in_time_is_refused_at_once() -> None:
    queue = make_queue()
    kept = 0
    while (verdict := queue.arrive(scatter(objective_at=0.28), FULL, 0.0)) is False:
        kept += 1
    assert isinstance(verdict, ScatterRefusal)
    assert verdict.expected_s > ACCEPTABLE_WAIT_SHARE * 0.2
    # Two scatters start in one call time, and 0.2 s are left to wait.
    assert kept == pytest.approx(ACCEPTABLE_WAIT_SHARE * 0.2 / HOLD_S * FULL, abs=1)


def test_an_urgent_scatter_goes_first_and_others_without_time_left_are_refused() -> None:
    queue = make_queue()
    while queue.arrive(scatter(objective_at=0.28), FULL, 0.0) is False:
        pass
    before = len(queue)
    urgent = [scatter(priority=0, objective_at=0.28) for _ in range(before)]
    assert [queue.arrive(one, FULL, 0.05) for one in urgent[:3]] == [False] * 3
    refused = queue.refuse_too_late(FULL, 0.05)
    assert refused
    assert {one.priority for one, _ in refused} == {1}
    # The 0.15 s left suffice for six scatters, including the urgent ones.
    assert len(queue) == 6
    assert started(queue)[:3] == urgent[:3]


def test_a_late_scatter_is_deferred_and_refused_after_half_its_remaining_time() -> None:
    queue = make_queue()
    waits, overtakes = scatter(objective_at=0.28), scatter(objective_at=9.0)
    assert queue.arrive(waits, FULL, 0.0) is False
    assert queue.next_latest_start_at == pytest.approx(0.2)
    assert queue.refuse_too_late(FULL, 0.2) == []
    assert queue.arrive(overtakes, FULL, 0.2) is False
    assert list(queue) == [overtakes, waits]
    half = 0.2 + (20.0 - 0.2) * LATE_WAIT_SHARE
    assert waits.latest_start_at == pytest.approx(half)
    queue.leave(overtakes)
    assert queue.refuse_too_late(FULL, half - 0.01) == []
    assert [one for one, _ in queue.refuse_too_late(FULL, half)] == [waits]
    assert len(queue) == 0


def test_a_caller_that_was_refused_before_rather_waits_than_is_refused_again() -> None:
    queue = make_queue()
    while queue.arrive(scatter(objective_at=0.28), FULL, 0.0) is False:
        pass
    again = scatter(objective_at=0.09, returning=True)
    assert queue.arrive(again, FULL, 0.0) is False
    assert again.late
    assert list(queue)[-1] is again


def test_a_scatter_that_arrives_late_waits_behind_all_others_for_a_limited_time() -> None:
    queue = make_queue()
    late = scatter(priority=0, objective_at=0.01)
    usual = scatter(priority=1)
    assert queue.arrive(late, FULL, 0.0) is False
    assert queue.arrive(usual, FULL, 0.0) is False
    assert late.latest_start_at == pytest.approx(20.0 * LATE_WAIT_SHARE)
    assert started(queue) == [usual, late]


def test_a_persistent_queue_is_kept_short_until_the_overload_is_over() -> None:
    queue = make_queue()
    for _ in range(4):
        assert queue.arrive(scatter(typical_time_s=USUAL_S), FULL, 0.0) is False
    verdict = queue.arrive(scatter(typical_time_s=USUAL_S), FULL, PERSISTENT_QUEUE_S)
    assert isinstance(verdict, ScatterRefusal)
    assert verdict.max_wait_s == pytest.approx(MAX_OVERLOAD_WAIT * USUAL_S)
    started(queue)
    # After being empty briefly the queue still counts as overloaded; a second later it does not.
    assert queue.arrive(scatter(typical_time_s=USUAL_S), FULL, PERSISTENT_QUEUE_S + 0.1) is False
    assert isinstance(
        queue.arrive(scatter(typical_time_s=USUAL_S), FULL, PERSISTENT_QUEUE_S + 0.1),
        ScatterRefusal,
    )
    started(queue)
    calm = PERSISTENT_QUEUE_S + 0.1 + OVERLOAD_HOLD_S
    assert [queue.arrive(scatter(typical_time_s=USUAL_S), FULL, calm) for _ in range(3)] == [
        False
    ] * 3


def test_a_caller_that_disconnects_frees_its_position_and_its_turn() -> None:
    queue = make_queue()
    gone, stays = scatter(tenant="a"), scatter(tenant="b")
    queue.arrive(gone, FULL, 0.0)
    queue.arrive(stays, FULL, 0.0)
    queue.leave(gone)
    queue.leave(gone)
    again = scatter(tenant="a", objective_at=5.0)
    queue.arrive(again, FULL, 0.0)
    assert started(queue) == [again, stays]


def test_no_scatter_waits_while_room_is_free() -> None:
    for seed in range(50):
        source = random.Random(seed)
        queue, held, now = make_queue(), 0.0, 0.0
        for _ in range(200):
            now += source.expovariate(100.0)
            priority = source.randrange(3)
            if queue.arrive(scatter(priority, now + 0.3), held, now) is True:
                held += 1.0
            held = max(0.0, held - source.random())
            while queue.next_ready(held) is not None:
                held += 1.0
            queue.refuse_too_late(held, now)
            assert not len(queue) or not queue.concurrency.has_room_for_another(held)
            assert held <= FULL + 1.0 - MIN_FREE_ROOM


def test_less_urgent_scatters_that_hold_all_room_do_not_block_an_urgent_one() -> None:
    urgent = scatter(priority=0, objective_at=0.041, typical_time_s=0.036)
    assert isinstance(make_queue().arrive(urgent, FULL, 0.0), ScatterRefusal)
    assert make_queue().arrive(urgent, FULL, 0.0, held_by_urgent=0.0) is True
    assert isinstance(make_queue().arrive(urgent, FULL, 0.0, held_by_urgent=FULL), ScatterRefusal)


def test_a_late_scatter_waits_for_all_running_ones_whatever_its_priority() -> None:
    queue = make_queue()
    too_late = scatter(priority=0, objective_at=0.01)
    assert queue.arrive(too_late, FULL, 0.0, held_by_urgent=0.0) is False
    assert too_late.late
