"""How many calls this node may have in flight at a back end (see docs/LIMITS.md).

At most it is the node's share of the configured slots and a little more.  Below that the limit
follows what the back end itself says by refusing calls.
"""

from __future__ import annotations

from typing import Protocol

from tinrudder.node.decisions.backend_record import BackendRecord

MINIMUM_LIMIT = 1.0
"""Calls in flight that a limit never falls below: with none nothing would be learned."""
DECREASE_FACTOR = 0.7
"""What a refusal leaves of the limit.  A back end of 2 slots where 6 are configured, shedding
early: 7% of the calls shed, 85% with a fixed limit (docs/LIMITS.md, bench.limits)."""
ANSWERS_PER_STEP = 8.0
"""Rounds of answers at the limit that add one call: growth is slower than decrease, so that
refusals stay rare.  Measured together with DECREASE_FACTOR."""


class BackendLimitPolicy(Protocol):
    """Moves a back end's limit between 1 and this node's share of its slots."""

    def on_answer(self, backend: BackendRecord) -> None:
        """Learn of an answered call; the record still counts it as in flight."""

    def on_shed(self, backend: BackendRecord, sent_at: float, now: float) -> None:
        """Learn of a call refused for load."""


class AdaptiveLimit:
    """Additive increase while the limit is used, multiplicative decrease on refusals.

    When to use: always; the default.  Default: 0.7 times the limit after a refusal, at most once
    per round of calls; one more call after 8 rounds of answers at the limit.  Cost: one
    comparison an answer.
    """

    def on_answer(self, backend: BackendRecord) -> None:
        """Raise a limit that is in full use and below the share."""
        limit = backend.limit
        if limit < backend.usual and backend.in_flight + 1 > limit:
            backend.limit = min(backend.usual, limit + 1.0 / (ANSWERS_PER_STEP * limit))

    def on_shed(self, backend: BackendRecord, sent_at: float, now: float) -> None:
        """Lower the limit, unless the refused call was sent before it was last lowered."""
        if sent_at < backend.lowered_at:
            return
        backend.lowered_at = now
        backend.limit = max(MINIMUM_LIMIT, backend.limit * DECREASE_FACTOR)
