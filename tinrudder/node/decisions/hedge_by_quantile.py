"""When a second copy of a call that has not been answered is sent to another replica.

Owns the hedge budget of one service; relies on the service's latency window.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from typing import Protocol

from tinrudder.common.latency_window import LatencyWindow
from tinrudder.node.decisions.call_retry_budget import FractionBudget

HEDGE_FRACTION = 0.027
"""Hedges for each first call, slightly more than the share of calls beyond HEDGE_QUANTILE.  In the
lab's straggler scenario extra load is 0.025 and the 99th percentile 29.4 ms, 213 ms without hedges
(docs/ROUTING.md)."""
HEDGE_INITIAL = 48.0
"""Hedges that a new node may send before first calls have earned any: while the budget was nearly
empty at the start, most of the queries beyond 30 ms fell into the first half second."""
HEDGE_CAPACITY = 48.0
"""Most hedges that can be saved up.  Chosen, not measured: a third of the calls of a scatter over
130 shards."""
HEDGE_QUANTILE = 0.975
"""Quantile of recent latencies from which on a call is hedged while the budget is full.  Fixed at
this value within 2.6% of extra calls the 99th percentile was 72 to 87 ms: the budget was empty for
the slowest (docs/ROUTING.md)."""
HEDGE_QUANTILE_IN_NEED = 0.987
"""The same when the budget is nearly empty: what is left goes to the slowest calls."""
QUANTILE_STEPS = 4
"""Steps between the two, so that the quantile does not move with each hedge."""
SECOND_HEDGE_QUANTILE = 0.6
"""Quantile after which a hedge that is late too is hedged once more: its call has waited long
already.  Together with HEDGE_INITIAL it took the straggler scenario's 99th percentile from 30.8 and
32.2 ms to 29.6 and 28.6 ms (two seeds)."""
MINIMUM_OBSERVATIONS = 100
"""Latencies before hedges are sent: fewer say nothing of a 97.5th percentile."""
MINIMUM_DELAY_S = 0.001
"""Seconds that a call is given at least: about a way to the back end and back."""
MAX_HEDGES_PER_SHARD = 2
"""Hedges of one shard of a query at most."""
WIDESPREAD_SHARE = 0.2
"""Part of the shards that may be overdue before the fleet counts as slow and nothing is hedged.
Chosen, not measured."""
ONE_BACKEND_SHARE = 0.6
"""Part of the overdue calls at one back end from which on it alone is to blame.  Chosen, not
measured."""


class HedgePolicy(Protocol):
    """Decides after what delay a call is hedged, and whether a hedge may be sent."""

    def earn(self, first_calls: int) -> None:
        """Learn that a query sends this many first calls."""

    def delay_s(self, latency: LatencyWindow, hedges: int) -> float | None:
        """Return how old a call must be, seconds; ``None`` for no hedge.

        :param hedges: how many its shard has had in this query.
        """

    def may_hedge(self, *, urgent: bool) -> bool:
        """Tell whether one more hedge may be sent, and count it."""


class NoHedge:
    """Never hedges: the baseline, and the right choice for batch work without deadlines."""

    def earn(self, first_calls: int) -> None:
        """Keep no account."""

    def delay_s(self, latency: LatencyWindow, hedges: int) -> float | None:
        """Return no delay."""
        return None

    def may_hedge(self, *, urgent: bool) -> bool:
        """Allow none."""
        return False


class QuantileHedge:
    """Hedges what is slower than nearly all recent calls of its service, within a budget.

    When to use: for searches with a tail.  Default: the 97.5th percentile, the 98.7th when the
    budget runs low; 2.7% of first calls.  Cost: at most that share of extra calls.
    """

    def __init__(self) -> None:
        """Start with a full budget: a new node knows no replica yet."""
        self._budget = FractionBudget(
            fraction=HEDGE_FRACTION, initial=HEDGE_INITIAL, capacity=HEDGE_CAPACITY
        )

    def earn(self, first_calls: int) -> None:
        """Add what a query's first calls earn."""
        self._budget.earn(first_calls)

    def delay_s(self, latency: LatencyWindow, hedges: int) -> float | None:
        """Return the quantile of the window."""
        if len(latency) < MINIMUM_OBSERVATIONS or hedges >= MAX_HEDGES_PER_SHARD:
            return None
        quantile = SECOND_HEDGE_QUANTILE if hedges else self._first_quantile()
        return max(MINIMUM_DELAY_S, latency.quantile(quantile))

    def _first_quantile(self) -> float:
        """Return a later quantile the less is left to spend, in a few steps.

        An empty budget would otherwise leave no hedge for the calls that are slowest of all.
        """
        empty = 1.0 - round(self._budget.fill * QUANTILE_STEPS) / QUANTILE_STEPS
        return HEDGE_QUANTILE + empty * (HEDGE_QUANTILE_IN_NEED - HEDGE_QUANTILE)

    def may_hedge(self, *, urgent: bool) -> bool:
        """Draw on the budget."""
        return self._budget.try_spend(urgent=urgent)


def is_widespread(overdue_backends: Sequence[str], shard_count: int) -> bool:
    """Tell whether so many calls are overdue that the fleet is slow, not one back end.

    Hedging a slow fleet only adds to its load.

    >>> is_widespread(["b1", "b1", "b1"], 6)
    False
    >>> is_widespread(["b1", "b2", "b3"], 6)
    True
    >>> is_widespread(["b1", "b2"], 130)
    False
    """
    if len(overdue_backends) <= max(1.0, WIDESPREAD_SHARE * shard_count):
        return False
    most_common = Counter(overdue_backends).most_common(1)[0][1]
    return most_common < ONE_BACKEND_SHARE * len(overdue_backends)
