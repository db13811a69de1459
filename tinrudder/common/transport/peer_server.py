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
UNCONFIRMED_S = 1.0
"""Time that a request waits for its sender's confirmation, seconds. A sender confirms at once; one
that has turned to another gateway never does."""


class _Accepted(Struct, eq=False):
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
        self._accepted: set[_Accepted] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends, then cancel its running requests."""
        host, port = writer.get_extra_info("peername")[:2]
        accepted = _Accepted(PeerAddress(host, port), writer)
        self._accepted.add(accepted)
        try:
            while True:
                header = await _next_header(reader, accepted)
                self._on_frame(accepted, await read_payload(reader, header))
        except (OSError, EOFError):
            pass
        except FrameError as error:
            log_problem("peer connection closed", {"peer": str(accepted.source), "why": str(error)})
        finally:
            self._accepted.discard(accepted)
            for task in tuple(accepted.running.values()):
                task.cancel()
            writer.close()

    @property
    def held_bytes(self) -> int:
        """Return the bytes of running requests and of frames in write buffers."""
        at_work = sum(accepted.request_bytes for accepted in self._accepted)
        return at_work + sum(
            accepted.writer.transport.get_write_buffer_size() for accepted in self._accepted
        )

    async def close(self) -> None:
        """Close every connection after its answers have been flushed."""
        writers = [accepted.writer for accepted in self._accepted]
        for writer in writers:
            writer.close()
        closing = [writer.wait_closed() for writer in writers]
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await asyncio.gather(*closing, return_exceptions=True)
        except TimeoutError:
            for writer in writers:
                writer.transport.abort()

    def _on_frame(self, accepted: _Accepted, frame: Frame) -> None:
        """Start, confirm or cancel a request.

        An acknowledged request starts only when its sender has confirmed it. A process that was
        paused may read a request, and may be running others, long after the sender has turned to
        another peer; such a request must not start.
        """
        match frame.frame_type:
            case FrameType.REQUEST:
                self._start(accepted, frame, None)
            case FrameType.ACKNOWLEDGED_REQUEST:
                self._start(accepted, frame, asyncio.Event())
                _report_progress(accepted, frame.request_id)
            case FrameType.TRACKED_REQUEST:
                self._start(accepted, frame, None)
                _report_progress(accepted, frame.request_id)
            case FrameType.CONFIRMED:
                awaited = accepted.unconfirmed.pop(frame.request_id, None)
                if awaited is not None:
                    awaited.set()
            case FrameType.CANCEL:
                task = accepted.running.get(frame.request_id)
                if task is not None:
                    task.cancel()
            case _:
                raise FrameError(f"frame type: {frame.frame_type.name} is not valid from a client")

    def _start(self, accepted: _Accepted, frame: Frame, confirmed: asyncio.Event | None) -> None:
        """Run the handler in a new task, within the connection's limits."""
        handler = self._handler()
        if handler is None or len(accepted.running) >= MAX_REQUESTS_IN_FLIGHT:
            _write(accepted, Frame(FrameType.REFUSED, frame.request_id, b"too many requests"))
            return
        task = asyncio.create_task(_answer(accepted, handler, frame, confirmed))
        accepted.running[frame.request_id] = task
        accepted.request_bytes += len(frame.payload)
        if confirmed is not None:
            accepted.unconfirmed[frame.request_id] = confirmed
        task.add_done_callback(partial(_forget, accepted, frame.request_id, len(frame.payload)))


async def _next_header(reader: asyncio.StreamReader, accepted: _Accepted) -> FrameHeader:
    """Read the next frame header; close a connection that stays idle without running requests."""
    while True:
        try:
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                return await read_header(reader)
        except TimeoutError:
            if not accepted.running:
                raise FrameError(f"idle for {IDLE_TIMEOUT_S} s") from None


async def _answer(
    accepted: _Accepted, handler: RequestHandler, frame: Frame, confirmed: asyncio.Event | None
) -> None:
    """Run the handler and send its answer, or an error if it fails.

    A request that its sender does not confirm in time gets no answer: the sender no longer waits
    for one.
    """
    if confirmed is not None and not await _is_confirmed(confirmed):
        return
    try:
        payload = await handler(accepted.source, frame.payload)
        if len(payload) > MAX_FRAME_BYTES:
            raise FrameError(f"answer: {len(payload)} bytes, at most {MAX_FRAME_BYTES}")
    except Exception as error:
        log_problem("peer request failed", {"peer": str(accepted.source), "error": repr(error)})
        text = type(error).__name__.encode()[:MAX_ERROR_BYTES]
        _write(accepted, Frame(FrameType.ERROR, frame.request_id, text))
        return
    _write(accepted, Frame(FrameType.ANSWER, frame.request_id, payload))


async def _is_confirmed(confirmed: asyncio.Event) -> bool:
    """Wait for the sender's confirmation; return whether it arrived in time."""
    try:
        async with asyncio.timeout(UNCONFIRMED_S):
            await confirmed.wait()
    except TimeoutError:
        return False
    return True


def _report_progress(accepted: _Accepted, request_id: int) -> None:
    """Send a progress report now and periodically until the request ends."""
    if request_id not in accepted.running:
        return
    _write(accepted, Frame(FrameType.ACCEPTED, request_id))
    loop = asyncio.get_running_loop()
    loop.call_later(PROGRESS_INTERVAL_S, _report_progress, accepted, request_id)


def _write(accepted: _Accepted, frame: Frame) -> None:
    """Write a frame; abort the connection of a peer that does not read its answers."""
    if accepted.writer.is_closing():
        return
    if accepted.writer.transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
        accepted.writer.transport.abort()
        return
    accepted.writer.write(encode_frame(frame))


def _forget(
    accepted: _Accepted, request_id: int, request_bytes: int, task: asyncio.Task[None]
) -> None:
    """Remove a finished request."""
    accepted.request_bytes -= request_bytes
    if accepted.running.get(request_id) is task:
        del accepted.running[request_id]
        accepted.unconfirmed.pop(request_id, None)
