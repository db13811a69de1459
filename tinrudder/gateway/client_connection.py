"""One connection from a client: reads whole requests, one at a time, and writes their answers."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

import httptools

from tinrudder.gateway.answers import encode_answer
from tinrudder.gateway.messages import Header, HttpRequest
from tinrudder.gateway.model import ClientLimits
from tinrudder.gateway.outcomes import (
    REASONS,
    STATUS_BAD_REQUEST,
    STATUS_BODY_TOO_LARGE,
    STATUS_HEADER_TOO_LARGE,
    STATUS_TIMEOUT,
    FinalAnswer,
)
from tinrudder.timers import TimerHandle

HTTP_1_1 = "1.1"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
MAX_WAITING_REQUESTS = 16
LINGER_S = 1.0


class RequestInProgress(Protocol):
    """A request that is being served."""

    def abandon(self) -> None:
        """Stop: the client has left."""


class RequestHandler(Protocol):
    """Serves requests; tells what the connection must know."""

    @property
    def limits(self) -> ClientLimits:
        """Return the limits in force."""

    @property
    def closing(self) -> bool:
        """Tell whether clients should go elsewhere after their next answer."""

    def handle(self, request: HttpRequest, connection: ClientConnection) -> RequestInProgress:
        """Serve a request; exactly one :meth:`ClientConnection.answer` follows."""


class ClientConnection(asyncio.Protocol):
    """Speaks HTTP/1.1 with one client.

    A request that breaks the protocol or a limit is answered and the connection closed.
    """

    def __init__(self, handler: RequestHandler, open_connections: set[ClientConnection]) -> None:
        """Pass requests to ``handler``; stand in ``open_connections`` while open."""
        self._handler = handler
        self._open_connections = open_connections
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._timer: TimerHandle | None = None
        self._resting_since = self._loop.time()
        self._reading_since: float | None = None
        self._current: HttpRequest | None = None
        self._in_progress: RequestInProgress | None = None
        self._answered_early = False
        self._waiting: deque[HttpRequest] = deque()
        self._refused = False
        self._target = b""
        self._headers: list[Header] = []
        self._header_bytes = 0
        self._head_complete = False
        self._body: list[bytes] = []
        self._body_bytes = 0

    @property
    def busy(self) -> bool:
        """Tell whether a request is read in part or being served."""
        return self._current is not None or self._reading_since is not None or bool(self._waiting)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to wait for a request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._open_connections.add(self)
        self._arm()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop whatever is in progress for a client that has left."""
        self._transport = None
        self._open_connections.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        self._waiting.clear()
        if self._in_progress is not None:
            in_progress, self._in_progress = self._in_progress, None
            in_progress.abandon()

    def eof_received(self) -> bool:
        """Treat the end of what a client sends as its leave."""
        return False

    def data_received(self, data: bytes) -> None:
        """Read what arrived."""
        if self._refused:
            return
        if self._reading_since is None:
            self._reading_since = self._loop.time()
            self._arm()
        if not self._head_complete:
            self._header_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.refuse(STATUS_BAD_REQUEST)
        except httptools.HttpParserError:
            if not self._refused:
                self.refuse(STATUS_BAD_REQUEST)
        if self._refused:
            return
        if not self._head_complete and self._header_bytes > self._handler.limits.max_header_bytes:
            self.refuse(STATUS_HEADER_TOO_LARGE)

    def answer(self, answer: FinalAnswer) -> None:
        """Write the answer of the request in progress and go on to the next."""
        request = self._current
        self._current = None
        self._in_progress = None
        self._answered_early = True
        if self._transport is None or request is None:
            return
        close = not request.keep_alive or self._handler.closing
        self._transport.write(
            encode_answer(answer, close=close, head_only=request.method == b"HEAD")
        )
        if close:
            self._transport.close()
            return
        self._resting_since = self._loop.time()
        self._arm()
        if self._waiting:
            self._loop.call_soon(self._serve_next)

    def refuse(self, status: int) -> None:
        """Answer what cannot be served, and close."""
        self._refused = True
        if self._transport is None or self._current is not None:
            self._abort()
            return
        answer = FinalAnswer(status, REASONS[status], (), b"")
        self._transport.write(encode_answer(answer, close=True, head_only=False))
        self._transport.write_eof()
        self._loop.call_later(LINGER_S, self._abort)

    def close_if_idle(self) -> None:
        """Close a connection on which nothing is in progress."""
        if not self.busy and self._transport is not None:
            self._transport.close()

    def on_message_begin(self) -> None:
        """Begin a request (called by the parser)."""
        self._target = b""
        self._headers = []
        self._body = []
        self._body_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Collect the target (called by the parser)."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header (called by the parser)."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check what the head alone tells (called by the parser)."""
        head_bytes = len(self._target) + sum(
            len(name) + len(value) for name, value in self._headers
        )
        self._head_complete = True
        if head_bytes > self._handler.limits.max_header_bytes:
            self.refuse(STATUS_HEADER_TOO_LARGE)
            return
        names = [name for name, _ in self._headers]
        if b"expect" in names and self._transport is not None:
            self._transport.write(CONTINUE)
        if names.count(b"content-length") > 1 or (
            b"content-length" in names and b"transfer-encoding" in names
        ):
            self.refuse(STATUS_BAD_REQUEST)

    def on_body(self, body: bytes) -> None:
        """Collect the body (called by the parser)."""
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > self._handler.limits.max_body_bytes and not self._refused:
            self.refuse(STATUS_BODY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """Serve a whole request, or keep it until the one before is answered (by the parser)."""
        if self._refused:
            return
        self._reading_since = None
        self._header_bytes = 0
        self._head_complete = False
        keep_alive = self._parser.should_keep_alive()
        keep_alive = keep_alive and self._parser.get_http_version() == HTTP_1_1
        request = HttpRequest(
            self._parser.get_method(),
            self._target,
            tuple(self._headers),
            b"".join(self._body),
            keep_alive,
        )
        self._body = []
        self._waiting.append(request)
        if len(self._waiting) > MAX_WAITING_REQUESTS:
            self._refused = True
            self._abort()
        elif self._current is None:
            self._serve_next()

    def _serve_next(self) -> None:
        """Serve the oldest request that was read."""
        if self._current is not None or not self._waiting or self._transport is None:
            return
        request = self._waiting.popleft()
        self._current = request
        self._answered_early = False
        in_progress = self._handler.handle(request, self)
        if not self._answered_early:
            self._in_progress = in_progress

    def _arm(self) -> None:
        """Set the one timer, unless it is set to something earlier anyway."""
        if self._timer is None:
            limits = self._handler.limits
            wait = min(limits.header_timeout_s, limits.idle_timeout_s)
            self._timer = self._loop.call_later(wait, self._on_timer)

    def _on_timer(self) -> None:
        """Close what rested too long, refuse what came too slowly, and look again later."""
        self._timer = None
        now = self._loop.time()
        limits = self._handler.limits
        if self._transport is None or self._refused:
            return
        if self._reading_since is not None and self._current is None:
            if now - self._reading_since >= limits.header_timeout_s:
                self.refuse(STATUS_TIMEOUT)
                return
        elif not self.busy and now - self._resting_since >= limits.idle_timeout_s:
            self._transport.close()
            return
        self._arm()

    def _abort(self) -> None:
        """Drop the connection."""
        if self._transport is not None:
            self._transport.abort()
