"""One relayed query between two nodes: the sending and the receiving end.

A relayed query goes on to another node at most once, marked as forwarded, so there are no loops.
Cancelling the sender's task cancels the receiver's, through the peer transport.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import replace

from tinrudder.node.outcomes import Failed, FailedReason, NotRun, NotRunReason, Outcome
from tinrudder.node.query.request import QueryRequest
from tinrudder.node.wire.relay_codec import (
    RelayCodecError,
    RelayedQuery,
    decode_outcome,
    decode_query,
    encode_outcome,
    encode_query,
)
from tinrudder.peers import PeerAddress, PeerLostError, PeerTransport
from tinrudder.timers import Timers, WallClock

RETURN_MARGIN_S = 0.005
"""Seconds that the coordinator must end before the entry, for the way of its outcome: five times
the way between zones.  At load 20 to 35 on 12 cores 0 to 2 of some 4,500 queries came too late all
the same (docs/COORDINATORS.md)."""
RETURN_MARGIN_SHARE = 0.1
"""The same as a part of the time left, for queries with little of it."""
MAX_CLOCK_SKEW_S = 1.0
"""Seconds by which the wall clocks of two nodes may differ before a relayed query is taken for one
that waited in a paused process."""

RelayedRunner = Callable[[QueryRequest, bool], Awaitable[Outcome]]
"""Runs a relayed query; the flag tells that it was forwarded and must not go further."""

PROBE = b""
"""Asks only for an answer, which is as empty; no query is that short."""


class RelayClient:
    """Sends queries to coordinators."""

    def __init__(self, channel: PeerTransport, timers: Timers, wall_clock: WallClock) -> None:
        """Send over ``channel``."""
        self._channel = channel
        self._timers = timers
        self._wall_clock = wall_clock

    async def run(
        self, coordinator: PeerAddress, request: QueryRequest, *, forwarded: bool = False
    ) -> Outcome:
        """Return the outcome that the coordinator reports.

        The coordinator gets a little less time than is left, so that what it has at its
        deadline still arrives before ours.

        :raises PeerNotSentError: the coordinator cannot have received the query.
        :raises PeerLostError: it may have run the query; no readable outcome came in time.
        """
        remaining_s = request.deadline - self._timers.time()
        margin_s = min(RETURN_MARGIN_S, remaining_s * RETURN_MARGIN_SHARE)
        query = RelayedQuery(request, remaining_s - margin_s, self._wall_clock(), forwarded)
        try:
            payload = encode_query(query)
        except RelayCodecError as error:
            return NotRun(NotRunReason.INVALID_REQUEST, str(error))
        answer = await self._channel.request(coordinator, payload, remaining_s)
        try:
            return decode_outcome(answer)
        except RelayCodecError as error:
            raise PeerLostError(f"{coordinator}: {error}") from error

    async def probe(self, coordinator: PeerAddress, timeout_s: float) -> None:
        """Return when the coordinator has answered; raises as :meth:`run` does."""
        await self._channel.request(coordinator, PROBE, timeout_s)


class RelayServer:
    """Runs queries that other nodes relay to this one."""

    def __init__(
        self,
        channel: PeerTransport,
        timers: Timers,
        wall_clock: WallClock,
        run: RelayedRunner,
        accepts_work: Callable[[], bool],
    ) -> None:
        """Listen on ``channel``; refuse new work once ``accepts_work`` returns ``False``."""
        self._timers = timers
        self._wall_clock = wall_clock
        self._run_query = run
        self._accepts_work = accepts_work
        self.in_progress = 0
        channel.listen(_ignore_datagram, self._on_request)

    async def _on_request(self, _source: PeerAddress, payload: bytes) -> bytes:
        """Run one relayed query and return its encoded outcome."""
        if payload == PROBE:
            return PROBE
        self.in_progress += 1
        try:
            outcome = await self._run(payload)
        finally:
            self.in_progress -= 1
        try:
            return encode_outcome(outcome)
        except RelayCodecError as error:
            return encode_outcome(Failed(FailedReason.BACKEND_ERROR, str(error)))

    async def _run(self, payload: bytes) -> Outcome:
        """Decode, check that the query is still wanted, and run it."""
        if not self._accepts_work():
            return NotRun(NotRunReason.STOPPING, "this node is stopping")
        try:
            query = decode_query(payload)
        except RelayCodecError as error:
            return NotRun(NotRunReason.INVALID_REQUEST, str(error))
        if self._arrived_too_late(query):
            return NotRun(NotRunReason.DEADLINE, "deadline: had passed when the query was read")
        deadline = self._timers.time() + query.remaining_s
        return await self._run_query(replace(query.request, deadline=deadline), query.forwarded)

    def _arrived_too_late(self, query: RelayedQuery) -> bool:
        """Tell whether the query waited, unread, past its deadline.

        A process that was paused reads old messages when it wakes; ``remaining_s`` alone would
        make them look fresh.
        """
        age_s = self._wall_clock() - query.sent_at
        return age_s > query.remaining_s + MAX_CLOCK_SKEW_S


def _ignore_datagram(_source: PeerAddress, _payload: bytes) -> None:
    """Queries travel as requests only."""
