"""Derives a query's outcome from the current progress of its shards.

Owns no state: pure functions.
"""

from __future__ import annotations

from collections.abc import Sequence

from tinrudder.node.outcomes import (
    Answer,
    Complete,
    Coverage,
    Failed,
    FailedReason,
    MayHaveRun,
    MayHaveRunReason,
    MissingReason,
    MissingShard,
    NotRun,
    NotRunReason,
    Outcome,
    Partial,
)
from tinrudder.node.query.merge import merge_rows
from tinrudder.node.query.plan import QueryPlan
from tinrudder.node.query.shard_progress import ShardProgress

UNREACHABLE_REASONS = frozenset(
    {MissingReason.NO_REPLICA, MissingReason.BROKEN, MissingReason.VERSION_GONE}
)
"""Reasons that mean that no back end could serve a shard.  A query that did not run for these
reasons alone ends with ``NO_BACKEND``."""


def decide_outcome(
    plan: QueryPlan, progress: Sequence[ShardProgress], *, started_before: bool, at_deadline: bool
) -> Outcome:
    """Return the outcome of a query that ends now.

    :param started_before: an earlier plan of the same query may have been started by a back end.
    :param at_deadline: the query ends because its deadline has passed.
    """
    coverage = coverage_of(progress)
    if not coverage.included:
        not_started = not started_before and all(shard.not_started for shard in progress)
        return _outcome_without_answers(
            plan, coverage, not_started=not_started, at_deadline=at_deadline
        )
    if coverage.ratio < plan.rule.minimum_coverage:
        return Failed(FailedReason.COVERAGE_TOO_LOW, f"coverage {coverage.ratio:.3f}", coverage)
    request = plan.request
    answered = [shard.rows for shard in progress if shard.rows is not None]
    page = merge_rows(
        [rows.rows for rows in answered],
        descending=request.descending,
        limit=request.limit,
        more=any(rows.more for rows in answered),
    )
    answer = Answer(plan.version, page.rows, coverage, page.next_after)
    return Partial(answer) if coverage.missing else Complete(answer)


def coverage_of(progress: Sequence[ShardProgress]) -> Coverage:
    """Return which shards are included and why the others are missing."""
    included: list[str] = []
    missing: list[MissingShard] = []
    for shard in progress:
        spec = shard.planned.spec
        if shard.rows is not None:
            included.append(spec.shard)
        else:
            missing.append(MissingShard(spec.shard, spec.owner, shard.missing_reason()))
    return Coverage(tuple(included), tuple(missing))


def _outcome_without_answers(
    plan: QueryPlan, coverage: Coverage, *, not_started: bool, at_deadline: bool
) -> Outcome:
    """Return the outcome of a query without any answered shard."""
    reasons = {shard.reason for shard in coverage.missing}
    if reasons == {MissingReason.VERSION_GONE} and plan.repeatable:
        detail = f"version: {plan.version} is no longer served"
        return Failed(FailedReason.VERSION_GONE, detail, coverage)
    if not_started:
        return NotRun(_not_run_reason(reasons, at_deadline), "no back end started any part")
    if not plan.repeatable:
        return MayHaveRun(MayHaveRunReason.NO_ANSWER)
    return Failed(FailedReason.COVERAGE_TOO_LOW, "no shard answered", coverage)


def _not_run_reason(reasons: set[MissingReason], at_deadline: bool) -> NotRunReason:
    """Return why the query did not run."""
    causes = reasons - {MissingReason.NOT_ASKED, MissingReason.GIVEN_UP}
    if causes and causes <= UNREACHABLE_REASONS:
        return NotRunReason.NO_BACKEND
    if at_deadline and MissingReason.REFUSED not in reasons:
        return NotRunReason.DEADLINE
    return NotRunReason.OVERLOADED
