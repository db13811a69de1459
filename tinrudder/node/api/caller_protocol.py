"""Callers' connections with a limit on the size and the time of a request's head.

The server's own limits begin with the body; without these, a client that never ends its headers
would hold memory and a connection for as long as it likes.
"""

from __future__ import annotations

import asyncio

import msgspec
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from tinrudder.node.api.problems import ProblemBody

MAX_HEAD_BYTES = 32 * 1024
HEAD_TIMEOUT_S = 10.0
STATUS_LINES = {"head_too_large": "431 Request Header Fields Too Large"}


class CallerProtocol(HttpToolsProtocol):
    """uvicorn's protocol; closes connections whose heads are too slow or too large."""

    _head_timer: asyncio.TimerHandle | None = None
    _head_bytes = 0
    _in_head = True

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Give the first head its time."""
        super().connection_made(transport)
        loop = asyncio.get_running_loop()
        self._head_timer = loop.call_later(HEAD_TIMEOUT_S, self._on_slow_head)

    def data_received(self, data: bytes) -> None:
        """Count the bytes of a head that has not ended."""
        super().data_received(data)
        if not self._in_head:
            return
        self._head_bytes += len(data)
        if self._head_bytes > MAX_HEAD_BYTES:
            self._refuse("head_too_large", f"at most {MAX_HEAD_BYTES} bytes")

    def on_message_begin(self) -> None:
        """Begin a head."""
        self._in_head = True
        self._head_bytes = 0
        if self._head_timer is None:
            loop = asyncio.get_running_loop()
            self._head_timer = loop.call_later(HEAD_TIMEOUT_S, self._on_slow_head)
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """End a head."""
        self._in_head = False
        self._stop_timer()
        super().on_headers_complete()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timer."""
        self._stop_timer()
        super().connection_lost(exc)

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _on_slow_head(self) -> None:
        """Close a connection that sent no whole head in time; it asked for nothing yet."""
        self._head_timer = None
        self.transport.abort()

    def _refuse(self, reason: str, rule: str) -> None:
        """Answer without the application and close."""
        if self.transport.is_closing():
            return
        body = msgspec.json.encode(ProblemBody("", reason, "head", rule, detail=f"head: {rule}"))
        head = (
            f"HTTP/1.1 {STATUS_LINES[reason]}\r\nContent-Type: application/json\r\n"
            f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self.transport.write(head.encode() + body)
        self.transport.close()
