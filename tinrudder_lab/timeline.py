"""Prints the results of a fleet's requests over time from its logs, a few seconds per line.

``python -m tinrudder_lab.timeline LOG``: the file contains the lines of all gateways, in any order.
The table shows the cost of starting the whole fleet: how many processes started and became ready,
and for merged answers how many shards were missing, how many calls were repeats and the latency.
"""

from __future__ import annotations

import argparse
import statistics
import sys
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

from tinrudder.cli.story import REQUEST_EVENT, LogLine, read_log

EXIT_USAGE = 2
DEFAULT_WIDTH_S = 2.0
MERGED = "Merged"
REFUSED_STATUS = 503
FAILED_FROM = 500


@dataclass(frozen=True, slots=True)
class Span:
    """Figures of a few seconds of the log; means cover merged answers, 0 without any.

    :param from_s: start of the span, seconds since the first line of the log.
    """

    from_s: float
    started: int
    ready: int
    refused: int
    failed: int
    merged: int
    missing: float
    repeats: float
    median_ms: float


def spans(lines: Iterable[LogLine], width_s: float = DEFAULT_WIDTH_S) -> list[Span]:
    """Return the spans that contain a line, in time order.

    :raises ValueError: ``width_s`` is not above zero.
    """
    if width_s <= 0:
        raise ValueError(f"seconds: {width_s} is not above zero")
    all_lines = list(lines)
    if not all_lines:
        return []
    first = min(line.time for line in all_lines)
    by_span: defaultdict[int, list[LogLine]] = defaultdict(list)
    for line in all_lines:
        by_span[int((line.time - first) / width_s)].append(line)
    return [_span(number * width_s, by_span[number]) for number in sorted(by_span)]


def _span(from_s: float, lines: list[LogLine]) -> Span:
    """Compute the figures of one span."""
    events = [line.event for line in lines]
    requests = [line for line in lines if line.event == REQUEST_EVENT]
    merged = [line for line in requests if line.outcome == MERGED]
    refused = sum(1 for line in requests if line.status == REFUSED_STATUS)
    return Span(
        from_s=from_s,
        started=events.count("started"),
        ready=events.count("ready"),
        refused=refused,
        failed=sum(1 for line in requests if line.status >= FAILED_FROM) - refused,
        merged=len(merged),
        missing=_mean([line.missing or 0 for line in merged]),
        repeats=_mean([line.repeats for line in merged]),
        median_ms=statistics.median([line.elapsed_ms for line in merged]) if merged else 0.0,
    )


def _mean(values: Sequence[float]) -> float:
    return statistics.fmean(values) if values else 0.0


def table(found: Iterable[Span]) -> list[str]:
    """Return the spans as lines of text, after a line with the names of the columns."""
    names = (
        "from s",
        "started",
        "ready",
        "refused",
        "failed",
        "merged",
        "missing",
        "repeats",
        "ms",
    )
    rows = [" ".join(f"{name:>8}" for name in names)]
    for span in found:
        counts = (span.started, span.ready, span.refused, span.failed, span.merged)
        means = (span.missing, span.repeats, span.median_ms)
        cells = [f"{span.from_s:8.1f}", *(f"{count:8d}" for count in counts)]
        rows.append(" ".join([*cells, *(f"{mean:8.2f}" for mean in means)]))
    return rows


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command."""
    parser = argparse.ArgumentParser(prog="tinrudder_lab.timeline", description=__doc__)
    parser.add_argument("log", type=Path)
    parser.add_argument(
        "--seconds", type=float, default=DEFAULT_WIDTH_S, help="seconds covered by one line"
    )
    parsed = parser.parse_args(arguments)
    try:
        text = parsed.log.read_text(errors="replace")
        found = spans(read_log(text.splitlines()), parsed.seconds)
    except OSError as error:
        print(f"timeline: {parsed.log}: {error.strerror}", file=sys.stderr)
        return EXIT_USAGE
    except ValueError as error:
        print(f"timeline: {error}", file=sys.stderr)
        return EXIT_USAGE
    if not found:
        print(f"timeline: {parsed.log}: no line of a gateway", file=sys.stderr)
        return EXIT_USAGE
    print("\n".join(table(found)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
