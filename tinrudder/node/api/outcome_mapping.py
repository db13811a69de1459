"""Owns the mapping of outcomes to HTTP status codes, headers and bodies; see docs/API.md."""

from __future__ import annotations

import math

import msgspec

from tinrudder.node.outcomes import (
    Answer,
    Complete,
    Coverage,
    Failed,
    MayHaveRun,
    MayHaveRunReason,
    NotRun,
    NotRunReason,
    Outcome,
    Partial,
)

OK = 200
PARTIAL_CONTENT = 206
BAD_GATEWAY = 502
NOT_RUN_STATUS: dict[NotRunReason, int] = {
    NotRunReason.OVERLOADED: 503,
    NotRunReason.TENANT_LIMIT: 429,
    NotRunReason.DEADLINE: 503,
    NotRunReason.NO_BACKEND: 503,
    NotRunReason.UNKNOWN_RESOURCE: 404,
    NotRunReason.INVALID_REQUEST: 400,
    NotRunReason.STOPPING: 503,
    NotRunReason.NO_QUORUM: 503,
    NotRunReason.CANCELLED: 499,
}
MAY_HAVE_RUN_STATUS: dict[MayHaveRunReason, int] = {
    MayHaveRunReason.NO_ANSWER: 504,
    MayHaveRunReason.RELAY_LOST: 504,
    MayHaveRunReason.ALREADY_CLAIMED: 409,
    MayHaveRunReason.EARLIER_SUBMISSION: 409,
    MayHaveRunReason.CANCELLED: 504,
}


class MissingShardBody(msgspec.Struct, frozen=True):
    """A missing shard in a caller's response."""

    shard: str
    reason: str


class OwnerCoverageBody(msgspec.Struct, frozen=True):
    """The missing shards of one owner."""

    missing: tuple[MissingShardBody, ...]


class CoverageBody(msgspec.Struct, frozen=True):
    """Coverage in a caller's response."""

    ratio: float
    included: tuple[str, ...]
    missing_by_owner: dict[str, OwnerCoverageBody]


class OutcomeBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """The JSON body of every outcome.

    :param retry_after_ms: delay before a retry can succeed; the Retry-After header rounds it up to
        whole seconds.
    :param outcome: ``complete``, ``partial``, ``not_run``, ``may_have_run`` or ``failed``.
    """

    query_id: str
    outcome: str
    reason: str = ""
    detail: str = ""
    version: int | None = None
    rows: tuple[msgspec.Raw, ...] = ()
    coverage: CoverageBody | None = None
    cursor: str | None = None
    retry_after_ms: int | None = None


def coverage_body(coverage: Coverage) -> CoverageBody:
    """Return the coverage with its missing shards grouped by owner."""
    by_owner: dict[str, list[MissingShardBody]] = {}
    for shard in coverage.missing:
        body = MissingShardBody(shard.shard, shard.reason.value)
        by_owner.setdefault(shard.owner, []).append(body)
    grouped = {owner: OwnerCoverageBody(tuple(shards)) for owner, shards in by_owner.items()}
    return CoverageBody(coverage.ratio, coverage.included, grouped)


def status_of(outcome: Outcome) -> int:
    """Return the HTTP status of an outcome."""
    match outcome:
        case Complete():
            return OK
        case Partial():
            return PARTIAL_CONTENT
        case NotRun(reason):
            return NOT_RUN_STATUS[reason]
        case MayHaveRun(may_reason):
            return MAY_HAVE_RUN_STATUS[may_reason]
        case Failed():
            return BAD_GATEWAY


def headers_of(outcome: Outcome) -> dict[str, str]:
    """Return ``Retry-After`` in whole seconds, rounded up, if the outcome has a retry delay."""
    if isinstance(outcome, NotRun) and outcome.retry_after_s is not None:
        return {"Retry-After": str(max(1, math.ceil(outcome.retry_after_s)))}
    return {}


def body_of(query_id: str, outcome: Outcome, cursor: str | None) -> OutcomeBody:
    """Return the JSON body of an outcome; ``cursor``, if any, is the position to continue from."""
    match outcome:
        case Complete(answer):
            return _answer_body(query_id, "complete", answer, cursor)
        case Partial(answer):
            return _answer_body(query_id, "partial", answer, cursor)
        case NotRun(reason, detail, retry_after_s):
            retry_after_ms = None if retry_after_s is None else math.ceil(retry_after_s * 1000)
            return OutcomeBody(
                query_id, "not_run", reason.value, detail, retry_after_ms=retry_after_ms
            )
        case MayHaveRun(may_reason, detail):
            return OutcomeBody(query_id, "may_have_run", may_reason.value, detail)
        case Failed(failed_reason, detail, coverage):
            return OutcomeBody(
                query_id,
                "failed",
                failed_reason.value,
                detail,
                coverage=coverage_body(coverage),
                cursor=cursor,
            )


def _answer_body(query_id: str, tag: str, answer: Answer, cursor: str | None) -> OutcomeBody:
    rows = tuple(msgspec.Raw(row.payload) for row in answer.rows)
    return OutcomeBody(
        query_id,
        tag,
        version=answer.version,
        rows=rows,
        coverage=coverage_body(answer.coverage),
        cursor=cursor,
    )
