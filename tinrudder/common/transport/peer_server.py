"""Server side of peer connections: reads requests, runs the handler and sends its answers.

Owns the accepted connections and one task per running request; the tasks of a connection are
cancelled when it ends.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

from msgspec import Struct, field

from tinrudder.common.logs import log_problem
from tinrudder.common.transport.frames import (
    MAX_ERROR_BYTES,
    MAX_FRAME_BYTES,
    Frame,
    FrameError,
    FrameHeader,
    FrameType,
    encode_frame,
    read_header,
    read_payload,
)
from tinrudder.peers import PeerAddress, RequestHandler

MAX_REQUESTS_IN_FLIGHT = 1024
"""Maximum number of concurrent requests on one connection: bounds the tasks that one peer can
start. Further requests are refused as not started."""
MAX_UNREAD_BYTES = MAX_FRAME_BYTES
"""Maximum size of one peer's write buffer, bytes: the size of the largest answer. A small process
has 108 MB to spare, enough for six such peers."""
IDLE_TIMEOUT_S = 300.0
"""Time after which a connection without requests is closed, seconds: five times the clients' own
limit, so that it closes only connections whose peer is gone."""
CLOSE_TIMEOUT_S = 2.0
"""Time limit for flushing answers when the process stops, seconds: bounds how long a peer that does
not read delays a planned stop."""
PROGRESS_INTERVAL_S = 0.1
"""Interval of progress reports for a running request, seconds: must be well below the client's
``PROGRESS_TIMEOUT_S``."""
CONFIRMATION_TIMEOUT_S = 1.0
"""Time that a request waits for its sender's confirmation, seconds. A sender confirms at once; one
that has turned to another gateway never does."""


class _Connection(Struct, eq=False):
    """One accepted connection and its running requests.

    :param unconfirmed: requests that start only when the sender confirms, by id.
    :param request_bytes: total payload size of the running requests.
    """

    source: PeerAddress
    writer: asyncio.StreamWriter
    running: dict[int, asyncio.Task[None]] = field(default_factory=dict)
    unconfirmed: dict[int, asyncio.Event] = field(default_factory=dict)
    request_bytes: int = 0


class PeerServer:
    """Serves requests; a protocol violation closes only the violating peer's connection."""

    def __init__(self, handler: Callable[[], RequestHandler | None]) -> None:
        """Create a server; ``handler`` is called for the current handler of each request."""
        self._handler = handler
        self._connections: set[_Connection] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends, then cancel its running requests."""
        host, port = writer.get_extra_info("peername")[:2]
        connection = _Connection(PeerAddress(host, port), writer)
        self._connections.add(connection)
        try:
            while True:
                header = await _next_header(reader, connection)
                self._on_frame(connection, await read_payload(reader, header))
        except (OSError, EOFError):
            pass
        except FrameError as error:
            log_problem(
                "peer connection closed", {"peer": str(connection.source), "why": str(error)}
            )
        finally:
            self._connections.discard(connection)
            for task in tuple(connection.running.values()):
                task.cancel()
            writer.close()

    @property
    def held_bytes(self) -> int:
        """Return the bytes of running requests and of frames in write buffers."""
        running_bytes = sum(connection.request_bytes for connection in self._connections)
        return running_bytes + sum(
            connection.writer.transport.get_write_buffer_size() for connection in self._connections
        )

    async def close(self) -> None:
        """Close every connection after its answers have been flushed."""
        writers = [connection.writer for connection in self._connections]
        for writer in writers:
            writer.close()
        closing = [writer.wait_closed() for writer in writers]
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await asyncio.gather(*closing, return_exceptions=True)
        except TimeoutError:
            for writer in writers:
                writer.transport.abort()

    def _on_frame(self, connection: _Connection, frame: Frame) -> None:
        """Start, confirm or cancel a request.

        An acknowledged request starts only when its sender has confirmed it. A process that was
        paused may read a request, and may be running others, long after the sender has turned to
        another peer; such a request must not start.
        """
        match frame.frame_type:
            case FrameType.REQUEST:
                self._start(connection, frame, None)
            case FrameType.ACKNOWLEDGED_REQUEST:
                self._start(connection, frame, asyncio.Event())
                _report_progress(connection, frame.request_id)
            case FrameType.TRACKED_REQUEST:
                self._start(connection, frame, None)
                _report_progress(connection, frame.request_id)
            case FrameType.CONFIRMED:
                confirmation = connection.unconfirmed.pop(frame.request_id, None)
                if confirmation is not None:
                    confirmation.set()
            case FrameType.CANCEL:
                task = connection.running.get(frame.request_id)
                if task is not None:
                    task.cancel()
            case _:
                raise FrameError(f"frame type: {frame.frame_type.name} is not valid from a client")

    def _start(
        self, connection: _Connection, frame: Frame, confirmed: asyncio.Event | None
    ) -> None:
        """Run the handler in a new task, within the connection's limits."""
        handler = self._handler()
        if handler is None or len(connection.running) >= MAX_REQUESTS_IN_FLIGHT:
            _write(connection, Frame(FrameType.REFUSED, frame.request_id, b"too many requests"))
            return
        task = asyncio.create_task(_answer(connection, handler, frame, confirmed))
        connection.running[frame.request_id] = task
        connection.request_bytes += len(frame.payload)
        if confirmed is not None:
            connection.unconfirmed[frame.request_id] = confirmed
        task.add_done_callback(
            partial(_remove_finished, connection, frame.request_id, len(frame.payload))
        )


