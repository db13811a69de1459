"""Admission to a service with few back ends that many gateways call."""

from __future__ import annotations

import random

from tinrudder.gateway.decisions.admission.shared_service import (
    decide_admission,
    draw_candidates,
    has_room,
)
from tinrudder.gateway.decisions.placement.backend_observations import (
    BackendObservations,
)

SLOTS = 4

NOW = 10.0


def service(*waiting: int, age_s: float = 0.1) -> list[BackendObservations]:
    """Return four back ends that reported this many waiting calls; the others have not reported."""
    backends = [BackendObservations(slots=SLOTS) for _ in range(4)]
    for known, calls in zip(backends, waiting, strict=False):
        known.reported(SLOTS, calls, SLOTS, NOW, age_s=age_s)
        known.record_service_time(0.25)
    return backends


def share(backends: list[BackendObservations], left_s: float = 0.9, *, late: bool = False) -> float:
    admitted = decide_admission(
        backends, NOW, 0.25, left_s, priority_steps=0, returning=late, late=late
    )
    return admitted.share


def test_the_admitted_share_follows_from_the_reports_of_all_back_ends() -> None:
    assert share(service()) == 1.0
    assert share(service(0, 0, 0, 0)) == 1.0
    assert share(service(12, 12, 12, 12)) == 0.0
    assert 0.0 < share(service(6, 6, 6, 6)) < 1.0
    # One report is stale: its back end must not count as free.
    stale = service(12, 12, 12, 12)
    stale[0].reported_at = NOW - 0.79
    assert share(stale) < 0.1
    # One is slow; the others are free, or have not reported and had no queue.
    assert share(service(12, 0, 0, 0)) > 0.9
    assert share(service(12)) == 1.0
    assert share(service(12, 12, 12, 12, age_s=0.8)) == 1.0


def test_late_callers_get_only_capacity_that_others_leave_free() -> None:
    assert share(service(3, 3, 3, 3), late=True) < share(service(3, 3, 3, 3))
    assert share(service(0, 0, 0, 0), late=True) == 1.0


def test_no_queue_is_filled_where_back_ends_shed_however_much_time_is_left() -> None:
    backends = service(11, 11, 11, 11)
    assert share(backends, 60.0) == 1.0
    for known in backends:
        known.shed(NOW - 1.0, backlog=16)
    assert share(backends, 60.0) < 0.1


def test_a_rejected_call_is_tried_elsewhere_only_where_it_fits() -> None:
    assert has_room(service(12, 12, 12, 1), NOW, 0.25, 0.9)
    assert not has_room(service(12, 12, 12, 12), NOW, 0.25, 0.8)
    assert has_room(service(12, 12, 12), NOW, 0.25, 0.3)


def test_without_queues_all_back_ends_remain_candidates() -> None:
    backends = service()
    for known in backends:
        known.reported(SLOTS - 1, 0, SLOTS, NOW)
    assert draw_candidates(backends, lambda one: one, NOW, random.Random(1)) is backends
    busy = service(9, 0, 0, 0)
    drawn = [draw_candidates(busy, lambda one: one, NOW, random.Random(seed)) for seed in range(30)]
    assert all(len(set(map(id, two))) == 2 for two in drawn)


def test_a_rejected_call_goes_to_a_back_end_without_a_queue_however_long_calls_take() -> None:
    """A draining back end rejects calls as well, and a late answer still has some worth."""
    assert has_room(service(0, 0), NOW, typical_time_s=1.5, left_s=0.9)
