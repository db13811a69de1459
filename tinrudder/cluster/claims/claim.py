"""One attempt to claim a key, as its user holds it."""

from __future__ import annotations

from collections.abc import Callable

from tinrudder.cluster.claims.claim_proposer import ClaimPhase, ClaimProposer
from tinrudder.cluster.claims.claims import ProposerId
from tinrudder.timers import Timers, WallClock


class Claim:
    """One attempt to claim a key, won or not."""

    def __init__(
        self,
        proposer: ClaimProposer,
        timers: Timers,
        wall_clock: WallClock,
        release: Callable[[ClaimProposer], None],
    ) -> None:
        """Read both clocks at every question."""
        self.proposer = proposer
        self._timers = timers
        self._wall_clock = wall_clock
        self._release = release

    @property
    def won(self) -> bool:
        """Tell whether the key is ours."""
        return self.proposer.phase is ClaimPhase.WON

    @property
    def holders(self) -> tuple[ProposerId, ...]:
        """Return the other proposers that voters named as the key's holders."""
        return tuple(self.proposer.holders)

    def begin_dispatch(self) -> bool:
        """Use up the permission to send; ``True`` at most once."""
        return self.proposer.begin_dispatch(self._timers.time(), self._wall_clock())

    def is_open(self) -> bool:
        """Tell whether the time to send has not run out; ask again as the bytes leave."""
        return self.proposer.window.is_open(self._timers.time(), self._wall_clock())

    def dispatch_did_not_start(self) -> None:
        """Restore the permission: the request is known not to have started."""
        self.proposer.dispatch_did_not_start()

    def give_up(self) -> bool:
        """Renounce and release the votes; ``False`` if the request may have left."""
        if not self.proposer.give_up():
            return False
        self._release(self.proposer)
        return True
