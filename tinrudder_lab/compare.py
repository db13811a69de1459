"""Paired comparison of two sets of runs over the same seeds."""

from __future__ import annotations

import random
from collections.abc import Sequence
from statistics import fmean

import msgspec

from tinrudder_lab.report import RunResult

METRICS = ("p50_ms", "p99_ms", "p999_ms", "coverage_mean", "extra_load", "refused")
RESAMPLES = 2000
TAIL = 0.025


class MetricDifference(msgspec.Struct, frozen=True):
    """One measure: both means, and the paired difference with its 95% interval."""

    metric: str
    first: float
    second: float
    difference: float
    low: float
    high: float


def compare_results(
    first: Sequence[RunResult], second: Sequence[RunResult]
) -> list[MetricDifference]:
    """Compare runs of the same scenario, paired by seed; unpaired seeds are left out."""
    by_seed = {result.seed: result for result in second}
    pairs = [(one, by_seed[one.seed]) for one in first if one.seed in by_seed]
    return [_difference(metric, pairs) for metric in METRICS] if pairs else []


def _difference(metric: str, pairs: Sequence[tuple[RunResult, RunResult]]) -> MetricDifference:
    values = [(float(getattr(a, metric)), float(getattr(b, metric))) for a, b in pairs]
    differences = [b - a for a, b in values]
    low, high = bootstrap_interval(differences)
    return MetricDifference(
        metric,
        round(fmean(a for a, _ in values), 5),
        round(fmean(b for _, b in values), 5),
        round(fmean(differences), 5),
        round(low, 5),
        round(high, 5),
    )


def bootstrap_interval(values: Sequence[float]) -> tuple[float, float]:
    """Return the 95% interval of the mean, by resampling; the same for the same values.

    >>> bootstrap_interval([2.0, 2.0, 2.0])
    (2.0, 2.0)
    """
    source = random.Random(0)
    means = sorted(fmean(source.choices(values, k=len(values))) for _ in range(RESAMPLES))
    return means[int(TAIL * RESAMPLES)], means[int((1 - TAIL) * RESAMPLES) - 1]
