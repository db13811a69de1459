"""The handle that a caller of ``ClaimsService.claim`` receives for one attempt.

Owns no state beyond the proposer that it wraps.
"""

from __future__ import annotations

from collections.abc import Callable

from tinrudder.cluster.claims.claim_proposer import ClaimPhase, ClaimProposer
from tinrudder.cluster.claims.claims import ProposerId
from tinrudder.timers import Timers, WallClock


class Claim:
    """One attempt to claim a key, won or lost."""

    def __init__(
        self,
        proposer: ClaimProposer,
        timers: Timers,
        wall_clock: WallClock,
        release: Callable[[ClaimProposer], None],
    ) -> None:
        """Wrap ``proposer``; ``release`` sends its votes back after it has given up."""
        self.proposer = proposer
        self._timers = timers
        self._wall_clock = wall_clock
        self._release = release

    @property
    def won(self) -> bool:
        """Return whether the key was won and may still be dispatched once."""
        return self.proposer.phase is ClaimPhase.WON

    @property
    def holders(self) -> tuple[ProposerId, ...]:
        """Return the proposers that voters named as holders of the key."""
        return tuple(self.proposer.holders)

    def begin_dispatch(self) -> bool:
        """Consume the permission to send; return ``True`` if it was available."""
        return self.proposer.begin_dispatch(self._timers.time(), self._wall_clock())

    def is_open(self) -> bool:
        """Return whether the dispatch window is open; check again just before sending."""
        return self.proposer.window.is_open(self._timers.time(), self._wall_clock())

    def dispatch_did_not_start(self) -> None:
        """Restore the permission to send: the request is known not to have started."""
        self.proposer.dispatch_did_not_start()

    def give_up(self) -> bool:
        """Abandon the claim and release its votes; ``False`` if the request may have been sent."""
        if not self.proposer.give_up():
            return False
        self._release(self.proposer)
        return True
