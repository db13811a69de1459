"""The timeline of request outcomes computed from a fleet's logs."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from tinrudder.cli.story import read_log
from tinrudder_lab.timeline import main, spans


def line(time: float, event: str, **fields: object) -> str:
    return "12.5 gateway-1 " + json.dumps({"time": time, "node": "g", "event": event} | fields)


LOG = [
    line(100.0, "started"),
    line(100.4, "ready"),
    line(101.0, "request", outcome="NotRun", status=503),
    line(101.5, "request", outcome="NoAnswer", status=502),
    line(102.5, "request", outcome="Merged", status=200, missing=6, repeats=0, elapsed_ms=150.0),
    line(103.0, "request", outcome="Merged", status=200, missing=2, repeats=4, elapsed_ms=110.0),
    line(103.2, "coordinated", outcome="Merged", missing=40, repeats=9, elapsed_ms=5.0),
    "no line of a gateway",
    line(107.0, "request", outcome="Relayed", status=200),
]


def test_lines_are_counted_by_their_span() -> None:
    first, second, last = spans(read_log(LOG))
    assert (first.from_s, first.started, first.ready) == (0.0, 1, 1)
    assert (first.refused, first.failed, first.merged) == (1, 1, 0)
    assert (second.from_s, second.merged, second.missing, second.repeats) == (2.0, 2, 4.0, 2.0)
    assert second.median_ms == 130.0
    assert (last.from_s, last.merged, last.failed) == (6.0, 0, 0)


def test_the_order_of_lines_does_not_matter() -> None:
    assert spans(read_log(reversed(LOG))) == spans(read_log(LOG))


def test_the_table_has_a_line_for_each_span(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "log"
    path.write_text("\n".join(LOG))
    assert main([str(path), "--seconds", "1"]) == 0
    rows = capsys.readouterr().out.splitlines()
    assert rows[0].split()[:2] == ["from", "s"]
    assert [row.split()[0] for row in rows[1:]] == ["0.0", "1.0", "2.0", "3.0", "7.0"]


@pytest.mark.parametrize(
    ("text", "seconds", "problem"),
    [("nothing", "2", "no line"), (LOG[0], "0", "seconds"), (None, "2", "No such file")],
)
def test_unusable_input_is_reported(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    text: str | None,
    seconds: str,
    problem: str,
) -> None:
    path = tmp_path / "log"
    if text is not None:
        path.write_text(text)
    assert main([str(path), "--seconds", seconds]) == 2
    assert problem in capsys.readouterr().err
