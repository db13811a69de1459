"""Planted defects in claims, for the model and for whole nodes.

In a whole node, a defect is planted by patching the name in the module that uses it:
``tinrudder.cluster.claims.claims_service.ClaimVoter`` and ``.ClaimProposer``, and
``tinrudder.node.query.operations.at_most_once.DispatchWindow``.
"""

from __future__ import annotations

from dataclasses import dataclass

from tinrudder.cluster.claims.claim_proposer import ClaimPhase, ClaimProposer, DispatchWindow
from tinrudder.cluster.claims.claim_voter import ClaimVoter
from tinrudder.cluster.claims.claims import AbstainReason


class ForgetfulVoter(ClaimVoter):
    """Votes right after a start, as if it remembered the votes it granted before."""

    def _abstain_reason(self, valid_until: float, now: float) -> AbstainReason | None:
        reason = super()._abstain_reason(valid_until, now)
        return None if reason is AbstainReason.JUST_STARTED else reason


@dataclass(frozen=True, slots=True)
class AlwaysOpenWindow(DispatchWindow):
    """Permits the dispatch of a claim however long the proposer was suspended."""

    def is_open(self, monotonic: float, wall: float) -> bool:
        """Return ``True``."""
        return True


class UnsafeGiveUpProposer(ClaimProposer):
    """Gives up although the request may have been sent."""

    def give_up(self) -> bool:
        """Give up in any phase."""
        self.phase = ClaimPhase.GIVEN_UP
        return True
