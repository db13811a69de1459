"""Breaks down the score that days lost by cause; losses and score add up to 1.

``python -m tinrudder_lab.worth REPORT...``: the users' benchmark writes one report for each day.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

from tinrudder_lab.day_report import (
    DayReport,
    DayReportError,
    RequestCounts,
    read_day_report,
)

EXIT_USAGE = 2
WORST_SPANS = 4
MIN_SHOWN_LOSS = 0.0005


@dataclass(frozen=True, slots=True)
class Loss:
    """How much one cause lowered a day's score."""

    cause: str
    lost: float


def losses(report: DayReport) -> list[Loss]:
    """Return all losses of a day, largest first; with the score they add up to 1."""
    found = [Loss(f"requests: {one.name}", one.lost) for one in report.components]
    found += [Loss(f"price: {one.name}", one.lost) for one in report.prices]
    unexplained = 1.0 - report.worth - sum(loss.lost for loss in found)
    found.append(Loss("rounding of the report", unexplained))
    return sorted(found, key=lambda loss: -abs(loss.lost))


def describe(counts: RequestCounts) -> str:
    """Return one line with the results of requests."""
    return (
        f"{counts.name:18} {counts.total:5} asked {counts.late:4} late {counts.refused:4} refused "
        f"{counts.failed:4} failed, worth {counts.worth:.3f}, "
        f"at least {counts.lost_in_time:.3f} by missing parts"
    )


def lines(name: str, report: DayReport) -> Iterator[str]:
    """Yield the lines of one day's table."""
    yield f"{name}: worth {report.worth:.4f}"
    if report.broken_rules:
        yield f"  broken rules: {', '.join(report.broken_rules)}"
    for loss in losses(report):
        if abs(loss.lost) >= MIN_SHOWN_LOSS:
            yield f"  {loss.lost:7.4f}  {loss.cause}"
    for kind in report.kinds:
        yield f"  kind {describe(kind)}"
    worst = sorted((span for span in report.spans if span.total), key=lambda span: span.worth)
    for span in worst[:WORST_SPANS]:
        yield f"  from {describe(span)}"


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command."""
    parser = argparse.ArgumentParser(prog="tinrudder_lab.worth", description=__doc__)
    parser.add_argument("reports", nargs="+", type=Path, metavar="REPORT")
    parsed = parser.parse_args(arguments)
    try:
        for path in parsed.reports:
            for line in lines(path.stem, read_day_report(path)):
                print(line)
    except DayReportError as error:
        print(f"worth: {error}", file=sys.stderr)
        return EXIT_USAGE
    return 0


if __name__ == "__main__":
    sys.exit(main())
