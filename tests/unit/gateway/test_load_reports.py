"""Back ends' load reports: both formats decode; unreadable ones are counted and logged."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from tinrudder.gateway.backends.load_reports import LOG_INTERVAL_S, LoadReports
from tinrudder.gateway.model.http_messages import LoadReport
from tinrudder.gateway.store.stored_values import UnreadableValueError
from tinrudder.platform.load_header import decode_load_report

FIGURES = st.integers(0, 10**9 - 1)


@given(FIGURES, FIGURES, FIGURES, st.integers(1, 10**6))
def test_four_figures_tell_the_load_and_how_long_work_takes(
    running: int, waiting: int, slots: int, work_time: int
) -> None:
    report = decode_load_report(b"%d, %d,%d,%d" % (running, waiting, slots, work_time))
    assert report == LoadReport(running, waiting, slots, work_time / 100)


@given(FIGURES, FIGURES, FIGURES)
def test_three_figures_tell_the_load_and_work_takes_as_long_as_usual(
    running: int, waiting: int, slots: int
) -> None:
    report = decode_load_report(b"%d,%d,%d" % (running, waiting, slots))
    assert report == LoadReport(running, waiting, slots, 1.0)


@pytest.mark.parametrize(
    ("value", "problem"),
    [
        (b"", "1 figures"),
        (b"1,2", "2 figures"),
        (b"1,2,x", "slots"),
        (b"-1,2,3", "running"),
        (b"1,,3", "waiting"),
        (b"1,2,3,", "work time"),
        (b"1,2,3,0", "work time"),
        (b"1,2,3,1.5", "work time"),
        (b"9" * 5000 + b",2,3", "running"),
    ],
)
def test_other_forms_are_refused_by_the_field_that_breaks_them(value: bytes, problem: str) -> None:
    with pytest.raises(UnreadableValueError, match=problem):
        decode_load_report(value)


@given(st.binary(max_size=60))
@example(b"1,0,2,100,7")
def test_any_bytes_are_a_report_or_are_refused(value: bytes) -> None:
    with contextlib.suppress(UnreadableValueError):
        report = decode_load_report(value)
        assert min(report.running, report.waiting, report.slots) >= 0
        assert report.slowdown > 0


def test_unreadable_reports_are_counted_each_and_logged_at_a_bounded_rate(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    logged: list[str] = []
    monkeypatch.setattr(
        "tinrudder.gateway.backends.load_reports.log_problem",
        lambda event, _fields: logged.append(event),
    )
    now = [0.0]
    reports = LoadReports(decode_load_report, lambda: now[0])
    for _ in range(1000):
        now[0] += LOG_INTERVAL_S / 100
        assert reports.read(b"?", "a-back-end") is None
    assert reports.unreadable == 1000
    assert len(logged) == 10
    assert reports.read(b"1,0,2,100", "a-back-end") == LoadReport(1, 0, 2)
