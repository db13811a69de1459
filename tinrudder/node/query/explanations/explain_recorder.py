"""Records finished fan-outs and converts them to explanations.

Owns no state: the records are kept in the ring of ``explain``.
"""

from __future__ import annotations

from collections.abc import Sequence

from tinrudder.node.decisions.registry import DEFAULTS, Role
from tinrudder.node.outcomes import (
    Complete,
    Coverage,
    Failed,
    MayHaveRun,
    NotRun,
    Outcome,
    Partial,
    reason_of,
)
from tinrudder.node.query.explanations.explain import (
    CallExplanation,
    ExplanationRing,
    QueryExplanation,
)
from tinrudder.node.query.plan import QueryPlan
from tinrudder.node.query.shard_progress import ShardProgress

MILLISECONDS = 1000.0
"""Milliseconds per second."""
OUTCOME_NAMES: dict[type[Outcome], str] = {
    Complete: "complete",
    Partial: "partial",
    NotRun: "not_run",
    MayHaveRun: "may_have_run",
    Failed: "failed",
}


class RecordedFanOut:
    """One finished fan-out.  Refers to its plan, but not to the rows of its answer."""

    __slots__ = (
        "_coverage",
        "_elapsed_s",
        "_hedges",
        "_node_name",
        "_outcome_name",
        "_plan",
        "_reason",
        "_sent_at",
        "_started",
        "_tried",
        "query_id",
        "tenant",
    )

    def __init__(
        self,
        node_name: str,
        plan: QueryPlan,
        shards: Sequence[ShardProgress],
        outcome: Outcome,
        started: float,
        ended: float,
    ) -> None:
        """Store the state that :meth:`explain` needs."""
        self.query_id = plan.request.query_id
        self.tenant = plan.request.tenant
        self._node_name = node_name
        self._plan = plan
        self._tried = [shard.tried for shard in shards]
        self._hedges = [shard.hedges for shard in shards]
        self._sent_at = [shard.first_sent_at for shard in shards]
        self._outcome_name = OUTCOME_NAMES[type(outcome)]
        self._reason = reason_of(outcome)
        self._coverage = coverage_of(outcome)
        self._started = started
        self._elapsed_s = ended - started

    def explain(self) -> QueryExplanation:
        """Convert the record to an explanation."""
        request = self._plan.request
        return QueryExplanation(
            self.query_id,
            self.tenant,
            self._node_name,
            self._plan.service,
            request.index,
            request.rule,
            self._plan.version,
            self._outcome_name,
            self._reason,
            milliseconds(self._elapsed_s),
            self._plan.rule.policies.get(Role.REPLICA_CHOICE, DEFAULTS[Role.REPLICA_CHOICE]),
            self._explain_shards(),
        )

    def _explain_shards(self) -> tuple[CallExplanation, ...]:
        missing = {
            missing_shard.shard: missing_shard.reason.value
            for missing_shard in self._coverage.missing
        }
        return tuple(
            CallExplanation(
                planned.spec.shard,
                planned.spec.owner,
                tuple(backend.name for backend in planned.candidates),
                tuple(backend.name for backend in tried),
                hedges,
                None if sent_at is None else milliseconds(sent_at - self._started),
                missing.get(planned.spec.shard, ""),
            )
            for planned, tried, hedges, sent_at in zip(
                self._plan.shards, self._tried, self._hedges, self._sent_at, strict=True
            )
        )


class FanOutRecorder:
    """Records the fan-outs of a coordinator."""

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

        :param started: monotonic time of its start, seconds.
        :param ended: monotonic time of its end, seconds.
        """
        self._ring.add(RecordedFanOut(self._node_name, plan, shards, outcome, started, ended))


def coverage_of(outcome: Outcome) -> Coverage:
    """Return the coverage of an outcome, empty if the outcome has none."""
    if isinstance(outcome, Complete | Partial):
        return outcome.answer.coverage
    if isinstance(outcome, Failed):
        return outcome.coverage
    return Coverage(())


def milliseconds(seconds: float) -> float:
    """Return rounded milliseconds.

    >>> milliseconds(0.0123456)
    12.346
    """
    return round(seconds * MILLISECONDS, 3)
