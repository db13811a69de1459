"""Messages between nodes over TCP (requests) and UDP (datagrams).

A TCP frame is a 4-byte length, a 1-byte type, an 8-byte request id and the payload.  One
connection to each peer carries many requests at once; a closed connection fails those it
carried as :class:`PeerLostError`, for the peer may have received them.
"""

from __future__ import annotations

import asyncio
import enum
import struct
from dataclasses import dataclass, field
from functools import partial

from tinrudder.peers import (
    MAX_DATAGRAM_BYTES,
    DatagramHandler,
    PeerAddress,
    PeerLostError,
    PeerNotSentError,
    RequestHandler,
)

MAX_FRAME_BYTES = 16 * 1024 * 1024
CONNECT_TIMEOUT_S = 1.0
_HEADER = struct.Struct("!IBQ")


class FrameType(enum.IntEnum):
    """What a frame is."""

    REQUEST = 1
    ANSWER = 2
    CANCEL = 3


@dataclass(eq=False)
class _PeerConnection:
    """Our connection to one peer and the requests that wait on it."""

    writer: asyncio.StreamWriter
    waiting: dict[int, asyncio.Future[bytes]] = field(default_factory=dict)
    last_request_id: int = 0
    reading: asyncio.Task[None] | None = None


class TcpPeerTransport:
    """The real :class:`tinrudder.peers.PeerTransport`."""

    def __init__(self, host: str, port: int) -> None:
        """Listen on ``host:port`` once :meth:`open` is called."""
        self._host = host
        self._port = port
        self._on_datagram: DatagramHandler | None = None
        self._on_request: RequestHandler | None = None
        self._server: asyncio.Server | None = None
        self._udp: asyncio.DatagramTransport | None = None
        self._connections: dict[PeerAddress, _PeerConnection] = {}
        self._connect_locks: dict[PeerAddress, asyncio.Lock] = {}
        self._accepted: set[asyncio.StreamWriter] = set()

    def listen(self, on_datagram: DatagramHandler, on_request: RequestHandler) -> None:
        """Set who handles what arrives."""
        self._on_datagram = on_datagram
        self._on_request = on_request

    async def open(self) -> PeerAddress:
        """Start listening and return the address."""
        loop = asyncio.get_running_loop()
        self._server = await asyncio.start_server(self._serve, self._host, self._port)
        port = self._server.sockets[0].getsockname()[1]
        self._udp, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramProtocol(self), (self._host, port)
        )
        return PeerAddress(self._host, port)

    def send_datagram(self, destination: PeerAddress, payload: bytes) -> None:
        """Send one datagram."""
        if len(payload) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"datagram: {len(payload)} bytes, at most {MAX_DATAGRAM_BYTES}")
        if self._udp is not None and not self._udp.is_closing():
            self._udp.sendto(payload, (destination.host, destination.port))

    async def request(self, destination: PeerAddress, payload: bytes, timeout_s: float) -> bytes:
        """Send a request and return its answer; see the interface."""
        connection = await self._connection(destination, timeout_s)
        connection.last_request_id += 1
        request_id = connection.last_request_id
        future: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        connection.waiting[request_id] = future
        _write_frame(connection.writer, FrameType.REQUEST, request_id, payload)
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError as error:
            raise PeerLostError(f"{destination}: no answer in {timeout_s} s") from error
        finally:
            connection.waiting.pop(request_id, None)
            if not future.done() or future.cancelled():
                _write_frame(connection.writer, FrameType.CANCEL, request_id, b"")

    async def close(self) -> None:
        """Close every connection and stop listening."""
        if self._server is not None:
            self._server.close()
        if self._udp is not None:
            self._udp.close()
        for connection in tuple(self._connections.values()):
            connection.writer.close()
        for writer in tuple(self._accepted):
            writer.close()

    async def _connection(self, destination: PeerAddress, timeout_s: float) -> _PeerConnection:
        """Return the open connection to a peer, opening it if needed."""
        lock = self._connect_locks.setdefault(destination, asyncio.Lock())
        async with lock:
            existing = self._connections.get(destination)
            if existing is not None and not existing.writer.is_closing():
                return existing
            try:
                async with asyncio.timeout(min(timeout_s, CONNECT_TIMEOUT_S)):
                    reader, writer = await asyncio.open_connection(
                        destination.host, destination.port
                    )
            except (OSError, TimeoutError) as error:
                raise PeerNotSentError(f"{destination}: {error!r}") from error
            connection = _PeerConnection(writer)
            connection.reading = asyncio.create_task(
                self._read_answers(destination, reader, connection)
            )
            self._connections[destination] = connection
            return connection

    async def _read_answers(
        self, peer: PeerAddress, reader: asyncio.StreamReader, connection: _PeerConnection
    ) -> None:
        """Hand answers to whoever waits until the connection closes."""
        try:
            while True:
                frame_type, request_id, payload = await _read_frame(reader)
                future = connection.waiting.get(request_id)
                if frame_type is FrameType.ANSWER and future is not None and not future.done():
                    future.set_result(payload)
        except (OSError, EOFError, ValueError):
            pass
        finally:
            connection.writer.close()
            if self._connections.get(peer) is connection:
                del self._connections[peer]
            for future in connection.waiting.values():
                if not future.done():
                    future.set_exception(PeerLostError(f"{peer}: connection closed"))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one peer's connection."""
        host, port = writer.get_extra_info("peername")[:2]
        source = PeerAddress(host, port)
        running: dict[int, asyncio.Task[None]] = {}
        self._accepted.add(writer)
        try:
            while True:
                frame_type, request_id, payload = await _read_frame(reader)
                if frame_type is FrameType.CANCEL and request_id in running:
                    running[request_id].cancel()
                if frame_type is FrameType.REQUEST:
                    task = asyncio.create_task(self._answer(source, writer, request_id, payload))
                    running[request_id] = task
                    task.add_done_callback(partial(_forget, running, request_id))
        except (OSError, EOFError, ValueError):
            pass
        finally:
            self._accepted.discard(writer)
            for task in tuple(running.values()):
                task.cancel()
            writer.close()

    async def _answer(
        self, source: PeerAddress, writer: asyncio.StreamWriter, request_id: int, payload: bytes
    ) -> None:
        """Run the handler and send its answer."""
        if self._on_request is None:
            return
        answer = await self._on_request(source, payload)
        _write_frame(writer, FrameType.ANSWER, request_id, answer)

    def datagram_received(self, source: PeerAddress, payload: bytes) -> None:
        """Hand a datagram on."""
        if self._on_datagram is not None:
            self._on_datagram(source, payload)


class _DatagramProtocol(asyncio.DatagramProtocol):
    def __init__(self, owner: TcpPeerTransport) -> None:
        self._owner = owner

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._owner.datagram_received(PeerAddress(addr[0], addr[1]), data)


def _forget(running: dict[int, asyncio.Task[None]], request_id: int, _: asyncio.Task[None]) -> None:
    running.pop(request_id, None)


def _write_frame(
    writer: asyncio.StreamWriter, frame_type: FrameType, request_id: int, payload: bytes
) -> None:
    if not writer.is_closing():
        writer.write(_HEADER.pack(len(payload), frame_type, request_id) + payload)


async def _read_frame(reader: asyncio.StreamReader) -> tuple[FrameType, int, bytes]:
    """Read one frame.

    :raises ValueError: it is larger than allowed, or of no known type.
    """
    header = await reader.readexactly(_HEADER.size)
    length, frame_type, request_id = _HEADER.unpack(header)
    if length > MAX_FRAME_BYTES:
        raise ValueError(f"frame: {length} bytes, at most {MAX_FRAME_BYTES}")
    return FrameType(frame_type), request_id, await reader.readexactly(length)
