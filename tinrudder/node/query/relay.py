"""Relays a query between two nodes: client and server side.

Owns the count of relayed queries in progress on this node.  A relayed query is forwarded at most
once and marked as such, which prevents loops.  Cancelling the client's task cancels the server's
through the peer transport.
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
"""Seconds by which the coordinator's deadline is earlier than the entry's, so that its outcome can
still be transmitted: five times the network latency between zones.  At load 20 to 35 on 12 cores,
0 to 2 of about 4,500 queries were still late (docs/COORDINATORS.md)."""
RETURN_MARGIN_SHARE = 0.1
"""Upper bound of the margin as a fraction of the remaining time: applies close to the deadline."""
MAX_CLOCK_SKEW_S = 1.0
"""Tolerated difference in seconds between the wall clocks of two nodes.  A relayed query that is
older than its remaining time by more than this is refused as expired."""

RelayedRunner = Callable[[QueryRequest, bool], Awaitable[Outcome]]
"""Runs a relayed query.  The flag is true if the query was already forwarded; it must then run on
this node."""

PROBE = b""
"""Payload of a probe and of its answer.  It is empty, which no encoded query is."""


class RelayClient:
    """Relays queries to coordinators and probes them."""

    def __init__(self, channel: PeerTransport, timers: Timers, wall_clock: WallClock) -> None:
        """Create a client that sends over ``channel``."""
        self._channel = channel
        self._timers = timers
        self._wall_clock = wall_clock

    async def run(
        self, coordinator: PeerAddress, request: QueryRequest, *, forwarded: bool = False
    ) -> Outcome:
        """Return the outcome that the coordinator reports.

        The coordinator gets slightly less than the remaining time, so that its outcome arrives
        before this node's deadline.

        :raises PeerNotSentError: the coordinator cannot have received the query.
        :raises PeerLostError: the coordinator may have run the query, but no readable outcome
            arrived in time.
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
        """Return when the coordinator has answered; raises the same errors as :meth:`run`."""
        await self._channel.request(coordinator, PROBE, timeout_s)


class RelayServer:
    """Runs the queries that other nodes relay to this node."""

    def __init__(
        self,
        channel: PeerTransport,
        timers: Timers,
        wall_clock: WallClock,
        run: RelayedRunner,
        accepts_work: Callable[[], bool],
    ) -> None:
        """Listen on ``channel``; refuse queries once ``accepts_work`` returns ``False``."""
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
        """Decode and run a query, unless this node is stopping or the query has expired."""
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
        """Return whether the query's deadline had passed before it was read.

        A process that resumes after a pause reads old messages.  ``remaining_s`` is relative and
        does not show their age, so the age is computed from the wall clocks.
        """
        age_s = self._wall_clock() - query.sent_at
        return age_s > query.remaining_s + MAX_CLOCK_SKEW_S


def _ignore_datagram(_source: PeerAddress, _payload: bytes) -> None:
    """Ignore a datagram: queries are sent as requests only."""
