"""The table of poison requests: standing, trials, alerts, withdrawn crashes and eviction."""

from __future__ import annotations

import pytest

from tinrudder.common.crash_limit import CRASH_LIMIT
from tinrudder.gateway.decisions.admission.crash_evidence import (
    ALERT_S,
    CLEARED_RETENTION_S,
    EVIDENCE_RETENTION_S,
    FIRST_BAR_S,
    MAX_BAR_S,
)
from tinrudder.gateway.decisions.admission.poison_requests import (
    MAX_REQUESTS,
    MIN_RESTART_S,
    RESTART_DETECTION_S,
    TRIAL_TIMEOUT_S,
    PoisonRequests,
    Standing,
)

ORIGIN = b"route"

OTHER = b"another"

FINGERPRINT = b"fingerprint"


def bar_request(table: PoisonRequests, at: float) -> None:
    for backend in range(CRASH_LIMIT):
        table.note_crash(FINGERPRINT, ORIGIN, backend, at, trial=backend == CRASH_LIMIT - 1)


def standing(table: PoisonRequests, now: float, asked: bytes = FINGERPRINT) -> Standing:
    return table.assess(asked, ORIGIN, now).standing


def test_a_victim_of_crashes_is_suspect_until_any_back_end_answers() -> None:
    table = PoisonRequests()
    for backend in range(20):
        table.note_crash(FINGERPRINT, ORIGIN, backend, 1.0, trial=False)
    assert standing(table, 1.1) is Standing.SUSPECT
    assert table.note_answer(FINGERPRINT, 1.2)
    assert standing(table, 1.3) is Standing.FREE
    assert not table.note_answer(FINGERPRINT, 1.4)


def test_only_one_gateway_at_a_time_runs_a_trial() -> None:
    table = PoisonRequests()
    for backend in range(CRASH_LIMIT):
        table.note_crash(FINGERPRINT, ORIGIN, backend, 1.0, trial=False)
    assert table.begin_trial(FINGERPRINT, 2.0)
    assert standing(table, 2.1) is Standing.ON_TRIAL
    assert standing(table, 2.1 + TRIAL_TIMEOUT_S) is Standing.SUSPECT


def test_each_failed_trial_bars_for_longer_and_there_are_few_in_a_day() -> None:
    table = PoisonRequests()
    bar_request(table, 0.0)
    now, trials, backend = 0.0, 0, 100
    while now < 86_400.0:
        assessment = table.assess(FINGERPRINT, ORIGIN, now)
        if assessment.standing is Standing.BARRED:
            assert assessment.barred_s <= MAX_BAR_S + 1e-6
            now += assessment.barred_s
            continue
        trials += 1
        backend += 1
        table.note_crash(FINGERPRINT, ORIGIN, backend, now + 0.1, trial=True)
        now += 0.1
        if now < 120.0:
            assert trials <= 1
    assert trials <= 30


def lose_in_trial(table: PoisonRequests, asked: bytes, at: float) -> None:
    table.note_crash(asked, ORIGIN, 9, at, trial=True)


def test_two_requests_with_crashed_trials_make_others_of_the_caller_canaries() -> None:
    table = PoisonRequests()
    lose_in_trial(table, FINGERPRINT, 0.0)
    assert standing(table, 1.0, OTHER) is Standing.FREE
    lose_in_trial(table, b"second", 2.0)
    assert standing(table, 3.0, OTHER) is Standing.SUSPECT
    assert table.assess(OTHER, b"other caller", 3.0).standing is Standing.FREE
    assert standing(table, ALERT_S + 0.1, OTHER) is Standing.FREE


def test_crashes_that_many_requests_shared_raise_no_alarm() -> None:
    table = PoisonRequests()
    for number in range(10):
        for backend in range(5):
            table.note_crash(b"%d" % number, ORIGIN, backend, 0.0, trial=False)
    assert standing(table, 1.0, OTHER) is Standing.FREE


