"""Finds the overdue calls of a running query and hedges them in order of urgency.

Owns no state: the hedge policy keeps delay and budget, and ``shard_progress`` the calls.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from tinrudder.node.decisions.backend_record import BackendRecord
from tinrudder.node.decisions.hedge_by_quantile import MAX_HEDGES_PER_SHARD, is_fleet_slow
from tinrudder.node.query.plan import QueryPlan
from tinrudder.node.query.shard_progress import ShardProgress
from tinrudder.node.resources.model import Preference

CHECK_INTERVAL_WITHOUT_DELAY_S = 0.02
"""Seconds between checks while too few latencies were observed to derive a hedge delay."""
RECHECK_DELAY_SHARE = 0.25
"""Fraction of the hedge delay after which an overdue call is checked again if no back end had a
free slot or the budget was empty."""
SendHedge = Callable[[ShardProgress, BackendRecord], None]


class Hedger:
    """Checks one query's calls for hedging each time the query's timer fires.

    A query that must not be repeated is never hedged.
    """

    def __init__(self, plan: QueryPlan, progress: Sequence[ShardProgress], send: SendHedge) -> None:
        """Check the calls of ``progress`` and send hedges through ``send``."""
        self._plan = plan
        self._routing = plan.routing
        self._progress = progress
        self._send = send

    def next_check(self, now: float) -> float | None:
        """Return the time of the next check, ``None`` if the query must not be hedged.

        This is when the next call becomes overdue, but at most one hedge delay from now because
        further calls may be sent meanwhile.  A call that is overdue already, because no slot or
        budget was free, is checked again after ``RECHECK_DELAY_SHARE`` of the delay.  While the
        delay is unknown, checks are ``CHECK_INTERVAL_WITHOUT_DELAY_S`` apart.
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
        """Hedge the overdue calls, unless the slowness is widespread among the back ends."""
        overdue = self._find_overdue(now)
        if not overdue:
            return
        backends = [shard.calls[-1].backend.name for shard in overdue]
        if is_fleet_slow(backends, len(self._progress)):
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
        """Return the delays before a shard's first, second and later hedges."""
        return [self._routing.hedge_delay_s(hedges) for hedges in range(MAX_HEDGES_PER_SHARD)]


def owners_included(progress: Sequence[ShardProgress]) -> frozenset[str]:
    """Return the owners with at least one answered shard."""
    return frozenset(shard.planned.spec.owner for shard in progress if shard.rows is not None)


def order_by_urgency(
    overdue: Sequence[ShardProgress], included: frozenset[str], preference: Preference
) -> list[ShardProgress]:
    """Return overdue shards in the order in which they may use the hedge budget.

    Coverage-first queries put owners without any answered shard first, because leaving an owner
    out entirely is unfair to it.  Within these groups, and for latency-first queries, the oldest
    call comes first.
    """
    if preference is Preference.LATENCY:
        return sorted(overdue, key=lambda shard: shard.calls[0].sent_at)
    return sorted(
        overdue,
        key=lambda shard: (shard.planned.spec.owner in included, shard.calls[0].sent_at),
    )
