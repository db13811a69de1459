"""Client connections to peers: one per peer, multiplexing many requests.

Owns the connections and the pending requests; relies on the server to answer each request or to
report its progress.
"""

from __future__ import annotations

import asyncio
import socket
import ssl
from collections.abc import Callable

from msgspec import Struct, field

from tinrudder.common.transport.frames import (
    MAX_FRAME_BYTES,
    Frame,
    FrameError,
    FrameType,
    encode_frame,
    read_header,
    read_payload,
)
from tinrudder.peers import PeerAddress, PeerLostError, PeerNotSentError, PeerSilentError

CONNECT_TIMEOUT_S = 1.0
"""Maximum time for opening a connection, seconds, shared by all requests that wait for it: the time
after which TCP retransmits a lost SYN."""
CONNECT_TIMEOUT_SHARE = 0.5
"""Share of a request's timeout that opening a connection may take: the other half is left for
another peer."""
IDLE_CLOSE_S = 60.0
"""Time after which an idle connection is closed, seconds: below the server's ``IDLE_TIMEOUT_S``, so
that no request is sent on a connection that the server is closing."""
PROGRESS_TIMEOUT_S = 0.25
"""Maximum time between progress reports of a peer that has begun, seconds: two report intervals of
0.1 s and the network delay."""
RETIRE_AFTER_SILENCE_S = 0.9
"""Time without any frame from the peer since a request was sent, seconds, after which the
connection takes no new requests: below the 1 s for which a gateway waits for a snapshot that it
pulls from a peer."""
MAX_UNSENT_BYTES = MAX_FRAME_BYTES
"""Maximum size of one peer's write buffer, bytes: the size of the largest request. A small process
has 108 MB to spare, enough for six such peers."""

ClientContext = Callable[[], ssl.SSLContext | None]


class _PendingRequest(Struct, eq=False):
    """A request whose answer has not arrived.

    :param end: loop time at which the request times out.
    :param progress_timeout: timeout for the next progress report, set while the caller waits.
    :param accepted: the peer has reported that it accepted the request.
    :param confirms: the peer starts only when this client confirms its report.
    """

    answer: asyncio.Future[bytes]
    end: float
    progress_timeout: asyncio.Timeout | None = None
    accepted: bool = False
    confirms: bool = True

    def record_progress(self, now: float) -> None:
        """Extend the timeout: the peer reports that it is working on the request."""
        self.accepted = True
        if self.progress_timeout is not None and not self.progress_timeout.expired():
            self.progress_timeout.reschedule(min(self.end, now + PROGRESS_TIMEOUT_S))


class _Connection(Struct, eq=False):
    """An open connection and its pending requests.

    :param idle_timer: closes the connection after a period without requests.
    :param first_unanswered_at: when the first request was sent after the last received frame;
        ``None`` if no request was sent since.
    """

    writer: asyncio.StreamWriter
    pending_requests: dict[int, _PendingRequest] = field(default_factory=dict)
    last_request_id: int = 0
    reading: asyncio.Task[None] | None = None
    idle_timer: asyncio.TimerHandle | None = None
    first_unanswered_at: float | None = None

    def record_sent(self, now: float) -> None:
        """Record that a request was sent."""
        if self.first_unanswered_at is None:
            self.first_unanswered_at = now

    def is_silent(self, now: float) -> bool:
        """Tell whether the path may have failed without a reset: no frame arrived for too long."""
        return (
            self.first_unanswered_at is not None
            and now - self.first_unanswered_at >= RETIRE_AFTER_SILENCE_S
        )

    def add(self, pending: _PendingRequest) -> int:
        """Add a pending request and return its id."""
        self.last_request_id += 1
        self.pending_requests[self.last_request_id] = pending
        return self.last_request_id


