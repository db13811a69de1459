"""Latency histograms of finished requests, cheap to update; a scrape renders them.

Owns the bucket bounds; the holder of a histogram owns its counts.
"""

from __future__ import annotations

import bisect

from msgspec import Struct, field

LATENCY_BUCKETS_S = (0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0)
"""Upper bounds in seconds, from a fast call's few milliseconds to the longest time that clients
wait."""


class LatencyCounts(Struct):
    """One histogram: the number of requests in each bucket; the last bucket has no upper bound.

    >>> counts = LatencyCounts()
    >>> counts.observe(0.01)
    >>> counts.observe(60.0)
    >>> counts.counts[1], counts.counts[-1], counts.total_s
    (1, 1, 60.01)
    """

    counts: list[int] = field(default_factory=lambda: [0] * (len(LATENCY_BUCKETS_S) + 1))
    total_s: float = 0.0

    def observe(self, seconds: float) -> None:
        """Count one request."""
        self.counts[bisect.bisect_left(LATENCY_BUCKETS_S, seconds)] += 1
        self.total_s += seconds


class LatencyLabels(Struct, frozen=True):
    """Labels of one histogram."""

    priority: str
    outcome: str
