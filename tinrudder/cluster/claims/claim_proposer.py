"""A proposer: one attempt to claim a key, and the permission to dispatch it once.

Pure: time comes in with every call.  The exhaustive model (``tinrudder_lab.claim_model``) runs
this very class.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass

from tinrudder.cluster.claims.claims import (
    Abstained,
    ClaimKey,
    Granted,
    Held,
    NeedElectorates,
    ProposerId,
    VoteReply,
    VoteRequest,
)
from tinrudder.cluster.claims.electorate import Electorate, Voter


class ClaimPhase(enum.StrEnum):
    """How far an attempt has come; ``given_up`` and ``dispatched`` are final."""

    ASKING = "asking"
    WON = "won"
    DISPATCHED = "dispatched"
    GIVEN_UP = "given_up"


@dataclass(frozen=True, slots=True)
class DispatchWindow:
    """Until when a won claim may be dispatched, by two clocks.

    The monotonic clock may stand still while a machine sleeps and the wall clock may be set
    back; passing either limit ends the permission.

    :param monotonic_until: set before the first vote was asked for.
    :param wall_until: no later than the request's ``valid_until``.
    """

    monotonic_until: float
    wall_until: float

    def is_open(self, monotonic: float, wall: float) -> bool:
        """Tell whether the request may still be sent."""
        return monotonic < self.monotonic_until and wall < self.wall_until


class ClaimProposer:
    """One attempt of one proposer for one key."""

    def __init__(
        self,
        proposer: ProposerId,
        key: ClaimKey,
        valid_until: float,
        window: DispatchWindow,
        electorates: Sequence[Electorate],
    ) -> None:
        """Begin asking; ``electorates`` are those this node knows to be required."""
        self.proposer = proposer
        self.key = key
        self.valid_until = valid_until
        self.window = window
        self.phase = ClaimPhase.ASKING
        self.holders: dict[ProposerId, None] = {}
        self.electorates: dict[int, Electorate] = {}
        self.granted: set[Voter] = set()
        self.refused: set[Voter] = set()
        self.cited_to: dict[Voter, int] = {}
        self._add(electorates)
        if not self.electorates:
            self.phase = ClaimPhase.GIVEN_UP

    def request_to(self, voter: Voter) -> VoteRequest:
        """Return the request to send to a voter, citing all electorates known now."""
        cited = tuple(sorted(self.electorates))
        self.cited_to[voter] = len(cited)
        return VoteRequest(self.key, self.proposer, self.valid_until, cited)

    def voters(self) -> tuple[Voter, ...]:
        """Return the voters of all electorates, sorted."""
        everyone = {voter for one in self.electorates.values() for voter in one.voters}
        return tuple(sorted(everyone))

    def on_reply(self, voter: Voter, reply: VoteReply) -> tuple[Voter, ...]:
        """Take a voter's reply and return the voters that must now be asked, or asked again.

        Replies that come late, twice or after the end change nothing.
        """
        if self.phase is not ClaimPhase.ASKING:
            return ()
        match reply:
            case Granted():
                self.granted.add(voter)
                self.refused.discard(voter)
            case Held(holder):
                self.holders[holder] = None
                self.refused.add(voter)
            case Abstained():
                self.refused.add(voter)
            case NeedElectorates(electorates):
                return self._extend(voter, electorates)
        self._judge()
        return ()

    def on_no_reply(self, voter: Voter) -> None:
        """Note that a voter could not be asked or did not answer; it may have granted."""
        if self.phase is ClaimPhase.ASKING and voter not in self.granted:
            self.refused.add(voter)
            self._judge()

    def may_dispatch(self, monotonic: float, wall: float) -> bool:
        """Tell whether the request may leave right now; ask immediately before it does."""
        return self.phase is ClaimPhase.WON and self.window.is_open(monotonic, wall)

    def begin_dispatch(self, monotonic: float, wall: float) -> bool:
        """Use up the permission; ``True`` at most once."""
        if not self.may_dispatch(monotonic, wall):
            return False
        self.phase = ClaimPhase.DISPATCHED
        return True

    def dispatch_did_not_start(self) -> None:
        """Restore the permission: the back end is known not to have started the request."""
        if self.phase is ClaimPhase.DISPATCHED:
            self.phase = ClaimPhase.WON

    def give_up(self) -> bool:
        """Renounce for good; only then may votes be released.

        :returns: ``False`` if the request may already have left.
        """
        if self.phase is ClaimPhase.DISPATCHED:
            return False
        self.phase = ClaimPhase.GIVEN_UP
        return True

    def _extend(self, voter: Voter, electorates: Sequence[Electorate]) -> tuple[Voter, ...]:
        """Add electorates that a voter requires, then ask it again along with new voters.

        Grants already given stand: each was given for a part of what is cited now.  A voter
        that was already asked citing all that is known requires something else: it refuses.
        """
        known = frozenset(self.voters())
        self._add(electorates)
        if len(self.electorates) == self.cited_to.get(voter, 0):
            self.refused.add(voter)
            self._judge()
            return ()
        new = [other for other in self.voters() if other not in known and other != voter]
        return (voter, *new)

    def _add(self, electorates: Sequence[Electorate]) -> None:
        """Cite more electorates."""
        for electorate in electorates:
            self.electorates.setdefault(electorate.fingerprint, electorate)

    def _judge(self) -> None:
        """Win with a majority in every electorate; give up when one is out of reach."""
        if all(self._votes(one) >= one.majority for one in self.electorates.values()):
            self.phase = ClaimPhase.WON
        elif any(self._reachable(one) < one.majority for one in self.electorates.values()):
            self.phase = ClaimPhase.GIVEN_UP

    def _votes(self, electorate: Electorate) -> int:
        return sum(voter in self.granted for voter in electorate.voters)

    def _reachable(self, electorate: Electorate) -> int:
        return sum(voter not in self.refused for voter in electorate.voters)
