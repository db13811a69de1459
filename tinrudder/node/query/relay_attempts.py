"""Tracks one query's relays and derives an outcome that is true for all of them.

Owns the relays that have not answered yet, until the query ends.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from tinrudder.node.outcomes import MayHaveRun, MayHaveRunReason, NotRun, Outcome
from tinrudder.peers import PeerLostError, PeerNotSentError


@dataclass(slots=True)
class RelayAttempts:
    """The relays of one query that returned no outcome.

    :param lost: number of coordinators that may have run the query and returned no outcome.
    :param details: an error message of each failed relay.
    :param unanswered: relays among the lost ones that may still be answered before the deadline.
    """

    lost: int = 0
    details: list[str] = field(default_factory=list)
    unanswered: list[asyncio.Task[Outcome]] = field(default_factory=list)

    async def conclude(self, outcome: Outcome | None) -> Outcome:
        """Return the outcome to report, given that of the last attempt if it has one.

        ``NotRun`` would be false while an earlier attempt may have run.  Unanswered relays are
        therefore awaited first; their coordinators may only be slow, and their answer is valid.
        """
        if not self.lost and outcome is not None:
            return outcome
        if outcome is not None and not isinstance(outcome, NotRun):
            return outcome
        known_not_run = 0
        for finished in asyncio.as_completed(self.unanswered):
            try:
                late = await finished
            except (PeerLostError, PeerNotSentError):
                continue
            if not isinstance(late, NotRun):
                return late
            known_not_run += 1
            outcome = outcome or late
        if outcome is not None and known_not_run == self.lost:
            return outcome
        return MayHaveRun(MayHaveRunReason.RELAY_LOST, "; ".join(self.details))

    def cancel_unanswered(self) -> None:
        """Cancel the unanswered relays, and with them the work of their coordinators."""
        for relayed in self.unanswered:
            if not relayed.cancel() and not relayed.cancelled():
                # Marks the exception as retrieved, so that asyncio does not log it.
                relayed.exception()
