"""Computes the figures of a run from its history."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

import msgspec

from tinrudder_lab.checkers.configuration import seconds_in_force
from tinrudder_lab.checkers.draining import drain_seconds
from tinrudder_lab.checkers.violation import Violation
from tinrudder_lab.history import CallStage, History, QueryEnded
from tinrudder_lab.report import (
    ANSWERED,
    REFUSED,
    ROUND_MS,
    ROUND_RATIO,
    RunResult,
    TenantFigures,
)
from tinrudder_lab.scenarios import Scenario
from tinrudder_lab.sim.world import World
from tinrudder_lab.topology import SHARED_SERVICE

MS = 1000.0


def percentile(ordered: Sequence[float], share: float) -> float:
    """Return the value at rank ``share`` of sorted values, 0.0 if there are none.

    >>> percentile([1.0, 2.0, 3.0, 4.0], 0.5)
    3.0
    """
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def latencies_ms(history: History, tenant: str | None = None) -> list[float]:
    """Return the sorted latencies of answered queries, measured at the callers."""
    values = []
    for ended in history.ended.values():
        sent = history.sent[ended.query]
        if ended.outcome in ANSWERED and tenant in (None, sent.tenant):
            values.append((ended.at - sent.at) * MS)
    values.sort()
    return values


def extra_load(history: History, sent_calls: int) -> float:
    """Return the ratio of sent to needed calls, minus 1.

    An operation needs one call for all its submissions.
    """
    needed = 0
    operations = set()
    for ended in history.ended.values():
        key = history.sent[ended.query].request_key
        if key is None:
            needed += len(ended.included) + len(ended.missing)
        elif ended.included:
            operations.add(key)
    needed += len(operations)
    return sent_calls / needed - 1.0 if needed else 0.0


def coverage_of(ended: QueryEnded) -> float:
    """Return the coverage that an answer reports."""
    total = len(ended.included) + len(ended.missing)
    return len(ended.included) / total if total else 1.0


def tenant_figures(world: World) -> dict[str, TenantFigures]:
    """Return each tenant's figures."""
    history = world.history
    tenants = sorted({sent.tenant for sent in history.sent.values()})
    answered = {tenant: len(latencies_ms(history, tenant)) for tenant in tenants}
    total = max(1, sum(answered.values()))
    figures = {}
    for tenant in tenants:
        queries = sum(1 for sent in history.sent.values() if sent.tenant == tenant)
        refused = sum(
            1
            for ended in history.ended.values()
            if ended.outcome == REFUSED and history.sent[ended.query].tenant == tenant
        )
        figures[tenant] = TenantFigures(
            queries=queries,
            refused=refused,
            p99_ms=_p99(history, tenant),
            served=round(answered[tenant] / max(1, queries), ROUND_RATIO),
            share=round(answered[tenant] / total, ROUND_RATIO),
        )
    return figures


def _p99(history: History, tenant: str) -> float:
    return round(percentile(latencies_ms(history, tenant), 0.99), ROUND_MS)


def goodput(scenario: Scenario, world: World) -> float:
    """Return answered queries as a share of the shared service's capacity during the run."""
    capacity = world.topology.capacity(SHARED_SERVICE) * scenario.duration_s
    return round(len(latencies_ms(world.history)) / capacity, ROUND_RATIO)


def calls_per_accepted(world: World) -> float:
    """Return the ratio of sent calls to the calls that the answered queries needed."""
    answered = (e for e in world.history.ended.values() if e.outcome in ANSWERED)
    needed = sum(len(ended.included) + len(ended.missing) for ended in answered)
    return round(world.sent_calls / max(1, needed), ROUND_RATIO)


def result_of(
    scenario: Scenario, seed: int, world: World, violations: tuple[Violation, ...]
) -> RunResult:
    """Return the result of a run."""
    plain = _plain_result(scenario, seed, world, violations)
    if world.topology.shards == 1:
        return plain
    return msgspec.structs.replace(
        plain,
        tenants=tenant_figures(world),
        goodput=goodput(scenario, world),
        calls_per_accepted=calls_per_accepted(world),
    )


def _plain_result(
    scenario: Scenario, seed: int, world: World, violations: tuple[Violation, ...]
) -> RunResult:
    """Return the figures that runs on every topology report."""
    history = world.history
    latencies = latencies_ms(history)
    covered = [coverage_of(e) for e in history.ended.values() if e.included or e.missing]
    outcomes = Counter(ended.outcome for ended in history.ended.values())
    return RunResult(
        scenario=scenario.name,
        seed=seed,
        nodes=len(world.members),
        backends=len(world.backends),
        queries=len(history.sent),
        p50_ms=round(percentile(latencies, 0.5), ROUND_MS),
        p99_ms=round(percentile(latencies, 0.99), ROUND_MS),
        p999_ms=round(percentile(latencies, 0.999), ROUND_MS),
        coverage_mean=round(sum(covered) / max(1, len(covered)), ROUND_RATIO),
        extra_load=round(extra_load(history, world.sent_calls), ROUND_RATIO),
        refused=outcomes[REFUSED],
        violations=violations,
        outcomes=dict(sorted(outcomes.items())),
        config_in_force_s=_rounded(seconds_in_force(history)),
        drain_s=_rounded(drain_seconds(history)),
    )


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, ROUND_MS)


def peak_calls(history: History) -> int:
    """Return the maximum number of concurrent calls in one back end."""
    in_flight: dict[str, int] = {}
    peak = 0
    for call in history.calls:
        if call.stage is CallStage.RECEIVED:
            in_flight[call.backend] = in_flight.get(call.backend, 0) + 1
            peak = max(peak, in_flight[call.backend])
        elif call.stage is not CallStage.STARTED:
            in_flight[call.backend] -= 1
    return peak
