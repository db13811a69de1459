"""One client connection: serves requests one at a time and bounds the memory held for the client.

Owns the socket, the pipelined requests, and the bytes held for this client in the memory account.
:class:`RequestReader` parses requests, a handler serves them, and
:mod:`tinrudder.gateway.clients.answer_progress` detects clients that do not read.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

from tinrudder.gateway.clients.answer_progress import AnswerProgress, longest_unread_s
from tinrudder.gateway.clients.answers import RETRY_AFTER, encode_answer
from tinrudder.gateway.clients.memory_account import MemoryAccount
from tinrudder.gateway.clients.request_reader import RequestReader
from tinrudder.gateway.decisions.admission.memory_bound import RETRY_AFTER_S
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
"""Most pipelined requests that may wait behind the one in progress; one more closes the connection.
Clients that pipeline at all send a few, and each request is held in memory."""
LINGER_S = 1.0
"""How long a connection stays open after the answer to a refused request, seconds.  An immediate
reset, while the client still sends, can make the client lose that answer."""
WATCH_S = 0.25
"""Interval of checks on a connection whose client does not read or whose reading is paused,
seconds: a quarter of the shortest timeout that these checks enforce.  Other connections have no
such timer."""
PAUSED_S = 1.0
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
    ) -> None:
        """Pass requests to ``handler``; stay registered in ``open_connections`` while open."""
        super().__init__(handler)
        self._handler = handler
        self._open_connections = open_connections
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._memory = memory
        self._held = 0
        self._unread = 0
        self._answer_progress = AnswerProgress()
        self._paused_at: float | None = None
        self._paused_for_memory = False
        self._watch: TimerHandle | None = None
        self._timer: TimerHandle | None = None
        self._idle_since = self._loop.time()
        self._reading_since: float | None = None
        self._current: HttpRequest | None = None
        self._current_bytes = 0
        self._in_progress: RequestInProgress | None = None
        self._answered_at_once = False
        self._waiting: deque[HttpRequest] = deque()
        self._waiting_bytes: deque[int] = deque()

    @property
    def busy(self) -> bool:
        """Whether a request is being received or served."""
        return self.busy_with_whole or self._reading_since is not None

    @property
    def busy_with_whole(self) -> bool:
        """Whether a completely received request is being served or waiting."""
        return self._current is not None or bool(self._waiting)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start waiting for a request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        # At 0 the transport reports every byte that the socket does not accept immediately.
        transport.set_write_buffer_limits(high=0)
        self._open_connections.add(self)
        self._arm()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop all work for a client that has disconnected."""
        self._transport = None
        self._open_connections.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        if self._watch is not None:
            self._watch.cancel()
        self._waiting.clear()
        self._waiting_bytes.clear()
        self._current_bytes = 0
        self._stop_reading()
        self._hold(-self._held)
        self._note_unread(0)
        if self._in_progress is not None:
            in_progress, self._in_progress = self._in_progress, None
            in_progress.abandon()

    def eof_received(self) -> bool:
        """Treat a half-close by the client as a disconnect."""
        return False

    def pause_writing(self) -> None:
        """Count unread answer bytes; serve and read no more requests until they are read."""
        assert self._transport is not None
        self._note_unread(self._transport.get_write_buffer_size())
        self._answer_progress.begin(self._transport, self._loop.time())
        self._pause()

    def resume_writing(self) -> None:
        """Continue: the socket has accepted everything."""
        self._note_unread(0)
        self._idle_since = self._loop.time()
        self._resume()
        if self._waiting:
            self._loop.call_soon(self._serve_next)

    def data_received(self, data: bytes) -> None:
        """Parse the bytes that arrived."""
        if self._refused:
            return
        if self._reading_since is None:
            self._reading_since = self._loop.time()
            self._arm()
        self._feed(data)
        if self._refused:
            return
        if not self._head_complete and self._reading_since is not None:
            self._take_part_of_head(len(data))
        elif self._held > self._current_bytes and self._memory.is_near:
            self._paused_for_memory = True
            self._memory.pauses += 1
            self._pause()

    def answer(self, answer: FinalAnswer) -> None:
        """Write the answer to the request in progress and serve the next request."""
        request = self._current
        self._current = None
        self._in_progress = None
        self._answered_at_once = True
        self._hold(-self._current_bytes)
        self._current_bytes = 0
        # The client may have disconnected while its request ran.
        if self._transport is None or request is None:
            return
        close = not request.keep_alive or self._handler.closing
        self._transport.write(
            encode_answer(answer, close=close, head_only=request.method == b"HEAD")
        )
        if close:
            self._transport.close()
            return
        self._idle_since = self._loop.time()
        self._arm()
        if self._waiting:
            self._loop.call_soon(self._serve_next)

    def refuse(self, status: int, headers: Headers = ()) -> None:
        """Answer a request that cannot be served with an error, and close."""
        self._refused = True
        self._body = []
        # The client would match an answer written now to the request that is still being served.
        if self._transport is None or self.busy_with_whole:
            self._abort()
            return
        self._hold(-self._held)
        answer = FinalAnswer(status, REASONS[status], headers, b"")
        self._transport.write(encode_answer(answer, close=True, head_only=False))
        self._transport.write_eof()
        self._loop.call_later(LINGER_S, self._abort)

    def close_if_idle(self) -> None:
        """Close the connection if no request is being received or served."""
        if not self.busy and self._transport is not None:
            self._transport.close()

    def _send_continue(self) -> None:
        """Send ``100 Continue``, so that the client sends the body."""
        if self._transport is not None:
            self._transport.write(CONTINUE)

    def _on_request(self, request: HttpRequest, size: int) -> None:
        """Serve a complete request, or queue it behind the one in progress."""
        self._reading_since = None
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
        if self._unread:
            return
        request = self._waiting.popleft()
        self._current = request
        self._current_bytes = self._waiting_bytes.popleft()
        self._answered_at_once = False
        in_progress = self._handler.handle(request, self)
        # Refusals are answered within handle(): then there is nothing to abandon.
        if not self._answered_at_once:
            self._in_progress = in_progress

    def _arm(self) -> None:
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
            self._arm()
            return
        if self._reading_since is not None and self._current is None:
            if now - self._reading_since >= limits.header_timeout_s:
                self.refuse(STATUS_TIMEOUT)
                return
        elif not self.busy and now - self._idle_since >= limits.idle_timeout_s:
            self._transport.close()
            return
        self._arm()

    def _abort(self) -> None:
        """Close the connection immediately."""
        if self._transport is not None:
            self._transport.abort()

    def _hold(self, size: int) -> None:
        """Add to the bytes held for requests; negative to release."""
        self._held += size
        self._memory.clients += size

    def _note_unread(self, size: int) -> None:
        """Set the count of answer bytes that the socket has not accepted."""
        self._memory.clients += size - self._unread
        self._unread = size

    def _pause(self) -> None:
        """Pause reading, and check periodically whether it may resume."""
        assert self._transport is not None
        self._transport.pause_reading()
        if self._paused_at is None:
            self._paused_at = self._loop.time()
        if self._watch is None:
            self._watch = self._loop.call_later(WATCH_S, self._look)

    def _resume(self) -> None:
        """Resume reading if nothing prevents it; the pause does not count towards the client's
        timeouts.
        """
        if self._paused_at is None or self._unread or self._paused_for_memory:
            return
        paused_s = self._loop.time() - self._paused_at
        self._paused_at = None
        self._idle_since += paused_s
        if self._reading_since is not None:
            self._reading_since += paused_s
        if self._transport is not None:
            self._transport.resume_reading()

    def _look(self) -> None:
        """Check a client that does not read, or whose request waits for memory."""
        self._watch = None
        if self._transport is None or self._paused_at is None or self._refused:
            return
        now = self._loop.time()
        if self._unread:
            self._look_at_unread(now)
        elif self._paused_for_memory:
            self._look_for_room(now)
        if self._paused_at is not None:
            self._watch = self._loop.call_later(WATCH_S, self._look)

    def _look_at_unread(self, now: float) -> None:
        """Close the connection if its client has read nothing for too long."""
        assert self._transport is not None
        self._note_unread(self._transport.get_write_buffer_size())
        idle_s = self._answer_progress.idle_s(self._transport, now)
        has_just_read = idle_s == 0.0
        if has_just_read:
            return
        if idle_s >= longest_unread_s(self._memory, closing=self._handler.closing):
            self._memory.note_ended_unread(self._unread, idle_s)
            self._abort()

    def _look_for_room(self, now: float) -> None:
        """Resume reading once there is memory; refuse a body that has waited too long."""
        if not self._memory.is_near:
            self._paused_for_memory = False
            self._resume()
            return
        assert self._paused_at is not None
        too_long = now - self._paused_at >= PAUSED_S or self._memory.is_full
        if too_long and self._held and not self.busy_with_whole:
            self._memory.note_refused_body()
            retry_after = b"%.3f" % RETRY_AFTER_S
            self.refuse(STATUS_UNAVAILABLE, ((RETRY_AFTER, retry_after),))
