"""One client connection: serves requests one at a time and bounds the memory held for the client.

Owns the socket, the pipelined requests, and the bytes held for this client in the memory account.
:class:`RequestReader` parses requests, a handler serves them, and
:mod:`tinrudder.gateway.clients.answer_progress` detects clients that do not read.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

from tinrudder.gateway.clients.answer_progress import AnswerProgress, unread_timeout_s
from tinrudder.gateway.clients.answers import RETRY_AFTER, encode_answer
from tinrudder.gateway.clients.connection_limit import ConnectionLimit
from tinrudder.gateway.clients.memory_account import MemoryAccount
from tinrudder.gateway.clients.request_reader import RequestReader
from tinrudder.gateway.decisions.admission.memory_bound import RETRY_AFTER_S
from tinrudder.gateway.model.body_parts import BodyParts
from tinrudder.gateway.model.configuration import ClientLimits
from tinrudder.gateway.model.http_messages import Headers, HttpRequest
from tinrudder.gateway.model.outcomes import (
    REASONS,
    STATUS_TIMEOUT,
    STATUS_UNAVAILABLE,
    FinalAnswer,
)
from tinrudder.timers import TimerHandle

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
MAX_WAITING_REQUESTS = 16
"""Maximum pipelined requests that wait behind the one in progress; one more closes the connection.
Clients that pipeline at all send a few, and each request is held in memory."""
LINGER_S = 1.0
"""How long a connection stays open after the answer to a refused request, seconds.  An immediate
reset, while the client still sends, can make the client lose that answer."""
PAUSE_CHECK_INTERVAL_S = 0.25
"""Interval of checks on a connection whose client does not read or whose reading is paused,
seconds: a quarter of the shortest timeout that these checks enforce.  Other connections have no
such timer."""
BODY_WAIT_TIMEOUT_S = 1.0
"""How long a partly read body may wait for memory, seconds.  After that the request is refused,
while its client still has time to try another gateway."""


class RequestInProgress(Protocol):
    """A request that is being served."""

    def abandon(self) -> None:
        """Stop serving: the client has disconnected."""


class HttpRequestHandler(Protocol):
    """Serves requests and provides the limits for connections."""

    @property
    def limits(self) -> ClientLimits:
        """The limits in force."""

    @property
    def closing(self) -> bool:
        """Whether connections should be closed after their next answer."""

    def handle(self, request: HttpRequest, connection: ClientConnection) -> RequestInProgress:
        """Serve a request; exactly one :meth:`ClientConnection.answer` follows."""


class ClientConnection(RequestReader, asyncio.Protocol):
    """HTTP/1.1 connection with one client.

    A request that violates the protocol or a limit is answered with an error and the connection is
    closed.  Unread answers are bounded: while a client has not read its answer, no other request of
    this client is served or read, and the connection is closed if the client reads nothing for too
    long.  All bytes held for the client are counted in ``memory``.
    """

    def __init__(
        self,
        handler: HttpRequestHandler,
        open_connections: set[ClientConnection],
        memory: MemoryAccount,
        limit: ConnectionLimit | None = None,
    ) -> None:
        """Pass requests to ``handler``; stay registered in ``open_connections`` while open.

        :param limit: bounds the connections that may be open; ``None``: nothing does.
        """
        super().__init__(handler)
        self._handler = handler
        self._open_connections = open_connections
        self._limit = limit
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._memory = memory
        self._held_bytes = 0
        self._unread_bytes = 0
        self._answer_progress = AnswerProgress()
        self._paused_at: float | None = None
        self._paused_for_memory = False
        self._pause_timer: TimerHandle | None = None
        self._timer: TimerHandle | None = None
        self._idle_since = self._loop.time()
        self._receiving_since: float | None = None
        self._current: HttpRequest | None = None
        self._current_bytes = 0
        self._in_progress: RequestInProgress | None = None
        self._answered_synchronously = False
        self._waiting: deque[HttpRequest] = deque()
        self._waiting_bytes: deque[int] = deque()

    @property
    def busy(self) -> bool:
        """Whether a request is being received or served."""
        return self.has_complete_request or self._receiving_since is not None

    @property
    def unread_bytes(self) -> int:
        """Bytes of an answer that the client has not read."""
        return self._unread_bytes

    @property
    def has_complete_request(self) -> bool:
        """Whether a completely received request is being served or waiting."""
        return self._current is not None or bool(self._waiting)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start waiting for a request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        # At 0 the transport reports every byte that the socket does not accept immediately.
        transport.set_write_buffer_limits(high=0)
        self._open_connections.add(self)
        if self._limit is not None and not self._limit.admit(self):
            transport.abort()
            return
        self._start_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop all work for a client that has disconnected."""
        self._transport = None
        self._open_connections.discard(self)
        if self._limit is not None:
            self._limit.remove(self)
        if self._timer is not None:
            self._timer.cancel()
        if self._pause_timer is not None:
            self._pause_timer.cancel()
        self._waiting.clear()
        self._waiting_bytes.clear()
        self._current_bytes = 0
        self._release_parser()
        self._add_held(-self._held_bytes)
        self._set_unread_bytes(0)
        if self._in_progress is not None:
            in_progress, self._in_progress = self._in_progress, None
            in_progress.abandon()

    def eof_received(self) -> bool:
        """Treat a half-close by the client as a disconnect."""
        return False

    def pause_writing(self) -> None:
        """Count unread answer bytes; serve and read no more requests until they are read."""
        assert self._transport is not None
        self._set_unread_bytes(self._transport.get_write_buffer_size())
        self._answer_progress.begin(self._transport, self._loop.time())
        self._pause()

    def resume_writing(self) -> None:
        """Continue: the socket has accepted everything."""
        self._set_unread_bytes(0)
        self._idle_since = self._loop.time()
        self._resume()
        if self._waiting:
            self._loop.call_soon(self._serve_next)

    def data_received(self, data: bytes) -> None:
        """Parse the bytes that arrived."""
        if self._refused:
            return
        if self._receiving_since is None:
            self._receiving_since = self._loop.time()
            self._start_timer()
        self._feed(data)
        if self._refused:
            return
        if not self._head_complete and self._receiving_since is not None:
            self._count_partial_head(len(data))
        elif self._held_bytes > self._current_bytes and self._memory.is_near_bound:
            self._paused_for_memory = True
            self._memory.pauses += 1
            self._pause()

    def answer(self, answer: FinalAnswer) -> None:
        """Write the answer to the request in progress and serve the next request."""
        request = self._current
        self._current = None
        self._in_progress = None
        self._answered_synchronously = True
        self._add_held(-self._current_bytes)
        self._current_bytes = 0
        # The client may have disconnected while its request ran.
        if self._transport is None or request is None:
            return
        # Requests that were pipelined behind this one are answered before the connection closes.
        close = not request.keep_alive or (self._handler.closing and not self._waiting)
        self._transport.write(
            encode_answer(answer, close=close, head_only=request.method == b"HEAD")
        )
        if close:
            self._transport.close()
            return
        self._idle_since = self._loop.time()
        self._start_timer()
        if self._waiting:
            self._loop.call_soon(self._serve_next)

    def refuse(self, status: int, headers: Headers = ()) -> None:
        """Answer a request that cannot be served with an error, and close."""
        self._refused = True
        self._body = BodyParts()
        # The client would match an answer written now to the request that is still being served.
        if self._transport is None or self.has_complete_request:
            self._abort()
            return
        self._add_held(-self._held_bytes)
        answer = FinalAnswer(status, REASONS[status], headers, b"")
        self._transport.write(encode_answer(answer, close=True, head_only=False))
        self._transport.write_eof()
        self._loop.call_later(LINGER_S, self._abort)

    def close_if_idle(self) -> None:
        """Close the connection if no request is being received or served."""
        if not self.busy and self._transport is not None:
            self._transport.close()

    def end_with_process(self, retry_after_s: float) -> None:
        """Refuse a request that has not been received completely; close an idle connection."""
        if self._refused or self.has_complete_request:
            return
        if self.busy:
            self.refuse(STATUS_UNAVAILABLE, ((RETRY_AFTER, b"%.3f" % retry_after_s),))
        else:
            self.close_if_idle()

    def _send_continue(self) -> None:
        """Send ``100 Continue``, so that the client sends the body."""
        if self._transport is not None:
            self._transport.write(CONTINUE)

    def _on_request(self, request: HttpRequest, size: int) -> None:
        """Serve a complete request, or queue it behind the one in progress."""
        self._receiving_since = None
        self._waiting.append(request)
        self._waiting_bytes.append(size)
        if len(self._waiting) > MAX_WAITING_REQUESTS:
            self._refused = True
            self._abort()
        elif self._current is None:
            self._serve_next()

    def _serve_next(self) -> None:
        """Serve the oldest queued request."""
        if self._current is not None or not self._waiting or self._transport is None:
            return
        # The client may not have read the previous answer: at most one answer is buffered.
        if self._unread_bytes:
            return
        request = self._waiting.popleft()
        self._current = request
        self._current_bytes = self._waiting_bytes.popleft()
        self._answered_synchronously = False
        in_progress = self._handler.handle(request, self)
        # Refusals are answered within handle(): then there is nothing to abandon.
        if not self._answered_synchronously:
            self._in_progress = in_progress

    def _start_timer(self) -> None:
        """Start the timer unless it is running."""
        if self._timer is None:
            limits = self._handler.limits
            wait = min(limits.header_timeout_s, limits.idle_timeout_s)
            self._timer = self._loop.call_later(wait, self._on_timer)

    def _on_timer(self) -> None:
        """Enforce the idle and header timeouts, and restart the timer."""
        self._timer = None
        now = self._loop.time()
        limits = self._handler.limits
        if self._transport is None or self._refused:
            return
        if self._paused_at is not None:
            # Neither timeout applies: this gateway has paused reading.
            self._start_timer()
            return
        if self._receiving_since is not None and self._current is None:
            if now - self._receiving_since >= limits.header_timeout_s:
                self.refuse(STATUS_TIMEOUT)
                return
        elif not self.busy and now - self._idle_since >= limits.idle_timeout_s:
            self._transport.close()
            return
        self._start_timer()

    def _abort(self) -> None:
        """Close the connection immediately."""
        if self._transport is not None:
            self._transport.abort()

    def _add_held(self, size: int) -> None:
        """Add to the bytes held for requests; negative to release."""
        self._held_bytes += size
        self._memory.clients += size

    def _set_unread_bytes(self, size: int) -> None:
        """Set the count of answer bytes that the socket has not accepted."""
        self._memory.clients += size - self._unread_bytes
        self._unread_bytes = size

    def _pause(self) -> None:
        """Pause reading, and check periodically whether it may resume."""
        assert self._transport is not None
        self._transport.pause_reading()
        if self._paused_at is None:
            self._paused_at = self._loop.time()
        if self._pause_timer is None:
            self._pause_timer = self._loop.call_later(PAUSE_CHECK_INTERVAL_S, self._check_pause)

    def _resume(self) -> None:
        """Resume reading if nothing prevents it; the pause does not count towards the client's
        timeouts.
        """
        if self._paused_at is None or self._unread_bytes or self._paused_for_memory:
            return
        paused_s = self._loop.time() - self._paused_at
        self._paused_at = None
        self._idle_since += paused_s
        if self._receiving_since is not None:
            self._receiving_since += paused_s
        if self._transport is not None:
            self._transport.resume_reading()

    def _check_pause(self) -> None:
        """Check a client that does not read, or whose request waits for memory."""
        self._pause_timer = None
        if self._transport is None or self._paused_at is None or self._refused:
            return
        now = self._loop.time()
        if self._unread_bytes:
            self._check_unread(now)
        elif self._paused_for_memory:
            self._check_memory(now)
        if self._paused_at is not None:
            self._pause_timer = self._loop.call_later(PAUSE_CHECK_INTERVAL_S, self._check_pause)

    def _check_unread(self, now: float) -> None:
        """Close the connection if its client has read nothing for too long."""
        assert self._transport is not None
        self._set_unread_bytes(self._transport.get_write_buffer_size())
        idle_s = self._answer_progress.idle_s(self._transport, now)
        has_just_read = idle_s == 0.0
        if has_just_read:
            return
        if idle_s >= unread_timeout_s(self._memory, closing=self._handler.closing):
            self._memory.note_ended_unread(self._unread_bytes, idle_s)
            self._abort()

    def _check_memory(self, now: float) -> None:
        """Resume reading once there is memory; refuse a body that has waited too long."""
        if not self._memory.is_near_bound:
            self._paused_for_memory = False
            self._resume()
            return
        assert self._paused_at is not None
        too_long = now - self._paused_at >= BODY_WAIT_TIMEOUT_S or self._memory.is_full
        if too_long and self._held_bytes and not self.has_complete_request:
            self._memory.note_refused_body()
            retry_after = b"%.3f" % RETRY_AFTER_S
            self.refuse(STATUS_UNAVAILABLE, ((RETRY_AFTER, retry_after),))
