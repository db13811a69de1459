"""HTTP/1.1 to back ends: one pooled connection a call, parsed by httptools.

aiosonic costs four times a bare asyncio client per call (docs/CALL_COST.md), which the call
path cannot pay; httptools is the parser that uvicorn uses.  A cancelled call's connection is
closed, never returned to the pool, so no later call can read its answer.
"""

from __future__ import annotations

import asyncio
import ssl
from collections import deque
from typing import Protocol

import httptools
import msgspec

from tinrudder.backends.messages import (
    Answered,
    BackendCall,
    BackendReply,
    Broken,
    Draining,
    NotSent,
    SearchAnswer,
    Shed,
    VersionGone,
)
from tinrudder.environment import ReplyListener

MAX_ANSWER_BYTES = 16 * 1024 * 1024
SEARCH_PATH = "/v1/search"
STATUS_OK = 200
STATUS_GONE = 410
STATUS_UNAVAILABLE = 503
RETRY_AFTER_HEADER = b"retry-after"

_encoder = msgspec.json.Encoder()
_answer_decoder = msgspec.json.Decoder(SearchAnswer)


class Refusal(msgspec.Struct, frozen=True):
    """Body of a 503 or 410: why the back end did not start the call."""

    reason: str
    versions: tuple[int, ...] = ()


_refusal_decoder = msgspec.json.Decoder(Refusal)


class TlsContextSource(Protocol):
    """Gives the TLS context of the moment, so that keys rotate without a restart."""

    def backend_context(self) -> ssl.SSLContext | None:
        """Return the context for new connections."""


class _Connection(asyncio.Protocol):
    """One connection; carries at most one call at a time."""

    def __init__(self, pool: _Pool) -> None:
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._call: BackendCall | None = None
        self._listener: ReplyListener | None = None
        self._reset()

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._retry_after: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def send(self, call: BackendCall, listener: ReplyListener) -> None:
        """Write one request."""
        assert self._transport is not None
        self._call = call
        self._listener = listener
        body = _encoder.encode(call.request)
        head = self._pool.request_head + str(len(body)).encode() + b"\r\n\r\n"
        self._transport.write(head + body)

    def abort(self) -> None:
        """Drop the connection and whatever still arrives on it."""
        self._call = None
        self._listener = None
        if self._transport is not None:
            self._transport.abort()

    def is_usable(self) -> bool:
        """Tell whether another call may be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def data_received(self, data: bytes) -> None:
        if self._call is None:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._end(Broken(f"unreadable answer: {error}"), reusable=False)

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == RETRY_AFTER_HEADER:
            self._retry_after = _seconds(value)

    def on_body(self, body: bytes) -> None:
        self._body_bytes += len(body)
        if self._body_bytes > MAX_ANSWER_BYTES:
            self._end(Broken("answer larger than MAX_ANSWER_BYTES"), reusable=False)
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        if self._call is None:
            return
        status = self._parser.get_status_code()
        reply = _reply_of(self._call, status, b"".join(self._body), self._retry_after)
        self._end(reply, reusable=self._parser.should_keep_alive())

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        if self._call is not None:
            self._end(Broken(f"connection lost: {exc}"), reusable=False)
        self._pool.forget(self)

    def _end(self, reply: BackendReply, *, reusable: bool) -> None:
        call, listener = self._call, self._listener
        assert call is not None and listener is not None
        if reusable:
            self._call = None
            self._listener = None
            self._reset()
        else:
            self.abort()
        self._pool.call_ended(call, self if reusable else None)
        listener(call, reply)


class _Pool:
    """Connections to one back end."""

    def __init__(self, host: str, port: int, tls: ssl.SSLContext | None) -> None:
        self.request_head = (
            f"POST {SEARCH_PATH} HTTP/1.1\r\nHost: {host}:{port}\r\n"
            "Content-Type: application/json\r\nContent-Length: "
        ).encode()
        self._host = host
        self._port = port
        self._tls = tls
        self._idle: deque[_Connection] = deque()
        self._open: set[_Connection] = set()
        self._connecting: dict[int, asyncio.Task[None]] = {}
        self._active: dict[int, _Connection] = {}

    def start(self, call: BackendCall, listener: ReplyListener) -> None:
        """Use an idle connection or open one."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable():
                self._active[call.call_id] = connection
                connection.send(call, listener)
                return
        task = asyncio.get_running_loop().create_task(self._connect(call, listener))
        self._connecting[call.call_id] = task

    async def _connect(self, call: BackendCall, listener: ReplyListener) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout_at(call.deadline):
                _, connection = await loop.create_connection(
                    lambda: _Connection(self), self._host, self._port, ssl=self._tls
                )
        except (OSError, TimeoutError) as error:
            self._connecting.pop(call.call_id, None)
            listener(call, NotSent(f"connect: {error}"))
            return
        self._connecting.pop(call.call_id, None)
        self._open.add(connection)
        self._active[call.call_id] = connection
        connection.send(call, listener)

    def cancel(self, call: BackendCall) -> None:
        """Close the call's connection: that is how HTTP/1.1 cancels."""
        task = self._connecting.pop(call.call_id, None)
        if task is not None:
            task.cancel()
        connection = self._active.pop(call.call_id, None)
        if connection is not None:
            connection.abort()

    def call_ended(self, call: BackendCall, reusable: _Connection | None) -> None:
        """Take a connection back if it may carry another call."""
        self._active.pop(call.call_id, None)
        if reusable is not None:
            self._idle.append(reusable)

    def forget(self, connection: _Connection) -> None:
        """Drop a closed connection."""
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def close(self) -> None:
        """Close every connection."""
        for task in self._connecting.values():
            task.cancel()
        for connection in tuple(self._open):
            connection.abort()


class HttpBackendTransport:
    """The real :class:`tinrudder.environment.BackendTransport`."""

    def __init__(self, tls: TlsContextSource | None = None) -> None:
        """Use ``tls`` for back ends that ask for it."""
        self._tls = tls
        self._pools: dict[tuple[str, int], _Pool] = {}

    def start(self, call: BackendCall, listener: ReplyListener) -> None:
        """Send a call; see the interface."""
        key = (call.host, call.port)
        pool = self._pools.get(key)
        if pool is None:
            context = self._tls.backend_context() if self._tls and call.tls else None
            pool = _Pool(call.host, call.port, context)
            self._pools[key] = pool
        pool.start(call, listener)

    def cancel(self, call: BackendCall) -> None:
        """Cancel a call; see the interface."""
        pool = self._pools.get((call.host, call.port))
        if pool is not None:
            pool.cancel(call)

    async def close(self) -> None:
        """Close every connection."""
        for pool in self._pools.values():
            pool.close()


def _reply_of(
    call: BackendCall, status: int, body: bytes, retry_after: float | None
) -> BackendReply:
    """Turn an HTTP answer into its tag."""
    try:
        if status == STATUS_OK:
            answer = _answer_decoder.decode(body)
            if answer.call_id != call.call_id:
                return Broken("answer to another call")
            return Answered(answer)
        if status in (STATUS_GONE, STATUS_UNAVAILABLE):
            refusal = _refusal_decoder.decode(body)
            if status == STATUS_GONE:
                return VersionGone(refusal.versions)
            return Draining() if refusal.reason == "draining" else Shed(retry_after)
    except msgspec.MsgspecError as error:
        return Broken(f"unreadable answer: {error}")
    return Broken(f"status {status}")


def _seconds(value: bytes) -> float | None:
    """Read a Retry-After header given in seconds."""
    try:
        return float(value)
    except ValueError:
        return None