def test_an_answer_takes_back_the_alarm_of_its_request() -> None:
    table = PoisonRequests()
    lose_in_trial(table, FINGERPRINT, 0.0)
    lose_in_trial(table, b"second", 0.0)
    assert table.is_alert(ORIGIN, 1.0)
    table.note_answer(FINGERPRINT, 2.0)
    assert not table.is_alert(ORIGIN, 3.0)


def test_a_withdrawn_crash_stays_withdrawn_when_it_is_reported_again() -> None:
    table, other = PoisonRequests(), PoisonRequests()
    bar_request(table, 0.0)
    reported = table.find(FINGERPRINT)
    assert reported is not None
    other.merge(FINGERPRINT, reported)
    assert table.withdraw_crash(FINGERPRINT, 0)
    assert standing(table, 0.1) is Standing.SUSPECT
    assert not table.withdraw_crash(FINGERPRINT, 0)
    for backend in range(1, CRASH_LIMIT):
        assert table.withdraw_crash(FINGERPRINT, backend)
    assert standing(table, 0.1) is Standing.FREE
    table.merge(FINGERPRINT, reported)
    assert standing(table, 0.1) is Standing.FREE
    cleared = table.find(FINGERPRINT)
    assert cleared is not None
    other.merge(FINGERPRINT, cleared)
    assert standing(other, 0.1) is Standing.FREE


@pytest.mark.parametrize(
    ("later_s", "innocent"),
    [
        (-0.01, False),
        (0.0, True),
        (MIN_RESTART_S, True),
        (MIN_RESTART_S + 0.1, False),
        (RESTART_DETECTION_S - 0.1, False),
        (RESTART_DETECTION_S, True),
    ],
)
def test_an_answer_shows_that_a_back_end_lives_unless_it_may_have_been_restarted(
    later_s: float, innocent: bool
) -> None:
    table = PoisonRequests()
    table.note_crash(FINGERPRINT, ORIGIN, 1, 10.0, trial=True)
    table.note_crash(b"second", ORIGIN, 2, 10.0, trial=True)
    assert table.requests_cleared_by(1, 10.0 + later_s) == ((FINGERPRINT,) if innocent else ())
    assert table.withdraw_crash(FINGERPRINT, 1)
    assert table.requests_cleared_by(1, 10.0) == ()
    assert table.requests_cleared_by(2, 10.0) == (b"second",)
    table.note_answer(b"second", 10.1)
    assert table.requests_cleared_by(2, 10.0) == ()


def test_all_evidence_expires() -> None:
    table = PoisonRequests()
    bar_request(table, 0.0)
    table.evict_expired(FIRST_BAR_S + EVIDENCE_RETENTION_S - 1.0)
    assert len(table) == 1
    table.evict_expired(FIRST_BAR_S + EVIDENCE_RETENTION_S + 1.0)
    assert len(table) == 0
    bar_request(table, 1_000.0)
    table.note_answer(FINGERPRINT, 1_001.0)
    table.evict_expired(1_002.0 + CLEARED_RETENTION_S)
    assert len(table) == 0


def test_a_flood_of_requests_drops_what_changed_longest_ago() -> None:
    table = PoisonRequests()
    for number in range(2 * MAX_REQUESTS):
        table.note_crash(number.to_bytes(4, "big"), ORIGIN, 0, float(number), trial=False)
        if number % 100 == 0:
            bar_request(table, float(number))
    assert len(table) == MAX_REQUESTS
    assert table.find(FINGERPRINT) is not None


def test_without_the_store_a_late_answer_does_not_prove_that_a_back_end_survived() -> None:
    """It may have restarted at the same address without its new entry being known."""
    table = PoisonRequests()
    table.note_crash(FINGERPRINT, ORIGIN, 1, 10.0, trial=True)
    late = 10.0 + 2 * RESTART_DETECTION_S
    assert table.requests_cleared_by(1, late, starts_known_at=10.0) == ()
    assert table.requests_cleared_by(1, late, starts_known_at=10.0 + RESTART_DETECTION_S) == (
        FINGERPRINT,
    )
    assert table.requests_cleared_by(1, 10.0 + MIN_RESTART_S, starts_known_at=0.0) == (FINGERPRINT,)
