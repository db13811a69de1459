"""Runs claims on a node: requests votes over the peer transport and votes on others' claims.

Owns the message exchange, the timers and the clock readings; all decisions are in
:mod:`claim_voter`, :mod:`claim_proposer` and :mod:`electorate_history`.

A user of this library passes in member lists, claims a key, and sends the request only if
:meth:`Claim.begin_dispatch` allows it::

    service.learn_list(revision, {"region": listed_voters})
    claim = await service.claim("region", key, valid_until, window, timeout_s)
    if claim.won and claim.begin_dispatch():
        ...  # send, once
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass

from tinrudder.cluster.claims.claim import Claim
from tinrudder.cluster.claims.claim_identity import list_digest, new_instance
from tinrudder.cluster.claims.claim_proposer import ClaimPhase, ClaimProposer, DispatchWindow
from tinrudder.cluster.claims.claim_voter import ClaimVoter
from tinrudder.cluster.claims.claims import (
    Abstained,
    AbstainReason,
    AnswerQuestion,
    AnswerStatus,
    ClaimKey,
    ClaimLimits,
    KnownList,
    ProposerId,
    StoredAnswer,
    VoteRelease,
    VoteReply,
    VoteRequest,
)
from tinrudder.cluster.claims.electorate import Electorate, Voter
from tinrudder.cluster.claims.electorate_history import ElectorateHistory, ListedVoter
from tinrudder.cluster.wire.claims_codec import (
    ClaimReply,
    MalformedClaimError,
    SentReply,
    SentRequest,
    decode_reply,
    decode_request,
    encode_reply,
    encode_request,
)
from tinrudder.peers import PeerAddress, PeerLostError, PeerNotSentError, PeerTransport
from tinrudder.timers import TimerHandle, Timers, WallClock

ANNOUNCE_INTERVAL_S = 1.0
"""Seconds between rounds of announcements; each round reaches a part of the other nodes."""
ANNOUNCE_CYCLE_S = 60.0
"""Seconds in which every other node receives one announcement of the list that this node knows,
and for which announcements continue after a list last waited for reports."""

AnswerSource = Callable[[AnswerQuestion], Awaitable[StoredAnswer]]


@dataclass(frozen=True, slots=True)
class ClaimNode:
    """The identity and region under which this node votes and proposes."""

    voter: Voter
    region: str


@dataclass(slots=True)
class ClaimCounters:
    """Counts since start: claims attempted and won, and bytes sent for claims."""

    claims: int = 0
    won: int = 0
    sent_bytes: int = 0


class ClaimsService:
    """Votes, and claims keys, on behalf of one node."""

    def __init__(
        self,
        timers: Timers,
        wall_clock: WallClock,
        source: random.Random,
        channel: PeerTransport,
        node: ClaimNode,
        limits: ClaimLimits,
        answers: AnswerSource,
    ) -> None:
        """Listen on ``channel``; votes only after :meth:`start`.

        :param answers: looks up what became of a request whose key this node holds.
        """
        self._timers = timers
        self._wall_clock = wall_clock
        self._channel = channel
        self._node = node
        self.limits = limits
        self._answer_source = answers
        self._instance = new_instance(wall_clock(), source)
        self._attempts = 0
        self._histories: dict[str, ElectorateHistory] = {}
        self._revision = 0
        self._list_digest = 0
        self._other_nodes: tuple[PeerAddress, ...] = ()
        self._announcements_sent = 0
        self._announce_until = 0.0
        self._timer: TimerHandle | None = None
        self._voter: ClaimVoter | None = None
        self.counters = ClaimCounters()
        channel.listen(self._on_datagram, self._on_request)

    @property
    def held(self) -> int:
        """Return the number of keys for which this node has granted its vote."""
        return self._voter.held if self._voter is not None else 0

    def start(self) -> None:
        """Begin voting, without knowledge of grants by an earlier process at this address."""
        self._voter = ClaimVoter(self.limits, self._wall_clock())
        if self._timer is None:
            self._announce_known_list()

    def stop(self) -> None:
        """Stop announcing which list this node knows."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def learn_list(self, revision: int, regions: Mapping[str, Sequence[ListedVoter]]) -> None:
        """Add the platform's member list, by region; ignore it unless its revision is newer."""
        if revision <= self._revision:
            return
        self._revision = revision
        self._list_digest = list_digest(revision, regions)
        now = self._wall_clock()
        for region in sorted(self._histories.keys() | regions.keys()):
            history = self._histories.setdefault(region, ElectorateHistory(self.limits))
            history.learn(revision, regions.get(region, ()), now)
        self._record_known_revision(self._node.voter.identity, revision)
        addresses = {listed.voter.address for members in regions.values() for listed in members}
        self._other_nodes = tuple(sorted(addresses - {self._node.voter.address}))

    async def claim(
        self,
        region: str,
        key: ClaimKey,
        valid_until: float,
        window: DispatchWindow,
        timeout_s: float,
        on_proposer: Callable[[ProposerId], None] | None = None,
    ) -> Claim:
        """Request votes until the key is won, cannot be won, or ``timeout_s`` have passed.

        Cancelling the task gives up the claim.

        :param window: when a won claim may be dispatched; fixed before this call.
        :param on_proposer: called with the attempt's identity before the first vote request.
        """
        self.counters.claims += 1
        self._attempts += 1
        identity = ProposerId(
            self._node.voter.name, self._instance, self._attempts, self._node.voter.address
        )
        if on_proposer is not None:
            on_proposer(identity)
        history = self._histories.get(region)
        required: Sequence[Electorate] = ()
        if history is not None and history.settled:
            required = history.required(key, valid_until)
        proposer = ClaimProposer(identity, key, valid_until, window, required)
        claim = Claim(proposer, self._timers, self._wall_clock, self._release)
        try:
            await self._collect_votes(proposer, self._timers.time() + timeout_s)
        finally:
            if not claim.won:
                claim.give_up()
        self.counters.won += claim.won
        return claim

    async def ask_holder(
        self, key: ClaimKey, holder: ProposerId, content: bytes, timeout_s: float
    ) -> StoredAnswer:
        """Ask the holder of a key what became of its request; ``UNKNOWN`` without an answer."""
        question = AnswerQuestion(key, holder, content)
        if holder.address == self._node.voter.address:
            return await self._answer_source(question)
        reply = await self._exchange(holder.address, question, timeout_s)
        if isinstance(reply, StoredAnswer):
            return reply
        return StoredAnswer(AnswerStatus.UNKNOWN)

    async def _collect_votes(self, proposer: ClaimProposer, deadline: float) -> None:
        """Run vote requests concurrently; handle the replies that are ready in request order."""
        pending: dict[asyncio.Task[VoteReply | None], Voter] = {}
        self._send_vote_requests(proposer, proposer.voters(), deadline, pending)
        try:
            while pending and proposer.phase is ClaimPhase.ASKING:
                await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                for task in [task for task in pending if task.done()]:
                    voter = pending.pop(task)
                    reply = task.result()
                    if reply is None:
                        proposer.on_no_reply(voter)
                    else:
                        self._send_vote_requests(
                            proposer, proposer.on_reply(voter, reply), deadline, pending
                        )
        finally:
            for task in pending:
                task.cancel()

    def _send_vote_requests(
        self,
        proposer: ClaimProposer,
        voters: Sequence[Voter],
        deadline: float,
        pending: dict[asyncio.Task[VoteReply | None], Voter],
    ) -> None:
        """Start a vote request to each of ``voters``."""
        for voter in voters:
            request = proposer.request_to(voter)
            timeout_s = deadline - self._timers.time()
            task = asyncio.create_task(self._request_vote(voter, request, timeout_s))
            pending[task] = voter

    async def _request_vote(
        self, voter: Voter, request: VoteRequest, timeout_s: float
    ) -> VoteReply | None:
        """Return a voter's reply, ``None`` without one."""
        if voter.address == self._node.voter.address:
            return self._vote(request, self._list_digest)
        if timeout_s <= 0:
            return None
        sent = await self._exchange(voter.address, request, timeout_s, voter.identity)
        return None if isinstance(sent, StoredAnswer) else sent

    async def _exchange(
        self,
        destination: PeerAddress,
        request: VoteRequest | AnswerQuestion,
        timeout_s: float,
        identity: str | None = None,
    ) -> ClaimReply | None:
        """Send a request and return its reply, ``None`` if it is lost or cannot be decoded.

        :param identity: the voter at ``destination``, whose list revision is recorded.
        """
        payload = encode_request(SentRequest(self._revision, request, self._list_digest))
        self.counters.sent_bytes += len(payload)
        try:
            answer = await self._channel.request(destination, payload, timeout_s)
            sent = decode_reply(answer)
        except (PeerNotSentError, PeerLostError, MalformedClaimError):
            return None
        if identity is not None:
            self._record_known_revision(identity, sent.revision)
        return sent.reply

    def _release(self, proposer: ClaimProposer) -> None:
        """Release every vote the proposer may hold.

        If a release is lost, the vote stays held until it expires, which only delays the caller.
        """
        release = VoteRelease(proposer.key, proposer.proposer)
        payload = encode_request(SentRequest(self._revision, release))
        for voter in proposer.voters():
            if voter.address != self._node.voter.address:
                self._channel.send_datagram(voter.address, payload)
                self.counters.sent_bytes += len(payload)
            elif self._voter is not None:
                self._voter.release(release)

    def _on_datagram(self, _source: PeerAddress, payload: bytes) -> None:
        """Handle a release, or another node's announcement of its list; ignore other bytes."""
        try:
            sent = decode_request(payload)
        except MalformedClaimError:
            return
        match sent.request:
            case VoteRelease() as release if self._voter is not None:
                self._voter.release(release)
            case KnownList(voter):
                self._record_known_revision(voter.identity, sent.revision)

    async def _on_request(self, _source: PeerAddress, payload: bytes) -> bytes:
        """Answer a vote request, or a duplicate's question for a stored answer.

        :raises MalformedClaimError: if the bytes are not such a request; the peer then gets no
            reply.
        """
        sent = decode_request(payload)
        match sent.request:
            case VoteRequest() as request:
                proposer = request.proposer
                self._record_known_revision(f"{proposer.node}@{proposer.address}", sent.revision)
                reply: ClaimReply = self._vote(request, sent.list_digest)
            case AnswerQuestion() as question:
                reply = await self._answer_source(question)
            case _:
                raise MalformedClaimError("claim request: this kind is sent only as a datagram")
        answer = encode_reply(SentReply(self._revision, reply))
        self.counters.sent_bytes += len(answer)
        return answer

    def _vote(self, request: VoteRequest, list_digest: int) -> VoteReply:
        """Return this node's vote; abstain before :meth:`start` and without a settled history."""
        history = self._histories.get(self._node.region)
        if self._voter is None or history is None or not history.settled:
            return Abstained(AbstainReason.LIST_UNSETTLED)
        same_list = list_digest == self._list_digest
        required = history.possibly_uncited(request.key, request.valid_until, same_list=same_list)
        return self._voter.vote(request, required, self._wall_clock())

    def _announce_known_list(self) -> None:
        """Announce the known list to a part of the other nodes, while a list needs reports.

        Otherwise, with few operations and so few messages, a superseded list might never be
        sealed.
        """
        now = self._timers.time()
        wall = self._wall_clock()
        self._timer = self._timers.call_at(now + ANNOUNCE_INTERVAL_S, self._announce_known_list)
        for history in self._histories.values():
            history.forget_sealed(wall)
        own = self._histories.get(self._node.region)
        if own is not None and own.awaits_revision_reports(wall):
            self._announce_until = now + ANNOUNCE_CYCLE_S
        if now >= self._announce_until or not self._other_nodes:
            return
        known = SentRequest(self._revision, KnownList(self._node.voter), self._list_digest)
        payload = encode_request(known)
        for _ in range(math.ceil(len(self._other_nodes) * ANNOUNCE_INTERVAL_S / ANNOUNCE_CYCLE_S)):
            self._announcements_sent += 1
            destination = self._other_nodes[self._announcements_sent % len(self._other_nodes)]
            self._channel.send_datagram(destination, payload)
            self.counters.sent_bytes += len(payload)

    def _record_known_revision(self, identity: str, revision: int) -> None:
        """Record in every region's history that a node knows a list revision."""
        now = self._wall_clock()
        for history in self._histories.values():
            history.record_known_revision(identity, revision, now)
