"""Which calls of a running query are overdue, and which of them are hedged first.

Owns nothing; relies on the hedge policy for delay and budget and on ``shard_progress`` for the
calls.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from tinrudder.node.decisions.backend_record import BackendRecord
from tinrudder.node.decisions.hedge_by_quantile import MAX_HEDGES_PER_SHARD, is_widespread
from tinrudder.node.query.plan import QueryPlan
from tinrudder.node.query.shard_progress import ShardProgress
from tinrudder.node.resources.model import Preference

CHECK_INTERVAL_WITHOUT_DELAY_S = 0.02
"""Seconds between looks while too few latencies are known for a delay.  Chosen, not measured."""
RECHECK_DELAY_SHARE = 0.25
"""Part of the delay after which an overdue call that found no room or budget is looked at again.
Chosen, not measured."""
SendHedge = Callable[[ShardProgress, BackendRecord], None]


class Hedger:
    """Looks through one query's calls whenever its timer says so.

    A query that must not be repeated is never hedged.
    """

    def __init__(self, plan: QueryPlan, progress: Sequence[ShardProgress], send: SendHedge) -> None:
        """Watch the calls of ``progress``; send second copies through ``send``."""
        self._plan = plan
        self._routing = plan.routing
        self._progress = progress
        self._send = send

    def next_check(self, now: float) -> float | None:
        """Return when to look next; ``None`` while nothing is hedged.

        That is when the next call becomes overdue, at the latest one hedge delay from now: calls
        may be sent in between.  A call that is overdue already, for want of room or budget, is
        looked at again sooner; while the delay is unknown, for want of observations, too.
        """
        if not self._plan.repeatable:
            return None
        delays = self._delays()
        if delays[0] is None:
            return now + CHECK_INTERVAL_WITHOUT_DELAY_S
        soonest = now + delays[0]
        for shard in self._progress:
            if not shard.calls or shard.hedges >= MAX_HEDGES_PER_SHARD:
                continue
            delay = delays[shard.hedges]
            if delay is None:
                continue
            due = shard.calls[-1].sent_at + delay
            if due <= now:
                due = now + delay * RECHECK_DELAY_SHARE
            soonest = min(soonest, due)
        return soonest

    def hedge_overdue(self, now: float) -> None:
        """Hedge what is overdue, unless the whole fleet is slow."""
        overdue = self._find_overdue(now)
        if not overdue:
            return
        backends = [shard.calls[-1].backend.name for shard in overdue]
        if is_widespread(backends, len(self._progress)):
            return
        included = owners_included(self._progress)
        coverage_first = self._plan.rule.preference is Preference.COVERAGE
        for shard in order_by_urgency(overdue, included, self._plan.rule.preference):
            backend = self._routing.choose_hedge(shard.planned.candidates, shard.tried)
            if backend is None:
                continue
            urgent = coverage_first and shard.planned.spec.owner not in included
            if not self._routing.hedge.may_hedge(urgent=urgent):
                return
            shard.hedges += 1
            self._send(shard, backend)

    def _find_overdue(self, now: float) -> list[ShardProgress]:
        """Return the shards whose latest call is older than the hedge delay."""
        if not self._plan.repeatable:
            return []
        delays = self._delays()
        overdue: list[ShardProgress] = []
        for shard in self._progress:
            if not shard.calls or shard.hedges >= MAX_HEDGES_PER_SHARD:
                continue
            delay = delays[shard.hedges]
            if delay is not None and shard.calls[-1].sent_at + delay <= now:
                overdue.append(shard)
        return overdue

    def _delays(self) -> list[float | None]:
        """Return the delay before a shard's first hedge, its second, and so on."""
        return [self._routing.hedge_delay_s(hedges) for hedges in range(MAX_HEDGES_PER_SHARD)]


def owners_included(progress: Sequence[ShardProgress]) -> frozenset[str]:
    """Return the owners with at least one shard answered."""
    return frozenset(shard.planned.spec.owner for shard in progress if shard.rows is not None)


def order_by_urgency(
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
