"""The proposer's state machine: one attempt to claim a key and, once won, to dispatch it once.

Owns the votes of one attempt.  Does no I/O and reads no clock: callers pass the time in, so that
the exhaustive model (``tinrudder_lab.claim_model``) can run this same class.
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
    """State of an attempt.

    ``given_up`` is final; ``dispatched`` returns to ``won`` only if the request is known not to
    have started.
    """

    ASKING = "asking"
    WON = "won"
    DISPATCHED = "dispatched"
    GIVEN_UP = "given_up"


@dataclass(frozen=True, slots=True)
class DispatchWindow:
    """The time limits for dispatching a won claim, one for each of two clocks.

    The window closes when either limit passes, because neither clock suffices alone: the
    monotonic clock may stop while the machine is suspended, and the wall clock may be set back.

    :param monotonic_until: fixed before the first vote request is sent.
    :param wall_until: no later than the request's ``valid_until``.
    """

    monotonic_until: float
    wall_until: float

    def is_open(self, monotonic: float, wall: float) -> bool:
        """Return whether the request may still be sent."""
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
        """Start the attempt, which gives up at once without ``electorates``.

        :param electorates: the electorates that, as far as this node knows, the claim must win.
        """
        self.proposer = proposer
        self.key = key
        self.valid_until = valid_until
        self.window = window
        self.phase = ClaimPhase.ASKING
        self.holders: dict[ProposerId, None] = {}
        self.electorates: dict[int, Electorate] = {}
        self.granted: set[Voter] = set()
        self.refused: set[Voter] = set()
        self.cited_counts: dict[Voter, int] = {}
        self._cite(electorates)
        if not self.electorates:
            self.phase = ClaimPhase.GIVEN_UP

    def request_to(self, voter: Voter) -> VoteRequest:
        """Return the vote request for a voter, citing all electorates known so far."""
        cited = tuple(sorted(self.electorates))
        self.cited_counts[voter] = len(cited)
        return VoteRequest(self.key, self.proposer, self.valid_until, cited)

    def voters(self) -> tuple[Voter, ...]:
        """Return the voters of all electorates, sorted."""
        all_voters = {
            voter for electorate in self.electorates.values() for voter in electorate.voters
        }
        return tuple(sorted(all_voters))

    def on_reply(self, voter: Voter, reply: VoteReply) -> tuple[Voter, ...]:
        """Record a voter's reply and return the voters to send a request to next.

        They may include voters that were asked before.  Repeated grants and refusals, and all
        replies after the attempt is decided, have no effect.
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
                return self._add_required(voter, electorates)
        self._update_phase()
        return ()

    def on_no_reply(self, voter: Voter) -> None:
        """Record that no reply came from a voter, which may have granted its vote regardless."""
        if self.phase is ClaimPhase.ASKING and voter not in self.granted:
            self.refused.add(voter)
            self._update_phase()

    def may_dispatch(self, monotonic: float, wall: float) -> bool:
        """Return whether the request may be sent now; check immediately before sending."""
        return self.phase is ClaimPhase.WON and self.window.is_open(monotonic, wall)

    def begin_dispatch(self, monotonic: float, wall: float) -> bool:
        """Consume the permission to dispatch; return ``True`` if it was available."""
        if not self.may_dispatch(monotonic, wall):
            return False
        self.phase = ClaimPhase.DISPATCHED
        return True

    def dispatch_did_not_start(self) -> None:
        """Restore the permission to dispatch: the back end did not start the request."""
        if self.phase is ClaimPhase.DISPATCHED:
            self.phase = ClaimPhase.WON

    def give_up(self) -> bool:
        """Abandon the attempt for good; votes may be released only after this succeeds.

        :returns: ``False`` if the request may already have been sent.
        """
        if self.phase is ClaimPhase.DISPATCHED:
            return False
        self.phase = ClaimPhase.GIVEN_UP
        return True

    def _add_required(self, voter: Voter, electorates: Sequence[Electorate]) -> tuple[Voter, ...]:
        """Add the electorates that a voter requires; return it and the new voters, to be asked.

        Earlier grants remain valid, because each was given for a subset of the electorates cited
        now.  If the voter's last request already cited every known electorate, it requires
        something that this proposer cannot supply, and counts as a refusal.
        """
        known = frozenset(self.voters())
        self._cite(electorates)
        if len(self.electorates) == self.cited_counts.get(voter, 0):
            self.refused.add(voter)
            self._update_phase()
            return ()
        new = [other for other in self.voters() if other not in known and other != voter]
        return (voter, *new)

    def _cite(self, electorates: Sequence[Electorate]) -> None:
        """Add electorates to those that requests cite."""
        for electorate in electorates:
            self.electorates.setdefault(electorate.fingerprint, electorate)

    def _update_phase(self) -> None:
        """Win with a majority in every electorate; give up if any can no longer reach one."""
        if all(
            self._granted_votes(electorate) >= electorate.majority
            for electorate in self.electorates.values()
        ):
            self.phase = ClaimPhase.WON
        elif any(
            self._attainable_votes(electorate) < electorate.majority
            for electorate in self.electorates.values()
        ):
            self.phase = ClaimPhase.GIVEN_UP

    def _granted_votes(self, electorate: Electorate) -> int:
        return sum(voter in self.granted for voter in electorate.voters)

    def _attainable_votes(self, electorate: Electorate) -> int:
        return sum(voter not in self.refused for voter in electorate.voters)
