"""Builds the outcome of a run: the answer, or the reason why there is none.

Owns no state.  "Not run" is returned only if no back end can have run any part of the request, for
this or another gateway.  Every other outcome is an answer, a failure or a timeout.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from tinrudder.gateway.model.http_messages import HttpAnswer, header_value
from tinrudder.gateway.model.outcomes import (
    Merged,
    NoAnswer,
    NotRun,
    Relayed,
    RequestOutcome,
    TimedOut,
)
from tinrudder.gateway.runs.delegated_groups import DelegatedGroups
from tinrudder.gateway.runs.run_context import RunContext
from tinrudder.gateway.runs.shard_calls import ShardCalls
from tinrudder.gateway.scatters.record_merge import merge_top_records

RETRY_AFTER_S = 0.1
"""Minimum Retry-After of a refusal after which another replica or a free slot may serve a retry,
seconds.  Long enough for a slot to become free, and short compared with the deadlines of
clients."""
RETRY_AFTER_BACKEND_DOWN_S = 0.5
"""Retry-After when the back ends of a shard refuse connections, seconds.  Processes take seconds to
start, and clients retry within a third of their deadline of 0.8 to 8 s at the latest."""

RefusalMaker = Callable[[str, float], NotRun]
"""Builds the refusal of a request that has not run, from the reason and minimum Retry-After (s)."""


def answer_of(
    run: RunContext, shards: Sequence[ShardCalls], groups: DelegatedGroups, total: int
) -> RequestOutcome:
    """Return the answer of a single back end, or the merged answers of the shards.

    :param total: number of shards of the scatter, including delegated ones.
    """
    parts = [shard.part for shard in shards if shard.part is not None]
    if not run.is_scatter:
        return Relayed(parts[0])
    return _merged(run, parts, groups, total)


def _merged(
    run: RunContext, parts: list[HttpAnswer], groups: DelegatedGroups, total: int
) -> Merged:
    """Merge the answers of this gateway's shards with the merged answers of other gateways."""
    stamp = run.call_context.names.stamp
    stamps = [header_value(part.headers, stamp) or b"" for part in parts]
    bodies = [part.body for part in parts]
    sizes = [len(body) for body in bodies]
    for part in groups.parts:
        stamps.extend(part.stamps)
        bodies.append(part.body)
    body = merge_top_records(bodies, run.route.top_records)
    run.call_context.observe_sizes(run.route.shards, len(body), sizes)
    return Merged(body, tuple(stamps), total - len(stamps))


def failure_of(
    run: RunContext,
    shards: Sequence[ShardCalls],
    groups: DelegatedGroups,
    make_refusal: RefusalMaker,
    now: float,
) -> RequestOutcome:
    """Return the outcome of a run without an answer, with the reason."""
    detail = "; ".join(sorted({shard.last_error for shard in shards if shard.last_error}))
    if not (groups.may_have_run or any(shard.may_have_run for shard in shards)):
        detail = detail or "no back end is left"
        any_refused = any(shard.connection_refused for shard in shards)
        if run.guard.barred_s or any_refused:
            return NotRun(detail, run.guard.barred_s or RETRY_AFTER_BACKEND_DOWN_S)
        return make_refusal(detail, RETRY_AFTER_S)
    failure = None if run.is_scatter else shards[0].failure
    if failure is not None:
        return Relayed(failure)
    if now >= run.deadlines.deadline_at:
        return TimedOut(detail or "no answer in time")
    return NoAnswer(detail)
