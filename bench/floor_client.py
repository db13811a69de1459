"""The floor: the least that Python's asyncio can do for one HTTP exchange.

One write and one read a call on a kept connection, the length of the answer taken from its
head, nothing decoded and nothing checked.
"""

from __future__ import annotations

import asyncio

HEAD_END = b"\r\n\r\n"
LENGTH_HEADER = b"Content-Length: "


class FloorConnection(asyncio.Protocol):
    """One connection with one call at a time."""

    def __init__(self, fan_out: FloorFanOut) -> None:
        """Report ends to ``fan_out``."""
        self._fan_out = fan_out
        self._transport: asyncio.Transport | None = None
        self._buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def send(self, request: bytes) -> None:
        """Write a whole request."""
        assert self._transport is not None
        self._transport.write(request)

    def close(self) -> None:
        """Close the connection."""
        assert self._transport is not None
        self._transport.close()

    def data_received(self, data: bytes) -> None:
        """End the call once the whole answer is here."""
        self._buffer += data
        head_end = self._buffer.find(HEAD_END)
        if head_end < 0:
            return
        start = self._buffer.find(LENGTH_HEADER) + len(LENGTH_HEADER)
        length = int(self._buffer[start : self._buffer.find(b"\r\n", start)])
        if len(self._buffer) >= head_end + len(HEAD_END) + length:
            self._buffer = b""
            self._fan_out.on_answer()


class FloorFanOut:
    """Sends one request on every connection and waits for all answers."""

    def __init__(self) -> None:
        """Start without connections."""
        self._connections: list[FloorConnection] = []
        self._requests: list[bytes] = []
        self._left = 0
        self._done: asyncio.Future[None] | None = None

    async def connect(self, host: str, ports: list[int], requests: list[bytes]) -> None:
        """Open one connection a request, over the ports in turn."""
        loop = asyncio.get_running_loop()
        self._requests = requests
        for number in range(len(requests)):
            port = ports[number % len(ports)]
            _, connection = await loop.create_connection(lambda: FloorConnection(self), host, port)
            self._connections.append(connection)

    async def run(self) -> None:
        """Do one fan-out."""
        self._done = asyncio.get_running_loop().create_future()
        self._left = len(self._connections)
        for connection, request in zip(self._connections, self._requests, strict=True):
            connection.send(request)
        await self._done

    def on_answer(self) -> None:
        """Count an answer."""
        self._left -= 1
        if self._left == 0 and self._done is not None:
            self._done.set_result(None)

    async def close(self) -> None:
        """Close every connection."""
        for connection in self._connections:
            connection.close()
