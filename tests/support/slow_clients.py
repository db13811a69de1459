"""Slow clients, and a transport that accepts only as many bytes as the test allows.

Connections are in memory with 64 KB of buffer in each direction; time is virtual.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from tinrudder.gateway.clients.client_connection import ClientConnection, HttpRequestHandler
from tinrudder.gateway.clients.memory_account import MemoryAccount
from tinrudder_lab.emulator.loop import EmulatorLoop

HOST = "10.1.1.1"
PORT = 80
Result = TypeVar("Result")


class ThrottledTransport(asyncio.Transport):
    """Accepts a set number of bytes; reports the rest to its protocol as asyncio transports do."""

    def __init__(self, protocol: asyncio.Protocol) -> None:
        super().__init__()
        self.protocol = protocol
        self.capacity = 0
        self.unsent = 0
        self.reading = True
        self.closed = False

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        assert high == 0

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def write(self, data: bytes) -> None:  # type: ignore[override]
        if self.closed:
            return
        was_empty = self.unsent == 0
        self.unsent += len(data)
        taken = min(self.capacity, self.unsent)
        self.capacity -= taken
        self.unsent -= taken
        if was_empty and self.unsent:
            self.protocol.pause_writing()

    def drain(self, size: int) -> None:
        if self.unsent and not self.closed:
            self.unsent = max(0, self.unsent - size)
            if not self.unsent:
                self.protocol.resume_writing()

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True

    def is_closing(self) -> bool:
        return self.closed

    def write_eof(self) -> None:
        pass

    def close(self) -> None:
        self.abort()

    def abort(self) -> None:
        if not self.closed:
            self.closed = True
            self.unsent = 0
            self.protocol.connection_lost(None)


def run_served(
    handler: HttpRequestHandler,
    scenario: Callable[[MemoryAccount, set[ClientConnection]], Coroutine[Any, Any, Result]],
    bound: float = float("inf"),
) -> Result:
    """Run a scenario in virtual time while ``handler`` serves connections."""
    loop = EmulatorLoop()
    asyncio.set_event_loop(loop)

    async def main() -> Result:
        account = MemoryAccount(bound, loop.time)
        connections: set[ClientConnection] = set()
        await loop.create_server(
            lambda: ClientConnection(handler, connections, account), HOST, PORT
        )
        return await scenario(account, connections)

    try:
        result: Result = loop.run_until_complete(main())
        return result
    finally:
        asyncio.set_event_loop(None)
        loop.close()


class PacedClient(asyncio.BufferedProtocol):
    """Reads a number of bytes from its socket, waits, and repeats."""

    def __init__(self, size: int, pause_s: float) -> None:
        self.received = bytearray()
        self.ended = False
        self._buffer = bytearray(size)
        self._pause_s = pause_s
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def get_buffer(self, sizehint: int) -> bytearray:
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        assert self._transport is not None
        self.received += self._buffer[:nbytes]
        self._transport.pause_reading()
        asyncio.get_running_loop().call_later(self._pause_s, self._transport.resume_reading)

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended = True


async def connect_paced(data: bytes, size: int, pause_s: float) -> PacedClient:
    """Open a connection that reads ``size`` bytes at a time, and send ``data``."""
    loop = asyncio.get_running_loop()
    transport, client = await loop.create_connection(lambda: PacedClient(size, pause_s), HOST, PORT)
    transport.write(data)
    return client


async def connect(data: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection whose reader buffers almost nothing, and send ``data``."""
    reader, writer = await asyncio.open_connection(HOST, PORT, limit=1024)
    writer.write(data)
    return reader, writer
