"""State of the path to a zone, given the messages, answers and timeouts on it."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from tinrudder.gateway.decisions.fleet.zone_paths import (
    CLOSE_AFTER_S,
    FIRST_CLOSED_S,
    MAX_CLOSED_S,
    MIN_PROBE_ROUNDS,
    SILENCE_TIMEOUT_S,
    PathState,
    ZonePaths,
)

ZONE = "z"


def closed(now: float = 10.0) -> ZonePaths:
    paths = ZonePaths()
    assert paths.note_unanswered(ZONE, now - 0.05, now)
    for _ in range(MIN_PROBE_ROUNDS):
        paths.count_probe_round(ZONE)
    assert paths.review(ZONE, now + CLOSE_AFTER_S)
    return paths


def test_a_zone_that_answers_something_is_not_doubted_for_one_slow_call() -> None:
    paths = ZonePaths()
    paths.answered(ZONE, 5.0)
    assert not paths.note_unanswered(ZONE, sent_at=4.9, now=5.2)
    assert paths.path(ZONE).state is PathState.OPEN


def test_a_call_without_an_answer_makes_a_silent_zone_suspect() -> None:
    paths = ZonePaths()
    paths.answered(ZONE, 5.0)
    assert paths.note_unanswered(ZONE, sent_at=5.1, now=5.2)
    assert paths.not_open == (ZONE,)
    assert not paths.is_closed(ZONE)


def test_probes_without_an_answer_close_the_path() -> None:
    paths = closed()
    assert paths.closed == paths.lost == (ZONE,)


def test_too_few_probes_close_nothing() -> None:
    """After a pause of the process, its timers are due before it has sent further probes."""
    paths = ZonePaths()
    paths.note_unanswered(ZONE, 9.9, 10.0)
    paths.count_probe_round(ZONE)
    assert not paths.review(ZONE, 60.0)


def test_one_answer_opens_the_path_at_once() -> None:
    paths = closed()
    assert paths.answered(ZONE, 11.0)
    assert paths.closed == paths.lost == ()


def test_a_message_that_is_no_answer_opens_nothing() -> None:
    paths = closed()
    paths.record_message(ZONE, 11.0)
    assert paths.is_closed(ZONE)


def test_failed_trials_close_a_path_for_longer_and_longer() -> None:
    paths, now = closed(), 10.0 + CLOSE_AFTER_S
    pause = FIRST_CLOSED_S
    for _ in range(6):
        assert not paths.review(ZONE, now + pause - 0.1)
        now += pause
        assert paths.review(ZONE, now)
        assert not paths.is_closed(ZONE)
        assert paths.lost == (ZONE,)
        assert paths.note_unanswered(ZONE, now, now + 0.1)
        now += 0.1
        pause = min(MAX_CLOSED_S, pause * 2)
        assert paths.is_closed(ZONE)


def test_an_answer_to_a_trial_call_opens_the_path() -> None:
    paths = closed()
    paths.review(ZONE, 10.0 + CLOSE_AFTER_S + FIRST_CLOSED_S)
    assert paths.answered(ZONE, 20.0)
    assert paths.lost == ()


def test_silence_from_all_zones_makes_all_paths_suspect() -> None:
    paths = ZonePaths()
    paths.record_message("a", 10.0)
    paths.record_message("b", 9.0)
    assert not paths.suspect_silent_zones(("a", "b"), 10.0 + SILENCE_TIMEOUT_S - 0.1)
    assert paths.suspect_silent_zones(("a", "b"), 10.0 + SILENCE_TIMEOUT_S)
    assert set(paths.not_open) == {"a", "b"}
    assert not paths.suspect_silent_zones((), 100.0)


@given(st.lists(st.tuples(st.sampled_from("hadnr"), st.floats(0.0, 1.0)), max_size=60))
def test_a_path_is_closed_only_by_probes_and_never_after_an_answer(
    events: list[tuple[str, float]],
) -> None:
    paths, now, rounds, suspected_at = ZonePaths(), 100.0, 0, float("-inf")
    for event, pause in events:
        now += pause
        before = paths.path(ZONE).state
        if event == "h":
            paths.record_message(ZONE, now)
        elif event == "a":
            paths.answered(ZONE, now)
            assert paths.path(ZONE).state is PathState.OPEN
        elif event == "d" and paths.note_unanswered(ZONE, now - 0.05, now):
            rounds, suspected_at = 0, now
        elif event == "n":
            paths.count_probe_round(ZONE)
            rounds += 1
        elif event == "r":
            paths.review(ZONE, now)
        if before is PathState.SUSPECT and paths.is_closed(ZONE):
            assert rounds >= MIN_PROBE_ROUNDS
            assert now - suspected_at >= CLOSE_AFTER_S
            assert paths.path(ZONE).answered_at < suspected_at


def test_another_gateways_doubt_ends_no_trial() -> None:
    """Peers report their closed path in each digest; these doubts must not end the trial early."""
    paths = closed()
    trial_at = paths.path(ZONE).trial_at
    assert paths.review(ZONE, trial_at)
    assert not paths.note_unanswered(ZONE, trial_at, trial_at + 0.1, reported_by_peer=True)
    assert paths.path(ZONE).state is PathState.TRIAL
    assert paths.note_unanswered(ZONE, trial_at, trial_at + 0.1)
    assert paths.is_closed(ZONE)
