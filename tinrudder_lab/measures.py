"""Figures worked out from a run's history."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from tinrudder_lab.checkers.configuration import seconds_in_force
from tinrudder_lab.checkers.draining import drain_seconds
from tinrudder_lab.checkers.violation import Violation
from tinrudder_lab.history import History, QueryEnded
from tinrudder_lab.report import ANSWERED, REFUSED, ROUND_MS, ROUND_RATIO, Figures, RunResult
from tinrudder_lab.scenarios import Scenario
from tinrudder_lab.sim.world import World

MS = 1000.0


def percentile(ordered: Sequence[float], share: float) -> float:
    """Return the value at a rank of sorted values, 0.0 for none.

    >>> percentile([1.0, 2.0, 3.0, 4.0], 0.5)
    3.0
    """
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def latencies_ms(history: History, tenant: str | None = None) -> list[float]:
    """Return the sorted latencies of answered queries as callers saw them."""
    values = []
    for ended in history.ended.values():
        sent = history.sent[ended.query]
        if ended.outcome in ANSWERED and tenant in (None, sent.tenant):
            values.append((ended.at - sent.at) * MS)
    values.sort()
    return values


def extra_load(world: World) -> float:
    """Return calls sent over calls needed, minus 1."""
    needed = sum(len(e.included) + len(e.missing) for e in world.history.ended.values())
    return world.sent_calls / needed - 1.0 if needed else 0.0


def coverage_of(ended: QueryEnded) -> float:
    """Return the stated coverage."""
    total = len(ended.included) + len(ended.missing)
    return len(ended.included) / total if total else 1.0


def figures_of(world: World) -> Figures:
    """Return the figures that any run has."""
    history = world.history
    latencies = latencies_ms(history)
    covered = [coverage_of(e) for e in history.ended.values() if e.included or e.missing]
    return Figures(
        queries=len(history.sent),
        p50_ms=round(percentile(latencies, 0.5), ROUND_MS),
        p99_ms=round(percentile(latencies, 0.99), ROUND_MS),
        p999_ms=round(percentile(latencies, 0.999), ROUND_MS),
        coverage_mean=round(sum(covered) / max(1, len(covered)), ROUND_RATIO),
        extra_load=round(extra_load(world), ROUND_RATIO),
        refused=sum(1 for e in history.ended.values() if e.outcome == REFUSED),
    )


def result_of(
    scenario: Scenario,
    seed: int,
    policy: str,
    world: World,
    violations: tuple[Violation, ...],
    baseline: Figures | None,
) -> RunResult:
    """Return the last line of a run."""
    figures = figures_of(world)
    outcomes = Counter(ended.outcome for ended in world.history.ended.values())
    return RunResult(
        scenario=scenario.name,
        seed=seed,
        mode="sim",
        policy=policy,
        nodes=len(world.members),
        backends=len(world.backends),
        queries=figures.queries,
        p50_ms=figures.p50_ms,
        p99_ms=figures.p99_ms,
        p999_ms=figures.p999_ms,
        coverage_mean=figures.coverage_mean,
        extra_load=figures.extra_load,
        refused=figures.refused,
        violations=violations,
        outcomes=dict(sorted(outcomes.items())),
        config_in_force_s=_rounded(seconds_in_force(world.history)),
        drain_s=_rounded(drain_seconds(world.history)),
        baseline=baseline,
    )


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, ROUND_MS)
