"""A process detects its own pauses by the times at which it recorded that it runs."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from tinrudder.gateway.decisions.fleet.process_pause import (
    PAUSE_THRESHOLD_S,
    RECORD_INTERVAL_S,
    ProcessPause,
)


@given(st.lists(st.floats(0.0, RECORD_INTERVAL_S), max_size=20))
def test_a_process_that_records_in_time_was_never_paused(pauses: list[float]) -> None:
    pause, now = ProcessPause(0.0), 0.0
    for passed in pauses:
        now += passed
        pause.note(now)
        assert not pause.covers(0.0, now)


@given(st.floats(RECORD_INTERVAL_S + PAUSE_THRESHOLD_S + 0.001, 1000.0), st.booleans())
def test_a_pause_is_found_before_the_next_note_and_after_it(passed: float, noted: bool) -> None:
    pause = ProcessPause(10.0)
    if noted:
        pause.note(10.0 + passed)
    assert pause.covers(10.0, 10.0 + passed)


def test_what_began_after_a_pause_is_not_covered_by_it() -> None:
    pause = ProcessPause(0.0)
    pause.note(60.0)
    assert pause.covers(59.9, 60.1)
    assert not pause.covers(60.0, 60.1)
