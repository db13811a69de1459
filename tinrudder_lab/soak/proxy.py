"""A loopback proxy that delays, resets or silences connections, drops one direction, or answers."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
import struct

from tinrudder.common.address import Address
from tinrudder_lab.emulator.endless_answers import EndlessAnswer

CHUNK_BYTES = 65536
SLOW_S = 0.15
LINGER_RESET = struct.pack("ii", 1, 0)


class LinkMode(enum.Enum):
    """How a proxy treats the bytes that pass through it.

    ``ONE_WAY``: forwards requests and drops answers.
    """

    PASSING = "passing"
    SLOW = "slow"
    SILENT = "silent"
    ONE_WAY = "one_way"
    RESETTING = "resetting"


class LinkProxy:
    """Forwards connections from one address to another."""

    def __init__(self, target: Address) -> None:
        """Forward connections to ``target``."""
        self.mode = LinkMode.PASSING
        self._endless_answer: EndlessAnswer | None = None
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        # Connections of an earlier generation forward nothing any more.
        self._generation = 0

    async def listen(self, address: Address) -> None:
        """Listen on ``address``."""
        self._server = await asyncio.start_server(self._serve, address.host, address.port)

    def set_mode(self, mode: LinkMode) -> None:
        """Set the mode for all connections; ``RESETTING`` also resets the open ones."""
        self.mode = mode
        if mode is LinkMode.RESETTING:
            for writer in tuple(self._writers):
                _reset(writer)

    def answer_endlessly(self, answer: EndlessAnswer | None) -> None:
        """Answer every further request endlessly in place of the target; ``None`` ends that."""
        self._endless_answer = answer
        for writer in tuple(self._writers):
            writer.transport.abort()

    def silence_open_connections(self) -> None:
        """Drop all further bytes of the connections that are open now; new connections work."""
        self._generation += 1

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        running = tuple(self._tasks)
        for task in running:
            task.cancel()
        await asyncio.gather(*running)
        for writer in tuple(self._writers):
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection until it ends or the proxy is closed."""
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            # asyncio's own callback of this task does not expect a cancellation.
            with contextlib.suppress(asyncio.CancelledError):
                if self._endless_answer is None:
                    await self._forward_connection(reader, writer)
                else:
                    await self._write_endlessly(self._endless_answer, reader, writer)
        finally:
            self._tasks.discard(task)

    async def _forward_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Connect to the target and forward in both directions."""
        if self.mode is LinkMode.RESETTING:
            _reset(writer)
            return
        self._writers.add(writer)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self._target.host, self._target.port
            )
        except OSError:
            _reset(writer)
            self._writers.discard(writer)
            return
        self._writers.add(target_writer)
        await asyncio.gather(
            self._forward(reader, target_writer, answers=False),
            self._forward(target_reader, writer, answers=True),
        )
        self._writers -= {writer, target_writer}

    async def _write_endlessly(
        self, answer: EndlessAnswer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a request until the caller closes."""
        self._writers.add(writer)
        with contextlib.suppress(OSError):
            await reader.read(CHUNK_BYTES)
            writer.write(answer.first)
            while not writer.is_closing():
                writer.write(answer.block)
                await writer.drain()
                await asyncio.sleep(0)
        self._writers.discard(writer)
        writer.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, answers: bool
    ) -> None:
        """Forward bytes in one direction until either end closes."""
        generation = self._generation
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                mode = self.mode
                if generation < self._generation:
                    continue
                if mode is LinkMode.SLOW:
                    await asyncio.sleep(SLOW_S)
                if mode is LinkMode.SILENT or (mode is LinkMode.ONE_WAY and answers):
                    continue
                writer.write(data)
                await writer.drain()
        writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that the other end sees a reset."""
    tcp_socket = writer.get_extra_info("socket")
    if tcp_socket is not None:
        with contextlib.suppress(OSError):
            tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()
