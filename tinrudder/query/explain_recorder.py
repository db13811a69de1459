"""Condenses finished fan-outs and finished callers' queries into explanations."""

from __future__ import annotations

from collections.abc import Sequence

from tinrudder.outcomes import (
    Complete,
    Coverage,
    Failed,
    MayHaveRun,
    NotRun,
    Outcome,
    Partial,
    reason_of,
)
from tinrudder.query.explain import CallExplanation, ExplanationRing, QueryExplanation
from tinrudder.query.fan_out import ShardProgress
from tinrudder.query.plan import QueryPlan

MILLISECONDS = 1000.0
OUTCOME_NAMES: dict[type[Outcome], str] = {
    Complete: "complete",
    Partial: "partial",
    NotRun: "not_run",
    MayHaveRun: "may_have_run",
    Failed: "failed",
}


class FanOutRecorder:
    """Keeps what a coordinator's fan-outs did; costs a query nothing before it has ended."""

    def __init__(self, node_name: str, ring: ExplanationRing) -> None:
        """Record into ``ring``."""
        self._node_name = node_name
        self._ring = ring

    def __call__(
        self,
        plan: QueryPlan,
        shards: Sequence[ShardProgress],
        outcome: Outcome,
        started: float,
        ended: float,
    ) -> None:
        """Record one fan-out.

        :param started: monotonic time of its start, seconds; :param ended: and of its end.
        """
        request = plan.request
        missing = missing_reasons(outcome)
        explanation = QueryExplanation(
            request.query_id,
            request.tenant,
            self._node_name,
            plan.service,
            request.index,
            request.rule,
            plan.version,
            OUTCOME_NAMES[type(outcome)],
            reason_of(outcome),
            milliseconds(ended - started),
            plan.rule.policies.get("replica_choice", ""),
            tuple(_explain(shard, missing, started) for shard in shards),
        )
        self._ring.add(explanation)


def _explain(shard: ShardProgress, missing: dict[str, str], started: float) -> CallExplanation:
    """Condense one shard."""
    spec = shard.planned.spec
    waited = None
    if shard.first_sent_at is not None:
        waited = milliseconds(shard.first_sent_at - started)
    return CallExplanation(
        spec.shard,
        spec.owner,
        tuple(backend.name for backend in shard.planned.candidates),
        tuple(backend.name for backend in shard.tried),
        0,
        waited,
        missing.get(spec.shard, "") if shard.rows is None else "",
    )


def missing_reasons(outcome: Outcome) -> dict[str, str]:
    """Return why each missing shard is missing, by shard."""
    coverage = Coverage(())
    if isinstance(outcome, Complete | Partial):
        coverage = outcome.answer.coverage
    elif isinstance(outcome, Failed):
        coverage = outcome.coverage
    return {gap.shard: gap.reason.value for gap in coverage.missing}


def milliseconds(seconds: float) -> float:
    """Return rounded milliseconds.

    >>> milliseconds(0.0123456)
    12.346
    """
    return round(seconds * MILLISECONDS, 3)
