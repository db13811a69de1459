"""Our connections to other nodes: one each, carrying many requests at once."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable
from dataclasses import dataclass, field

from tinrudder.peers import PeerAddress, PeerLostError, PeerNotSentError
from tinrudder.wire.frames import (
    MAX_FRAME_BYTES,
    Frame,
    FrameError,
    FrameType,
    encode_frame,
    read_header,
    read_payload,
)

LONGEST_CONNECT_S = 1.0
CONNECT_SHARE = 0.5
IDLE_CLOSE_S = 60.0
MAX_UNSENT_BYTES = 32 * 1024 * 1024

ClientContext = Callable[[], ssl.SSLContext | None]


@dataclass(eq=False)
class _Connection:
    """An open connection and the requests that wait on it.

    :param idle_timer: closes the connection after a while without requests.
    """

    writer: asyncio.StreamWriter
    waiting: dict[int, asyncio.Future[bytes]] = field(default_factory=dict)
    last_request_id: int = 0
    reading: asyncio.Task[None] | None = None
    idle_timer: asyncio.TimerHandle | None = None


class PeerClient:
    """Sends requests to other nodes."""

    def __init__(self, tls: ClientContext) -> None:
        """Open connections with the context that ``tls`` returns at that moment."""
        self._tls = tls
        self._connections: dict[PeerAddress, _Connection] = {}
        self._connecting: dict[PeerAddress, asyncio.Task[_Connection]] = {}

    async def request(self, destination: PeerAddress, payload: bytes, timeout_s: float) -> bytes:
        """Send a request and return its answer; see :class:`tinrudder.peers.PeerTransport`."""
        if len(payload) > MAX_FRAME_BYTES:
            raise PeerNotSentError(f"request: {len(payload)} bytes, at most {MAX_FRAME_BYTES}")
        end = asyncio.get_running_loop().time() + timeout_s
        connection = await self._connection(destination, timeout_s)
        if connection.writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            raise PeerNotSentError(f"{destination}: does not read what it is sent")
        connection.last_request_id += 1
        request_id = connection.last_request_id
        answer: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        connection.waiting[request_id] = answer
        _write(connection, Frame(FrameType.REQUEST, request_id, payload))
        try:
            async with asyncio.timeout_at(end):
                return await answer
        except TimeoutError as error:
            raise PeerLostError(f"{destination}: no answer in {timeout_s:.3f} s") from error
        finally:
            connection.waiting.pop(request_id, None)
            if answer.cancelled():
                _write(connection, Frame(FrameType.CANCEL, request_id))
            self._close_when_idle(destination, connection)

    async def close(self) -> None:
        """Close every connection once what was written to it has left."""
        for task in tuple(self._connecting.values()):
            task.cancel()
        for connection in tuple(self._connections.values()):
            connection.writer.close()
        readers = [c.reading for c in self._connections.values() if c.reading is not None]
        await asyncio.gather(*readers, return_exceptions=True)

    async def _connection(self, destination: PeerAddress, timeout_s: float) -> _Connection:
        """Return the open connection to a peer, opening it if needed.

        Requests that wait for the same connection share one attempt.  Opening may take only a
        part of the time, so that a request still has some left for another peer.
        """
        existing = self._connections.get(destination)
        if existing is not None and not existing.writer.is_closing():
            return existing
        task = self._connecting.get(destination)
        if task is None:
            task = asyncio.create_task(self._connect(destination))
            self._connecting[destination] = task
            task.add_done_callback(lambda done: self._on_connected(destination, done))
        try:
            async with asyncio.timeout(timeout_s * CONNECT_SHARE):
                return await asyncio.shield(task)
        except TimeoutError as error:
            raise PeerNotSentError(f"{destination}: no connection in time") from error

    async def _connect(self, destination: PeerAddress) -> _Connection:
        """Open a connection and start reading from it."""
        try:
            async with asyncio.timeout(LONGEST_CONNECT_S):
                reader, writer = await asyncio.open_connection(
                    destination.host, destination.port, ssl=self._tls()
                )
        except (OSError, TimeoutError) as error:
            raise PeerNotSentError(f"{destination}: {error!r}") from error
        connection = _Connection(writer)
        self._connections[destination] = connection
        connection.reading = asyncio.create_task(self._read(destination, reader, connection))
        self._close_when_idle(destination, connection)
        return connection

    def _on_connected(self, destination: PeerAddress, task: asyncio.Task[_Connection]) -> None:
        """Forget a finished attempt; its error has reached those who waited."""
        self._connecting.pop(destination, None)
        if not task.cancelled():
            task.exception()

    def _close_when_idle(self, destination: PeerAddress, connection: _Connection) -> None:
        """Restart the idle timer."""
        if connection.idle_timer is not None:
            connection.idle_timer.cancel()
        loop = asyncio.get_running_loop()
        connection.idle_timer = loop.call_later(
            IDLE_CLOSE_S, self._close_if_idle, destination, connection
        )

    def _close_if_idle(self, destination: PeerAddress, connection: _Connection) -> None:
        """Close a connection that carries nothing; the next request opens another."""
        if connection.waiting:
            return
        if self._connections.get(destination) is connection:
            del self._connections[destination]
        connection.writer.close()

    async def _read(
        self, peer: PeerAddress, reader: asyncio.StreamReader, connection: _Connection
    ) -> None:
        """Hand answers to whoever waits until the connection ends."""
        try:
            while True:
                header = await read_header(reader)
                _settle(peer, connection, await read_payload(reader, header))
        except (OSError, EOFError, FrameError):
            pass
        finally:
            self._end(peer, connection)

    def _end(self, peer: PeerAddress, connection: _Connection) -> None:
        """Drop a connection and fail what waited on it: the peer may have received it."""
        connection.writer.close()
        if connection.idle_timer is not None:
            connection.idle_timer.cancel()
        if self._connections.get(peer) is connection:
            del self._connections[peer]
        for answer in connection.waiting.values():
            if not answer.done():
                answer.set_exception(PeerLostError(f"{peer}: connection closed"))


def _settle(peer: PeerAddress, connection: _Connection, frame: Frame) -> None:
    """Give one frame to the request it answers; late ones are dropped."""
    answer = connection.waiting.get(frame.request_id)
    if answer is None or answer.done():
        return
    match frame.frame_type:
        case FrameType.ANSWER:
            answer.set_result(frame.payload)
        case FrameType.REFUSED:
            answer.set_exception(PeerNotSentError(f"{peer}: {_text(frame)}"))
        case FrameType.ERROR:
            answer.set_exception(PeerLostError(f"{peer}: {_text(frame)}"))


def _text(frame: Frame) -> str:
    return frame.payload.decode(errors="replace")


def _write(connection: _Connection, frame: Frame) -> None:
    if not connection.writer.is_closing():
        connection.writer.write(encode_frame(frame))
