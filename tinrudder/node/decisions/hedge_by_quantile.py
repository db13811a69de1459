"""When a second copy of a call that has not been answered is sent to another replica."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from typing import Protocol

from tinrudder.common.latency_window import LatencyWindow
from tinrudder.node.decisions.call_retry_budget import FractionBudget

HEDGE_FRACTION = 0.027
HEDGE_INITIAL = 48.0
HEDGE_CAPACITY = 48.0
HEDGE_QUANTILE = 0.975
HEDGE_QUANTILE_IN_NEED = 0.987
QUANTILE_STEPS = 4
SECOND_HEDGE_QUANTILE = 0.6
MINIMUM_OBSERVATIONS = 100
MINIMUM_DELAY_S = 0.001
MAX_HEDGES_PER_SHARD = 2
WIDESPREAD_SHARE = 0.2
ONE_BACKEND_SHARE = 0.6


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
