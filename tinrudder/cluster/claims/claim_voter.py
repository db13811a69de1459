"""The voter's state machine: grants each key to at most one proposer.

Owns the grants of one process, in memory only.  Does no I/O and reads no clock: callers pass the
time in, so that the exhaustive model (``tinrudder_lab.claim_model``) can run this same class.
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
"""Unexpired grants, released ones included, above which a voter abstains; bounds its memory."""


@dataclass(frozen=True, slots=True)
class Grant:
    """The proposer that holds a key, and the wall-clock time at which the grant is forgotten."""

    proposer: ProposerId
    expires_at: float


class ClaimVoter:
    """The votes of one process.  All times are wall-clock seconds of this node.

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
        """Start without any grants.

        :param started_at: when this process became ready to vote.  Grants that an earlier
            process at this address gave before that time are unknown.
        """
        self._limits = limits
        self.started_at = started_at
        self._latest_time = started_at
        self._grants: dict[ClaimKey, Grant] = {}
        self._expiries: list[tuple[float, ClaimKey]] = []

    @property
    def held(self) -> int:
        """Return the number of current grants."""
        return len(self._grants)

    def vote(self, request: VoteRequest, required: Sequence[Electorate], now: float) -> VoteReply:
        """Answer a vote request.

        :param required: the electorates that, as far as this node knows, the claim must win.
        """
        now = self._drop_expired(now)
        reason = self._abstain_reason(request.valid_until, now)
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
        self._record_grant(request)
        return Granted()

    def release(self, release: VoteRelease) -> None:
        """Withdraw a grant if the releasing proposer holds it."""
        grant = self._grants.get(release.key)
        if grant is not None and grant.proposer == release.proposer:
            del self._grants[release.key]

    def _abstain_reason(self, valid_until: float, now: float) -> AbstainReason | None:
        """Return why this voter cannot know whether it already voted, ``None`` if it can.

        A request valid until ``valid_until`` was accepted at most ``window_s`` earlier.  If this
        process started after that, a previous process at this address may have voted for it.
        """
        if now >= valid_until:
            return AbstainReason.EXPIRED
        skew = self._limits.clock_skew_s
        if valid_until - now > self._limits.window_s + skew:
            return AbstainReason.WINDOW_TOO_LONG
        if valid_until - self._limits.window_s <= self.started_at + skew:
            return AbstainReason.JUST_STARTED
        return None

    def _record_grant(self, request: VoteRequest) -> None:
        expiry = request.valid_until + self._limits.clock_skew_s
        self._grants[request.key] = Grant(request.proposer, expiry)
        heapq.heappush(self._expiries, (expiry, request.key))

    def _drop_expired(self, now: float) -> float:
        """Drop expired grants and return the latest time seen.

        Time never goes back here: otherwise, after the clock is set back, a key whose grant was
        dropped could be granted a second time.
        """
        self._latest_time = max(self._latest_time, now)
        while self._expiries and self._expiries[0][0] <= self._latest_time:
            expiry, key = heapq.heappop(self._expiries)
            grant = self._grants.get(key)
            if grant is not None and grant.expires_at <= expiry:
                del self._grants[key]
        return self._latest_time
