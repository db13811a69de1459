"""Hedged requests: when an unanswered call is sent again, as a rule to another replica.

Owns the hedge budget of one service; reads the service's latency window.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from typing import Protocol

from tinrudder.common.latency_window import LatencyWindow
from tinrudder.node.decisions.call_retry_budget import FractionBudget

HEDGE_FRACTION = 0.027
"""Hedges per first call, slightly more than the fraction of calls beyond HEDGE_QUANTILE.  In the
lab's straggler scenario the extra load is 0.025, and the 99th percentile is 29.4 ms, 213 ms without
hedges (docs/ROUTING.md)."""
HEDGE_INITIAL = 48.0
"""Hedges that a new node may send before first calls have earned any.  With a nearly empty initial
budget, most of the queries beyond 30 ms are in the first half second."""
HEDGE_CAPACITY = 48.0
"""Maximum number of saved hedges: a third of the calls of a scatter over 130 shards."""
HEDGE_QUANTILE = 0.975
"""Quantile of recent latencies after which a call is hedged while the budget is full.  With this
quantile at every budget level and 2.6% of extra calls, the 99th percentile is 72 to 87 ms, because
the budget is empty when the slowest calls need it (docs/ROUTING.md)."""
HEDGE_QUANTILE_LOW_BUDGET = 0.987
"""Quantile after which a call is hedged while the budget is nearly empty, so that the remaining
hedges go to the slowest calls."""
QUANTILE_STEPS = 4
"""Steps between the two quantiles, so that the quantile does not change with each hedge."""
SECOND_HEDGE_QUANTILE = 0.6
"""Quantile after which an unanswered hedge is hedged again; low, because the call has waited long
already.  Together with HEDGE_INITIAL it lowers the 99th percentile of the straggler scenario from
30.8 and 32.2 ms to 29.6 and 28.6 ms (two seeds)."""
MINIMUM_OBSERVATIONS = 100
"""Latencies required before hedges are sent: fewer do not determine a 97.5th percentile."""
MINIMUM_DELAY_S = 0.001
"""Minimum hedge delay in seconds: about one round trip to the back end."""
MAX_HEDGES_PER_SHARD = 2
"""Maximum number of hedges per shard of a query."""
SLOW_FLEET_SHARE = 0.2
"""Fraction of the shards that may be overdue.  Above it the whole fleet counts as slow and nothing
is hedged."""
ONE_BACKEND_SHARE = 0.6
"""Fraction of the overdue calls from which on a single back end counts as their cause."""


class HedgePolicy(Protocol):
    """Decides the hedge delay of a call and whether a hedge may be sent."""

    def credit_first_calls(self, first_calls: int) -> None:
        """Credit the budget with a query's first calls."""

    def delay_s(self, latency: LatencyWindow, hedges: int) -> float | None:
        """Return the age in seconds at which a call is hedged; ``None`` for no hedge.

        :param hedges: hedges sent so far for the shard in this query.
        """

    def may_hedge(self, *, urgent: bool) -> bool:
        """Tell whether one more hedge may be sent, and spend a token for it."""


class NoHedge:
    """Never hedges: the baseline, and the right policy for batch work without deadlines."""

    def credit_first_calls(self, first_calls: int) -> None:
        """Do nothing: there is no budget."""

    def delay_s(self, latency: LatencyWindow, hedges: int) -> float | None:
        """Return ``None``: no hedge."""
        return None

    def may_hedge(self, *, urgent: bool) -> bool:
        """Allow no hedge."""
        return False


class QuantileHedge:
    """Hedges calls that are slower than nearly all recent calls of the service, within a budget.

    When to use: for searches with a latency tail.  Default: the 97.5th percentile, the 98.7th when
    the budget runs low; 2.7% of first calls.  Cost: at most that fraction of extra calls.
    """

    def __init__(self) -> None:
        """Start with a full budget, because a new node has no observations of the replicas yet."""
        self._budget = FractionBudget(
            fraction=HEDGE_FRACTION, initial=HEDGE_INITIAL, capacity=HEDGE_CAPACITY
        )

    def credit_first_calls(self, first_calls: int) -> None:
        """Add the tokens for a query's first calls."""
        self._budget.credit_first_calls(first_calls)

    def delay_s(self, latency: LatencyWindow, hedges: int) -> float | None:
        """Return the quantile of the window, at least ``MINIMUM_DELAY_S``."""
        if len(latency) < MINIMUM_OBSERVATIONS or hedges >= MAX_HEDGES_PER_SHARD:
            return None
        quantile = SECOND_HEDGE_QUANTILE if hedges else self._first_quantile()
        return max(MINIMUM_DELAY_S, latency.quantile(quantile))

    def _first_quantile(self) -> float:
        """Return the quantile for the first hedge, which rises in steps as the budget empties.

        With a fixed quantile the budget would be empty when the slowest calls need a hedge.
        """
        spent_fraction = 1.0 - round(self._budget.fill * QUANTILE_STEPS) / QUANTILE_STEPS
        return HEDGE_QUANTILE + spent_fraction * (HEDGE_QUANTILE_LOW_BUDGET - HEDGE_QUANTILE)

    def may_hedge(self, *, urgent: bool) -> bool:
        """Take one token from the budget."""
        return self._budget.try_spend(urgent=urgent)


def is_fleet_slow(overdue_backends: Sequence[str], shard_count: int) -> bool:
    """Tell whether the overdue calls indicate a slow fleet rather than one slow back end.

    Hedging a slow fleet only adds to its load.

    :param overdue_backends: the back end of each overdue call.

    >>> is_fleet_slow(["b1", "b1", "b1"], 6)
    False
    >>> is_fleet_slow(["b1", "b2", "b3"], 6)
    True
    >>> is_fleet_slow(["b1", "b2"], 130)
    False
    """
    if len(overdue_backends) <= max(1.0, SLOW_FLEET_SHARE * shard_count):
        return False
    most_common = Counter(overdue_backends).most_common(1)[0][1]
    return most_common < ONE_BACKEND_SHARE * len(overdue_backends)
