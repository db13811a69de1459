"""Budgets for extra calls: a fraction of first calls, so that extra load stays bounded.

Owns the tokens of one service on one node; the gateway has a budget over its whole fleet instead
(docs/DESIGN.md).
"""

from __future__ import annotations

from typing import Protocol

RETRY_FRACTION = 0.05
"""Retries for each first call.  Chosen, not measured: extra load of a service in trouble stays
under a twentieth."""
RETRY_RESERVE = 30.0
"""Retries that a new node may send before first calls have earned any.  Chosen, not measured;
bounds what a start adds."""
RETRY_CAPACITY = 100.0
"""Most retries that can be saved up, so that a calm hour pays for no storm.  Chosen, not
measured."""
URGENT_SHARE = 0.2
"""Part of the capacity kept for calls of an owner none of whose shards is in the answer yet:
coverage is lost by owner.  Chosen, not measured."""


class FractionBudget:
    """Tokens earned by first calls and spent by extra ones.

    The last part of the capacity is kept for urgent calls: those for an owner none of whose
    shards is in the answer yet.

    >>> budget = FractionBudget(fraction=0.1, initial=0.0, capacity=10.0)
    >>> budget.earn(20)
    >>> budget.try_spend(urgent=True), budget.try_spend(urgent=True), budget.try_spend(urgent=True)
    (True, True, False)
    """

    __slots__ = ("_capacity", "_fraction", "_kept_for_urgent", "tokens")

    def __init__(self, *, fraction: float, initial: float, capacity: float) -> None:
        """Allow ``fraction`` extra calls per first call, saving up ``capacity`` at most."""
        self._fraction = fraction
        self._capacity = capacity
        self._kept_for_urgent = capacity * URGENT_SHARE
        self.tokens = initial

    @property
    def fill(self) -> float:
        """Return how much of what may be spent is there, 0 to 1."""
        spendable = self._capacity - self._kept_for_urgent
        return max(0.0, (self.tokens - self._kept_for_urgent) / spendable)

    def earn(self, first_calls: int) -> None:
        """Add what a query's first calls earn."""
        self.tokens = min(self._capacity, self.tokens + first_calls * self._fraction)

    def try_spend(self, *, urgent: bool) -> bool:
        """Take one token if there is one to take."""
        needed = 1.0 if urgent else 1.0 + self._kept_for_urgent
        if self.tokens < needed:
            return False
        self.tokens -= 1.0
        return True


class RetryPolicy(Protocol):
    """Decides whether a call that failed may be sent again."""

    def earn(self, first_calls: int) -> None:
        """Learn that a query sends this many first calls."""

    def may_retry(self, *, urgent: bool) -> bool:
        """Tell whether one more call may be sent, and count it."""


class BudgetedRetry:
    """Retries up to a fraction of first calls, shared by all queries of a service.

    When to use: always; it keeps a failing service from meeting more calls than a healthy one.
    Default: 5% of first calls, 30 at the start.  Cost: one subtraction a retry.
    """

    def __init__(self) -> None:
        """Start with a small reserve, so that the first failures of a new node are retried."""
        self._budget = FractionBudget(
            fraction=RETRY_FRACTION, initial=RETRY_RESERVE, capacity=RETRY_CAPACITY
        )

    def earn(self, first_calls: int) -> None:
        """Add what a query's first calls earn."""
        self._budget.earn(first_calls)

    def may_retry(self, *, urgent: bool) -> bool:
        """Draw on the budget."""
        return self._budget.try_spend(urgent=urgent)


class UnbudgetedRetry:
    """Retries whatever failed: the baseline.  Multiplies the load of a failing service."""

    def earn(self, first_calls: int) -> None:
        """Keep no account."""

    def may_retry(self, *, urgent: bool) -> bool:
        """Allow every retry."""
        return True
