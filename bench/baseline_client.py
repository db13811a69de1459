"""Baseline client: the minimum work of Python's asyncio for one HTTP exchange.

Each call is one write and one read on a persistent connection.  Only the length of the response is
read from its head; nothing is decoded or checked.
"""

from __future__ import annotations

import asyncio

HEAD_END = b"\r\n\r\n"
LENGTH_HEADER = b"Content-Length: "


class BaselineConnection(asyncio.Protocol):
    """Connection with at most one call in flight."""

    def __init__(self, fan_out: BaselineFanOut) -> None:
        """Report completed calls to ``fan_out``."""
        self._fan_out = fan_out
        self._transport: asyncio.Transport | None = None
        self._buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def send(self, request: bytes) -> None:
        """Write a complete request."""
        assert self._transport is not None
        self._transport.write(request)

    def close(self) -> None:
        """Close the connection."""
        assert self._transport is not None
        self._transport.close()

    def data_received(self, data: bytes) -> None:
        """Complete the call when the whole response has arrived."""
        self._buffer += data
        head_end = self._buffer.find(HEAD_END)
        if head_end < 0:
            return
        start = self._buffer.find(LENGTH_HEADER) + len(LENGTH_HEADER)
        length = int(self._buffer[start : self._buffer.find(b"\r\n", start)])
        if len(self._buffer) >= head_end + len(HEAD_END) + length:
            self._buffer = b""
            self._fan_out.on_response()


class BaselineFanOut:
    """Sends one request on every connection and waits for all responses."""

    def __init__(self) -> None:
        """Start without connections."""
        self._connections: list[BaselineConnection] = []
        self._requests: list[bytes] = []
        self._unanswered = 0
        self._done: asyncio.Future[None] | None = None

    async def connect(self, host: str, ports: list[int], requests: list[bytes]) -> None:
        """Open one connection per request, round-robin over the ports."""
        loop = asyncio.get_running_loop()
        self._requests = requests
        for number in range(len(requests)):
            port = ports[number % len(ports)]
            _, connection = await loop.create_connection(
                lambda: BaselineConnection(self), host, port
            )
            self._connections.append(connection)

    async def run(self) -> None:
        """Run one fan-out."""
        self._done = asyncio.get_running_loop().create_future()
        self._unanswered = len(self._connections)
        for connection, request in zip(self._connections, self._requests, strict=True):
            connection.send(request)
        await self._done

    def on_response(self) -> None:
        """Count a response; the last one completes the fan-out."""
        self._unanswered -= 1
        if self._unanswered == 0 and self._done is not None:
            self._done.set_result(None)

    async def close(self) -> None:
        """Close every connection."""
        for connection in self._connections:
            connection.close()
