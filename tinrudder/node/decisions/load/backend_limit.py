"""Adaptive concurrency limit: how many calls this node may have in flight at a back end.

Owns no state; the limit is in the back-end record.  The maximum is slightly more than the node's
share of the configured slots.  Below it the limit adapts to the back end's refusals (see
docs/LIMITS.md).
"""

from __future__ import annotations

from typing import Protocol

from tinrudder.node.decisions.backend_record import BackendRecord

MINIMUM_LIMIT = 1.0
"""Minimum limit, calls in flight: with none, the back end's state could not be observed."""
DECREASE_FACTOR = 0.7
"""Factor on the limit after a refusal.  A back end with 2 slots, 6 configured, that sheds early: 7%
of the calls are shed, 85% with a fixed limit (docs/LIMITS.md, bench.limits)."""
ANSWERS_PER_STEP = 8.0
"""Rounds of answers at the limit that add one call: growth is slower than decrease, so that
refusals stay rare.  The figures at DECREASE_FACTOR hold with this value."""


class BackendLimitPolicy(Protocol):
    """Adapts a back end's limit between 1 and the maximum of this node's share."""

    def on_answer(self, backend: BackendRecord) -> None:
        """Count an answered call; the record still includes it as in flight."""

    def on_shed(self, backend: BackendRecord, sent_at: float, now: float) -> None:
        """Count a call that the back end refused because of load."""


class AdaptiveLimit:
    """Additive increase while the limit is fully used, multiplicative decrease on refusals.

    When to use: always; the default.  Default: 0.7 times the limit after a refusal, at most once
    per round of calls; one more call after 8 rounds of answers at the limit.  Cost: one
    comparison per answer.
    """

    def on_answer(self, backend: BackendRecord) -> None:
        """Raise a limit that is fully used and below its maximum."""
        limit = backend.limit
        if limit < backend.max_limit and backend.in_flight + 1 > limit:
            backend.limit = min(backend.max_limit, limit + 1.0 / (ANSWERS_PER_STEP * limit))

    def on_shed(self, backend: BackendRecord, sent_at: float, now: float) -> None:
        """Lower the limit, unless the refused call was sent before the last decrease."""
        if sent_at < backend.lowered_at:
            return
        backend.lowered_at = now
        backend.limit = max(MINIMUM_LIMIT, backend.limit * DECREASE_FACTOR)