async def _next_header(reader: asyncio.StreamReader, connection: _Connection) -> FrameHeader:
    """Read the next frame header; close a connection that stays idle without running requests."""
    while True:
        try:
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                return await read_header(reader)
        except TimeoutError:
            if not connection.running:
                raise FrameError(f"idle for {IDLE_TIMEOUT_S} s") from None


async def _answer(
    connection: _Connection, handler: RequestHandler, frame: Frame, confirmed: asyncio.Event | None
) -> None:
    """Run the handler and send its answer, or an error if it fails.

    A request that its sender does not confirm in time gets no answer: the sender no longer waits
    for one.
    """
    if confirmed is not None and not await _wait_for_confirmation(confirmed):
        return
    try:
        payload = await handler(connection.source, frame.payload)
        if len(payload) > MAX_FRAME_BYTES:
            raise FrameError(f"answer: {len(payload)} bytes, at most {MAX_FRAME_BYTES}")
    except Exception as error:
        log_problem("peer request failed", {"peer": str(connection.source), "error": repr(error)})
        text = type(error).__name__.encode()[:MAX_ERROR_BYTES]
        _write(connection, Frame(FrameType.ERROR, frame.request_id, text))
        return
    _write(connection, Frame(FrameType.ANSWER, frame.request_id, payload))


async def _wait_for_confirmation(confirmed: asyncio.Event) -> bool:
    """Wait for the sender's confirmation; return whether it arrived in time."""
    try:
        async with asyncio.timeout(CONFIRMATION_TIMEOUT_S):
            await confirmed.wait()
    except TimeoutError:
        return False
    return True


def _report_progress(connection: _Connection, request_id: int) -> None:
    """Send a progress report now and periodically until the request ends."""
    if request_id not in connection.running:
        return
    _write(connection, Frame(FrameType.ACCEPTED, request_id))
    loop = asyncio.get_running_loop()
    loop.call_later(PROGRESS_INTERVAL_S, _report_progress, connection, request_id)


def _write(connection: _Connection, frame: Frame) -> None:
    """Write a frame; abort the connection of a peer that does not read its answers."""
    if connection.writer.is_closing():
        return
    if connection.writer.transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
        connection.writer.transport.abort()
        return
    connection.writer.write(encode_frame(frame))


def _remove_finished(
    connection: _Connection, request_id: int, request_bytes: int, task: asyncio.Task[None]
) -> None:
    """Remove a finished request."""
    connection.request_bytes -= request_bytes
    if connection.running.get(request_id) is task:
        del connection.running[request_id]
        connection.unconfirmed.pop(request_id, None)
