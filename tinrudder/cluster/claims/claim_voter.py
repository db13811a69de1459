"""A voter: grants each key to at most one proposer, from memory alone.

Pure: time comes in with every call.  The exhaustive model (``tinrudder_lab.claim_model``) runs
this very class.
"""

from __future__ import annotations

import heapq
from collections.abc import Sequence
from dataclasses import dataclass

from tinrudder.cluster.claims.claims import (
    Abstained,
    AbstainReason,
    ClaimKey,
    ClaimLimits,
    Granted,
    Held,
    NeedElectorates,
    ProposerId,
    VoteRelease,
    VoteReply,
    VoteRequest,
)
from tinrudder.cluster.claims.electorate import Electorate

MAX_GRANTS = 50_000
"""Grants of one window, released ones included; bounds a voter's memory."""


@dataclass(frozen=True, slots=True)
class Grant:
    """Whom a key was granted to and until when that is remembered (wall clock)."""

    proposer: ProposerId
    remembered_until: float


class ClaimVoter:
    """One process's votes.  All times are wall-clock seconds of this node.

    >>> from tinrudder.cluster.claims.claims import make_claim_key
    >>> from tinrudder.peers import PeerAddress
    >>> one, two = (ProposerId(name, 1, 1, PeerAddress("10.0.0.1", 8081)) for name in ("a", "b"))
    >>> key = make_claim_key("tenant", "order-1")
    >>> voter = ClaimVoter(ClaimLimits(window_s=60), started_at=0)
    >>> voter.vote(VoteRequest(key, one, 150.0, ()), (), 100.0)
    Granted()
    >>> voter.vote(VoteRequest(key, two, 150.0, ()), (), 100.0).holder.node
    'a'
    >>> restarted = ClaimVoter(ClaimLimits(window_s=60), started_at=101)
    >>> restarted.vote(VoteRequest(key, two, 150.0, ()), (), 102.0).reason.value
    'just_started'
    """

    def __init__(self, limits: ClaimLimits, started_at: float) -> None:
        """Begin without memory.

        :param started_at: when this process became ready to vote; what an earlier process at
            this address may have granted before is unknown.
        """
        self._limits = limits
        self.started_at = started_at
        self._latest = started_at
        self._grants: dict[ClaimKey, Grant] = {}
        self._expiries: list[tuple[float, ClaimKey]] = []

    @property
    def held(self) -> int:
        """Return how many grants are remembered."""
        return len(self._grants)

    def vote(self, request: VoteRequest, required: Sequence[Electorate], now: float) -> VoteReply:
        """Answer one request for a vote.

        :param required: the electorates that, as this node knows, the claim must win.
        """
        now = self._advance(now)
        reason = self._cannot_know(request.valid_until, now)
        if reason is not None:
            return Abstained(reason)
        grant = self._grants.get(request.key)
        if grant is not None:
            same = grant.proposer == request.proposer
            return Granted() if same else Held(grant.proposer)
        cited = frozenset(request.cited)
        if any(electorate.fingerprint not in cited for electorate in required):
            return NeedElectorates(tuple(required))
        if len(self._expiries) >= MAX_GRANTS:
            return Abstained(AbstainReason.TOO_MANY_CLAIMS)
        self._remember(request)
        return Granted()

    def release(self, release: VoteRelease) -> None:
        """Take a vote back from the proposer that held it."""
        grant = self._grants.get(release.key)
        if grant is not None and grant.proposer == release.proposer:
            del self._grants[release.key]

    def _cannot_know(self, valid_until: float, now: float) -> AbstainReason | None:
        """Return why this voter's memory says nothing about a request.

        A request valid until ``valid_until`` was accepted no earlier than ``window_s`` before
        that; a voter that started later may have voted for it in an earlier life.
        """
        if now >= valid_until:
            return AbstainReason.EXPIRED
        skew = self._limits.clock_skew_s
        if valid_until - now > self._limits.window_s + skew:
            return AbstainReason.WINDOW_TOO_LONG
        if valid_until - self._limits.window_s <= self.started_at + skew:
            return AbstainReason.JUST_STARTED
        return None

    def _remember(self, request: VoteRequest) -> None:
        until = request.valid_until + self._limits.clock_skew_s
        self._grants[request.key] = Grant(request.proposer, until)
        heapq.heappush(self._expiries, (until, request.key))

    def _advance(self, now: float) -> float:
        """Forget what has expired; a clock set back must not revive a forgotten key."""
        self._latest = max(self._latest, now)
        while self._expiries and self._expiries[0][0] <= self._latest:
            until, key = heapq.heappop(self._expiries)
            grant = self._grants.get(key)
            if grant is not None and grant.remembered_until <= until:
                del self._grants[key]
        return self._latest
