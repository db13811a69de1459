"""What became of one query's relays, and what may truthfully be said of them.

Owns the relays that are still silent, until the query ends.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from tinrudder.node.outcomes import MayHaveRun, MayHaveRunReason, NotRun, Outcome
from tinrudder.peers import PeerLostError, PeerNotSentError


@dataclass(slots=True)
class RelayAttempts:
    """The relays of one query that gave no outcome.

    :param lost: coordinators that may have run it without telling.
    :param unanswered: those among them whose answer may still come, until the deadline.
    """

    lost: int = 0
    details: list[str] = field(default_factory=list)
    unanswered: list[asyncio.Task[Outcome]] = field(default_factory=list)

    async def conclude(self, outcome: Outcome | None) -> Outcome:
        """Return what to report, given the last attempt's outcome if it has one.

        "Not run" is false while an earlier attempt may have run, so a coordinator that went
        silent is waited for.  It may only have been slow, and its answer is as good as any.
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
        """Free the work of coordinators that nobody waits for any more."""
        for relayed in self.unanswered:
            if not relayed.cancel() and not relayed.cancelled():
                # Reading the error tells asyncio that nobody misses it.
                relayed.exception()
