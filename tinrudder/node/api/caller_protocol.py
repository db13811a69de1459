"""Owns the size limit and the timeout of a request's head on callers' connections.

The server's own limits apply only from the body on: without these, a client that never ends its
headers could hold memory and a connection indefinitely.
"""

from __future__ import annotations

import asyncio

import msgspec
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from tinrudder.node.api.problems import ProblemBody

MAX_HEAD_BYTES = 32 * 1024
HEAD_TIMEOUT_S = 10.0
"""Seconds from the start of a connection or request to the end of its headers."""
STATUS_LINES = {"head_too_large": "431 Request Header Fields Too Large"}


class CallerProtocol(HttpToolsProtocol):
    """uvicorn's protocol, which also closes connections whose heads are too slow or too large."""

    _head_timer: asyncio.TimerHandle | None = None
    _head_bytes = 0
    _in_head = True

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start the timer for the first head."""
        super().connection_made(transport)
        loop = asyncio.get_running_loop()
        self._head_timer = loop.call_later(HEAD_TIMEOUT_S, self._on_slow_head)

    def data_received(self, data: bytes) -> None:
        """Count the bytes of an unfinished head and refuse one that is too large."""
        super().data_received(data)
        if not self._in_head:
            return
        self._head_bytes += len(data)
        if self._head_bytes > MAX_HEAD_BYTES:
            self._refuse("head_too_large", f"at most {MAX_HEAD_BYTES} bytes")

    def on_message_begin(self) -> None:
        """Reset the byte count and start the timer if none is running."""
        self._in_head = True
        self._head_bytes = 0
        if self._head_timer is None:
            loop = asyncio.get_running_loop()
            self._head_timer = loop.call_later(HEAD_TIMEOUT_S, self._on_slow_head)
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Stop counting bytes and cancel the timer."""
        self._in_head = False
        self._stop_timer()
        super().on_headers_complete()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timer."""
        self._stop_timer()
        super().connection_lost(exc)

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _on_slow_head(self) -> None:
        """Abort a connection whose head timed out; it has no complete request to answer."""
        self._head_timer = None
        self.transport.abort()

    def _refuse(self, reason: str, rule: str) -> None:
        """Answer without calling the application, then close the connection."""
        if self.transport.is_closing():
            return
        body = msgspec.json.encode(ProblemBody("", reason, "head", rule, detail=f"head: {rule}"))
        head = (
            f"HTTP/1.1 {STATUS_LINES[reason]}\r\nContent-Type: application/json\r\n"
            f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self.transport.write(head.encode() + body)
        self.transport.close()
