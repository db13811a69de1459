"""Which shards of a running query are overdue, and which of them are hedged first."""

from __future__ import annotations

from collections.abc import Sequence

from tinrudder.query.shard_progress import ShardProgress
from tinrudder.resources.model import Preference
from tinrudder.routing.hedging import MAX_HEDGES_PER_SHARD
from tinrudder.routing.service_routing import ServiceRouting


def find_overdue(
    progress: Sequence[ShardProgress], routing: ServiceRouting, now: float
) -> list[ShardProgress]:
    """Return the shards whose latest call is older than the hedge delay."""
    delays = [routing.hedge_delay_s(hedges) for hedges in range(MAX_HEDGES_PER_SHARD)]
    overdue: list[ShardProgress] = []
    for shard in progress:
        if not shard.calls or shard.hedges >= MAX_HEDGES_PER_SHARD:
            continue
        delay = delays[shard.hedges]
        if delay is not None and shard.calls[-1].sent_at + delay <= now:
            overdue.append(shard)
    return overdue


def next_look(
    progress: Sequence[ShardProgress], routing: ServiceRouting, now: float
) -> float | None:
    """Return when to look for overdue shards next; ``None`` while nothing is hedged.

    That is when the next call becomes overdue, at the latest one hedge delay from now: calls
    may be sent in between.
    """
    delays = [routing.hedge_delay_s(hedges) for hedges in range(MAX_HEDGES_PER_SHARD)]
    if delays[0] is None:
        return None
    soonest = now + delays[0]
    for shard in progress:
        if not shard.calls or shard.hedges >= MAX_HEDGES_PER_SHARD:
            continue
        delay = delays[shard.hedges]
        if delay is not None and now < shard.calls[-1].sent_at + delay < soonest:
            soonest = shard.calls[-1].sent_at + delay
    return soonest


def owners_included(progress: Sequence[ShardProgress]) -> frozenset[str]:
    """Return the owners with at least one shard answered."""
    return frozenset(shard.planned.spec.owner for shard in progress if shard.rows is not None)


def order_by_need(
    overdue: Sequence[ShardProgress], included: frozenset[str], preference: Preference
) -> list[ShardProgress]:
    """Return overdue shards in the order in which they may spend the budget.

    Coverage-first: owners that the answer lacks entirely come first, because leaving one out is
    unfair to that owner.  Then, and for latency-first, whatever has waited longest.
    """
    if preference is Preference.LATENCY:
        return sorted(overdue, key=lambda shard: shard.calls[0].sent_at)
    return sorted(
        overdue,
        key=lambda shard: (shard.planned.spec.owner in included, shard.calls[0].sent_at),
    )
