"""The losses of a day's score: their sum, the printed table and malformed reports."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest

from tinrudder_lab.day_report import DayReportError, read_day_report
from tinrudder_lab.worth import losses, main


def counts(name: str, **changes: Any) -> dict[str, Any]:
    ends = {"n": 10, "in_aim": 9, "late": 1, "refused": 0, "failed": 0, "worth": 0.86}
    return {"name": name} | ends | changes


def write_report(folder: Path, **changes: Any) -> Path:
    document: dict[str, Any] = {
        "G": 0.79,
        "parts": [["whole day", 0.6, 0.9], ["worst windows", 0.4, 0.75]],
        "prices": [["machine-seconds", 365.4, 0.04], ["GB between zones", 0.01, 0.01]],
        "classes": [counts("listing")],
        "windows": [counts("0", n=0, in_aim=0, late=0), counts("2"), counts("4", worth=0.2)],
        "breaks": {},
    }
    path = folder / "day.json"
    path.write_bytes(msgspec.json.encode(document | changes))
    return path


def test_losses_add_up_to_the_difference_from_one(tmp_path: Path) -> None:
    report = read_day_report(write_report(tmp_path))
    found = losses(report)
    assert sum(loss.lost for loss in found) == pytest.approx(1.0 - report.worth)
    assert found[0].cause == "requests: worst windows"
    assert report.kinds[0].lost_in_time == pytest.approx(0.04)


def test_the_table_names_causes_kinds_and_the_worst_spans(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main([str(write_report(tmp_path, breaks={"BUDGET": 1}))]) == 0
    printed = capsys.readouterr().out
    assert "broken rules: BUDGET" in printed
    assert "0.0400  price: machine-seconds" in printed
    assert "kind listing" in printed
    assert printed.index("from 4") < printed.index("from 2")


@pytest.mark.parametrize("changes", [{"G": "much"}, {"parts": [["whole day"]]}, {"windows": None}])
def test_a_malformed_report_is_named(
    tmp_path: Path, changes: dict[str, Any], capsys: pytest.CaptureFixture[str]
) -> None:
    path = write_report(tmp_path, **changes)
    with pytest.raises(DayReportError, match=r"day\.json"):
        read_day_report(path)
    assert main([str(path)]) == 2
    assert "day.json" in capsys.readouterr().err
