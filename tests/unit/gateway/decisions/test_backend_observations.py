"""Tests of the observations of a back end and the expected cost of its next call."""

from __future__ import annotations

import pytest

from tinrudder.gateway.decisions.placement.backend_observations import BackendObservations
from tinrudder.gateway.decisions.placement.zone_preference import (
    MAX_ADVANTAGE,
)


def test_a_stalled_back_end_goes_behind_a_busy_one() -> None:
    stalled, busy = BackendObservations(slots=2), BackendObservations(slots=2)
    stalled.begin(0.0, 0.02)
    for _ in range(2):
        busy.begin(0.09, 0.02)
    assert stalled.cost(0.1) > busy.cost(0.1) + MAX_ADVANTAGE


def test_a_failure_weighs_more_than_slowness_and_fades() -> None:
    failed, slow = BackendObservations(), BackendObservations()
    failed.failed(failed.begin(0.0, 0.02), 0.0)
    slow.answered(slow.begin(0.0, 0.02), 0.2)
    assert failed.cost(0.2) > slow.cost(0.2)
    assert failed.cost(5.0) == slow.cost(5.0)


def test_reported_queues_count_until_they_are_old() -> None:
    backend = BackendObservations(slots=2)
    backend.reported(2, 4, 2, 1.0)
    assert backend.wait_s(1.0, 0.1) == pytest.approx(0.25)
    assert backend.wait_s(1.4, 0.1) == pytest.approx(0.125)
    assert backend.wait_s(2.0, 0.1) == 0.0


def test_a_replica_that_reports_a_slow_moment_is_avoided_until_the_report_is_old() -> None:
    slow, usual = BackendObservations(), BackendObservations()
    for observations in (slow, usual):
        observations.reported(0, 0, 2, 9.0, 1.0)
    slow.reported(0, 0, 2, 10.0, 4.0)
    assert slow.cost(10.0) > 3 * usual.cost(10.0)
    assert slow.cost(10.1) > 2 * usual.cost(10.1)
    assert slow.cost(10.6) == usual.cost(10.6)


def test_a_typical_slowdown_is_not_a_momentary_one() -> None:
    observations = BackendObservations()
    for number in range(50):
        observations.reported(0, 0, 2, number * 0.1, 1.3)
    assert observations.current_slowdown(4.9) == pytest.approx(1.0)


def test_a_reported_momentary_slowdown_is_not_learned_as_lasting() -> None:
    with_reports, without = BackendObservations(), BackendObservations()
    for number in range(20):
        now = number * 0.1
        with_reports.reported(0, 0, 2, now, 1.0)
    now = 2.0
    for observations, slowdown in ((with_reports, 4.0), (without, 1.0)):
        call = observations.begin(now, typical_time_s=0.02)
        observations.reported(0, 0, 2, now + 0.08, slowdown)
        observations.answered(call, now + 0.08)
    assert with_reports.expected_relative_latency(3.0) < 1.1
    assert without.expected_relative_latency(3.0) > 1.5
