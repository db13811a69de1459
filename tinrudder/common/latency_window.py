"""Quantiles of a service's recent call latencies, in bounded memory and without sorting.

Owns two histograms whose buckets grow by a constant ratio. New latencies go into the current
histogram; the previous one still counts until the next rotation, so the window spans between one
and two periods.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Sequence

MIN_LATENCY_S = 1e-4
"""Upper bound of the first bucket, seconds: no call over a network is as short as this."""
BUCKET_RATIO = 1.07
"""Ratio of a bucket's upper bound to its lower bound: latencies are resolved to within 7%."""
BUCKETS = 200
"""Number of buckets: with the two constants above they cover 0.1 ms to about 75 s."""
PERIOD_CALLS = 4000
"""Calls after which the histograms rotate and the older one is dropped: the window spans 4,000 to
8,000 calls, enough that an event of 1 in 50 is counted some 80 times."""
REFRESH_CALLS = 64
"""Calls for which a computed quantile stays cached: one pass over all buckets per 64 calls instead
of one per call."""
_LOG_RATIO = math.log(BUCKET_RATIO)
_LOG_MIN_LATENCY = math.log(MIN_LATENCY_S)


class LatencyWindow:
    """Histogram of latencies from 0.1 ms to about 75 s, each resolved to within 7%.

    >>> window = LatencyWindow()
    >>> for latency_ms in range(1, 101):
    ...     window.observe(latency_ms / 1000)
    >>> 0.088 < window.quantile(0.9) < 0.097
    True
    """

    __slots__ = ("_cached", "_counts", "_former", "_former_total", "_stale_after", "_total")

    def __init__(self) -> None:
        """Start empty."""
        self._counts = [0] * BUCKETS
        self._former = [0] * BUCKETS
        self._total = 0
        self._former_total = 0
        self._cached: dict[float, float] = {}
        self._stale_after = 0

    def __len__(self) -> int:
        """Return the number of calls in the window."""
        return self._total + self._former_total

    def observe(self, seconds: float) -> None:
        """Record the latency of one call."""
        if seconds <= MIN_LATENCY_S:
            bucket = 0
        else:
            bucket = min(BUCKETS - 1, int((math.log(seconds) - _LOG_MIN_LATENCY) / _LOG_RATIO))
        self._counts[bucket] += 1
        self._total += 1
        if self._total >= self._stale_after:
            self._cached.clear()
            self._stale_after = self._total + REFRESH_CALLS
        if self._total >= PERIOD_CALLS:
            self._rotate()

    def quantile(self, fraction: float) -> float:
        """Return the latency that ``fraction`` of the calls stay below, seconds; 0 when empty."""
        cached = self._cached.get(fraction)
        if cached is None:
            cached = self._compute_quantile(fraction)
            self._cached[fraction] = cached
        return cached

    def fractions_above(self, times: Sequence[float]) -> tuple[float, ...]:
        """Return, for each of ``times`` in seconds, the share of calls that took longer.

        >>> window = LatencyWindow()
        >>> for latency_ms in range(1, 101):
        ...     window.observe(latency_ms / 1000)
        >>> [round(share, 1) for share in window.fractions_above([0.0, 0.020, 0.080, 0.2])]
        [1.0, 0.8, 0.2, 0.0]
        """
        total = len(self)
        if not total:
            return (0.0,) * len(times)
        counts = (
            current + previous for current, previous in zip(self._counts, self._former, strict=True)
        )
        cumulative = [0, *itertools.accumulate(counts)]
        return tuple(1.0 - _count_up_to(cumulative, seconds) / total for seconds in times)

    def _compute_quantile(self, fraction: float) -> float:
        """Return the latency of the first bucket at which the cumulative count reaches the rank."""
        total = len(self)
        if not total:
            return 0.0
        rank = fraction * total
        cumulative_count = 0
        for bucket in range(BUCKETS):
            cumulative_count += self._counts[bucket] + self._former[bucket]
            if cumulative_count >= rank:
                return _bucket_latency(bucket)
        return _bucket_latency(BUCKETS - 1)

    def _rotate(self) -> None:
        """Make the current histogram the previous one and start an empty one."""
        self._former = self._counts
        self._former_total = self._total
        self._counts = [0] * BUCKETS
        self._total = 0
        self._stale_after = REFRESH_CALLS


def _count_up_to(cumulative: Sequence[int], seconds: float) -> float:
    """Return the number of calls that took at most ``seconds``, interpolated linearly in a bucket.

    :param cumulative: number of calls below each bucket's lower bound, by bucket.
    """
    if seconds <= MIN_LATENCY_S:
        return 0.0
    position = (math.log(seconds) - _LOG_MIN_LATENCY) / _LOG_RATIO
    bucket = int(position)
    if bucket >= BUCKETS:
        return cumulative[BUCKETS]
    return cumulative[bucket] + (position - bucket) * (cumulative[bucket + 1] - cumulative[bucket])


def _bucket_latency(bucket: int) -> float:
    """Return the geometric mean of a bucket's bounds, seconds."""
    return MIN_LATENCY_S * math.exp((bucket + 0.5) * _LOG_RATIO)
