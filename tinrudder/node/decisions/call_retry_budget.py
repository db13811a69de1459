"""Budgets for retries and hedges: a fraction of first calls, so that extra load stays bounded.

Owns the tokens of one service on one node.  The gateway uses one budget for its whole fleet instead
(docs/DESIGN.md).
"""

from __future__ import annotations

from typing import Protocol

RETRY_FRACTION = 0.05
"""Retries per first call: the extra load on a failing service stays under a twentieth."""
RETRY_RESERVE = 30.0
"""Retries that a new node may send before first calls have earned any; bounds the extra load after
a start."""
RETRY_CAPACITY = 100.0
"""Maximum number of saved retries, so that a calm hour does not pay for a retry storm."""
URGENT_SHARE = 0.2
"""Fraction of the capacity reserved for calls of an owner that has no shard in the answer yet,
because coverage is lost by owner."""


class FractionBudget:
    """Token bucket that first calls fill and that retries or hedges draw from.

    The last part of the capacity is reserved for urgent calls: those for an owner that has no
    shard in the answer yet.

    >>> budget = FractionBudget(fraction=0.1, initial=0.0, capacity=10.0)
    >>> budget.credit_first_calls(20)
    >>> budget.try_spend(urgent=True), budget.try_spend(urgent=True), budget.try_spend(urgent=True)
    (True, True, False)
    """

    __slots__ = ("_capacity", "_fraction", "_reserved_for_urgent", "tokens")

    def __init__(self, *, fraction: float, initial: float, capacity: float) -> None:
        """Allow ``fraction`` extra calls per first call and save at most ``capacity`` tokens."""
        self._fraction = fraction
        self._capacity = capacity
        self._reserved_for_urgent = capacity * URGENT_SHARE
        self.tokens = initial

    @property
    def fill(self) -> float:
        """Return the fill level of the unreserved part, 0 to 1."""
        spendable = self._capacity - self._reserved_for_urgent
        return max(0.0, (self.tokens - self._reserved_for_urgent) / spendable)

    def credit_first_calls(self, first_calls: int) -> None:
        """Add the tokens for a query's first calls."""
        self.tokens = min(self._capacity, self.tokens + first_calls * self._fraction)

    def try_spend(self, *, urgent: bool) -> bool:
        """Take one token if one is available."""
        needed = 1.0 if urgent else 1.0 + self._reserved_for_urgent
        if self.tokens < needed:
            return False
        self.tokens -= 1.0
        return True


class RetryPolicy(Protocol):
    """Decides whether a call that failed may be sent again."""

    def credit_first_calls(self, first_calls: int) -> None:
        """Credit the budget with a query's first calls."""

    def may_retry(self, *, urgent: bool) -> bool:
        """Tell whether one more call may be sent, and spend a token for it."""


class BudgetedRetry:
    """Retries up to a fraction of first calls, shared by all queries of a service.

    When to use: always; it bounds the extra load that retries put on a failing service.
    Default: 5% of first calls, 30 at the start.  Cost: one subtraction per retry.
    """

    def __init__(self) -> None:
        """Start with a small reserve so that a new node can retry its first failures."""
        self._budget = FractionBudget(
            fraction=RETRY_FRACTION, initial=RETRY_RESERVE, capacity=RETRY_CAPACITY
        )

    def credit_first_calls(self, first_calls: int) -> None:
        """Add the tokens for a query's first calls."""
        self._budget.credit_first_calls(first_calls)

    def may_retry(self, *, urgent: bool) -> bool:
        """Take one token from the budget."""
        return self._budget.try_spend(urgent=urgent)


class UnbudgetedRetry:
    """Retries every failed call: the baseline.  Multiplies the load on a failing service."""

    def credit_first_calls(self, first_calls: int) -> None:
        """Do nothing: there is no budget."""

    def may_retry(self, *, urgent: bool) -> bool:
        """Allow every retry."""
        return True