class PeerClient:
    """Sends requests to peers over pooled connections."""

    def __init__(self, tls: ClientContext, unacknowledged_s: float | None = None) -> None:
        """Create a client; ``tls`` is called for the TLS context of each new connection.

        :param unacknowledged_s: how long sent bytes may stay unacknowledged by the peer's kernel
            before the connection is closed; ``None`` leaves that to the system.
        """
        self._tls = tls
        self._unacknowledged_s = unacknowledged_s
        self._connections: dict[PeerAddress, _Connection] = {}
        self._retired: set[_Connection] = set()
        self._connecting: dict[PeerAddress, asyncio.Task[_Connection]] = {}

    async def request(
        self,
        destination: PeerAddress,
        payload: bytes,
        timeout_s: float,
        accept_timeout_s: float | None = None,
        *,
        begin_at_once: bool = False,
    ) -> bytes:
        """Send a request and return its answer; see :class:`tinrudder.peers.PeerTransport`.

        :param accept_timeout_s: time limit for the peer's first progress report, counted from now
            and including the time for opening a connection. The peer must then report periodically
            while it works on the request.
        :param begin_at_once: the peer starts without waiting for a confirmation, so a request may
            start although its sender got no report.
        :raises PeerSilentError: the first progress report did not arrive in time.
        """
        if len(payload) > MAX_FRAME_BYTES:
            raise PeerNotSentError(f"request: {len(payload)} bytes, at most {MAX_FRAME_BYTES}")
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        acknowledged = accept_timeout_s is not None
        accept_deadline = (
            deadline if accept_timeout_s is None else min(deadline, loop.time() + accept_timeout_s)
        )
        connect_s = min(timeout_s * CONNECT_TIMEOUT_SHARE, accept_deadline - loop.time())
        connection = await self._connection(destination, connect_s)
        if connection.writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            raise PeerNotSentError(f"{destination}: does not read what it is sent")
        pending = _PendingRequest(loop.create_future(), deadline, confirms=not begin_at_once)
        request_id = connection.add(pending)
        kind = _request_type(acknowledged=acknowledged, begin_at_once=begin_at_once)
        _write(connection, Frame(kind, request_id, payload))
        connection.record_sent(loop.time())
        try:
            async with asyncio.timeout_at(accept_deadline) as pending.progress_timeout:
                return await pending.answer
        except TimeoutError as error:
            if acknowledged and not pending.accepted:
                raise PeerSilentError(f"{destination}: silent") from error
            waited_s = timeout_s - (deadline - loop.time())
            raise PeerLostError(f"{destination}: no answer in {waited_s:.3f} s") from error
        finally:
            self._end_request(destination, connection, request_id)

    def _end_request(
        self, destination: PeerAddress, connection: _Connection, request_id: int
    ) -> None:
        """Remove a request that ended, and cancel it at the peer if the caller was cancelled."""
        pending = connection.pending_requests.pop(request_id, None)
        if pending is not None and pending.answer.cancelled():
            _write(connection, Frame(FrameType.CANCEL, request_id))
        self._retire_if_silent(destination, connection)
        self._restart_idle_timer(destination, connection)

    def _retire_if_silent(self, destination: PeerAddress, connection: _Connection) -> None:
        """Stop using a connection whose path may have failed.

        The next request opens a new one. If the peer's kernel or a proxy still acknowledges bytes,
        only the missing frames show the failure. Requests that are pending on the old connection
        stay pending, since the peer may only be slow.
        """
        if not connection.is_silent(asyncio.get_running_loop().time()):
            return
        if self._connections.get(destination) is connection:
            del self._connections[destination]
            self._retired.add(connection)
        if connection in self._retired and not connection.pending_requests:
            connection.writer.transport.abort()

    @property
    def held_bytes(self) -> int:
        """Return the number of bytes in the write buffers of all connections."""
        connections = (*self._connections.values(), *self._retired)
        return sum(one.writer.transport.get_write_buffer_size() for one in connections)

    async def close(self) -> None:
        """Close every connection after its write buffer has been flushed."""
        for task in tuple(self._connecting.values()):
            task.cancel()
        connections = (*self._connections.values(), *self._retired)
        for connection in connections:
            connection.writer.close()
        readers = [one.reading for one in connections if one.reading is not None]
        await asyncio.gather(*readers, return_exceptions=True)

    async def _connection(self, destination: PeerAddress, connect_s: float) -> _Connection:
        """Return the open connection to a peer, opening one if needed.

        Requests that wait for the same connection share one attempt. Opening may take only a share
        of a request's timeout, so that time is left for another peer.
        """
        existing = self._connections.get(destination)
        if existing is not None and not existing.writer.is_closing():
            return existing
        task = self._connecting.get(destination)
        if task is None:
            task = asyncio.create_task(self._connect(destination))
            self._connecting[destination] = task
            task.add_done_callback(lambda done: self._on_connected(destination, done))
        try:
            async with asyncio.timeout(connect_s):
                return await asyncio.shield(task)
        except TimeoutError as error:
            raise PeerNotSentError(f"{destination}: no connection in time") from error

    async def _connect(self, destination: PeerAddress) -> _Connection:
        """Open a connection and start to read from it."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    destination.host, destination.port, ssl=self._tls()
                )
        except (OSError, TimeoutError) as error:
            raise PeerNotSentError(f"{destination}: {error!r}") from error
        self._set_user_timeout(writer)
        connection = _Connection(writer)
        self._connections[destination] = connection
        connection.reading = asyncio.create_task(self._read(destination, reader, connection))
        self._restart_idle_timer(destination, connection)
        return connection

    def _set_user_timeout(self, writer: asyncio.StreamWriter) -> None:
        """Set ``TCP_USER_TIMEOUT``, so that the kernel closes connections to an unresponsive
        host."""
        tcp_socket = writer.get_extra_info("socket")
        if self._unacknowledged_s is not None and tcp_socket is not None:
            milliseconds = int(self._unacknowledged_s * 1000)
            tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)

    def _on_connected(self, destination: PeerAddress, task: asyncio.Task[_Connection]) -> None:
        """Remove a finished connection attempt; its error has already reached the requests that
        waited."""
        self._connecting.pop(destination, None)
        if not task.cancelled():
            task.exception()

    def _restart_idle_timer(self, destination: PeerAddress, connection: _Connection) -> None:
        """Restart the idle timer of a connection."""
        if connection.idle_timer is not None:
            connection.idle_timer.cancel()
        loop = asyncio.get_running_loop()
        connection.idle_timer = loop.call_later(
            IDLE_CLOSE_S, self._close_if_idle, destination, connection
        )

    def _close_if_idle(self, destination: PeerAddress, connection: _Connection) -> None:
        """Close a connection without pending requests; the next request opens a new one."""
        if connection.pending_requests:
            return
        if self._connections.get(destination) is connection:
            del self._connections[destination]
        connection.writer.close()

    async def _read(
        self, peer: PeerAddress, reader: asyncio.StreamReader, connection: _Connection
    ) -> None:
        """Dispatch received frames to pending requests until the connection ends."""
        try:
            while True:
                header = await read_header(reader)
                connection.first_unanswered_at = None
                _dispatch(peer, connection, await read_payload(reader, header))
        except (OSError, EOFError, FrameError):
            pass
        finally:
            self._drop_connection(peer, connection)

    def _drop_connection(self, peer: PeerAddress, connection: _Connection) -> None:
        """Remove a connection and fail its pending requests as lost: the peer may have received
        them."""
        connection.writer.close()
        if connection.idle_timer is not None:
            connection.idle_timer.cancel()
        if self._connections.get(peer) is connection:
            del self._connections[peer]
        self._retired.discard(connection)
        for pending in connection.pending_requests.values():
            if not pending.answer.done():
                pending.answer.set_exception(PeerLostError(f"{peer}: connection closed"))


def _dispatch(peer: PeerAddress, connection: _Connection, frame: Frame) -> None:
    """Dispatch one frame to its pending request; late frames are dropped."""
    pending = connection.pending_requests.get(frame.request_id)
    if pending is None or pending.answer.done():
        return
    answer = pending.answer
    match frame.frame_type:
        case FrameType.ACCEPTED:
            if not pending.accepted and pending.confirms:
                _write(connection, Frame(FrameType.CONFIRMED, frame.request_id))
            pending.record_progress(answer.get_loop().time())
        case FrameType.ANSWER:
            answer.set_result(frame.payload)
        case FrameType.REFUSED:
            answer.set_exception(PeerNotSentError(f"{peer}: {_error_text(frame)}"))
        case FrameType.ERROR:
            answer.set_exception(PeerLostError(f"{peer}: {_error_text(frame)}"))


def _request_type(*, acknowledged: bool, begin_at_once: bool) -> FrameType:
    """Return the frame type of a request; see :class:`FrameType`."""
    if not acknowledged:
        return FrameType.REQUEST
    return FrameType.TRACKED_REQUEST if begin_at_once else FrameType.ACKNOWLEDGED_REQUEST


def _error_text(frame: Frame) -> str:
    return frame.payload.decode(errors="replace")


def _write(connection: _Connection, frame: Frame) -> None:
    if not connection.writer.is_closing():
        connection.writer.write(encode_frame(frame))
