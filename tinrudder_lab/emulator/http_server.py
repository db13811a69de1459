"""An HTTP server that passes complete requests to a callback, which may write any bytes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import httptools


@dataclass(frozen=True, slots=True)
class ServedRequest:
    """A parsed request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


RequestFunction = Callable[[ServedRequest, "ServerConnection"], None]


class ServerConnection(asyncio.Protocol):
    """One accepted connection."""

    def __init__(self, on_request: RequestFunction) -> None:
        """Pass complete requests to ``on_request``."""
        self.closed = False
        self.on_close: list[Callable[[], None]] = []
        self._on_request = on_request
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._headers: dict[str, str] = {}
        self._body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Call the listeners for the end of the connection."""
        self.closed = True
        for listener in self.on_close:
            listener()

    def data_received(self, data: bytes) -> None:
        """Parse incoming bytes; drop the connection if they are not HTTP."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def write(self, data: bytes) -> None:
        """Send bytes as they are."""
        if self._transport is not None and not self.closed:
            self._transport.write(data)

    def close(self) -> None:
        """Close the connection after sending what is buffered."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def on_message_begin(self) -> None:
        """Reset the parser state for a new request."""
        self._target, self._headers, self._body = b"", {}, b""

    def on_url(self, url: bytes) -> None:
        """Append to the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self._headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        """Append to the body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Pass the complete request to the callback."""
        method = self._parser.get_method().decode()
        request = ServedRequest(method, self._target.decode(), self._headers, self._body)
        self._on_request(request, self)


def encode_response(
    status: int, headers: dict[str, str], body: bytes, *, framed: bool = True
) -> bytes:
    """Return the bytes of an answer, with a ``Content-Length`` only if it is ``framed``."""
    lines = [f"HTTP/1.1 {status} Emulated"]
    lines.extend(f"{name}: {value}" for name, value in headers.items())
    if framed:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
