"""One HTTP/1.1 connection to a back end, with at most one call at a time.

Owns the connection's parser and read buffer, which are reused for every call: reading into a
preallocated buffer avoids asyncio's allocation of 256 KiB per read (docs/CALL_COST.md).
"""

from __future__ import annotations

import asyncio
from typing import Protocol

import httptools
import msgspec

from tinrudder.common.http_status import INTERIM_STATUSES
from tinrudder.node.backends.messages import BackendCall, BackendReply, Broken
from tinrudder.node.backends.reply_decoding import (
    REFUSAL_STATUSES,
    STATUS_OK,
    decode_answer,
    decode_refusal,
)
from tinrudder.node.environment import ReplyListener

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Bytes of the largest accepted answer; a larger one closes the connection."""
READ_BUFFER_BYTES = 16 * 1024
"""Bytes of a connection's read buffer, which replaces asyncio's allocation of 256 KiB per read
(docs/CALL_COST.md)."""
OK_STATUS_LINE_START = b"HTTP/1.1 200"
"""First bytes of a successful answer.  The raw bytes of all other answers are kept, since their
headers may be needed."""
REUSABLE_STATUSES = (STATUS_OK, *REFUSAL_STATUSES)
"""Statuses after which the connection may carry another call."""

_encoder = msgspec.json.Encoder()


class ConnectionOwner(Protocol):
    """The part of the pool that its connections use."""

    request_head: bytes

    def release_connection(self, connection: BackendConnection) -> None:
        """Return a connection to the pool that can carry another call."""

    def remove_connection(self, connection: BackendConnection) -> None:
        """Remove a closed connection from the pool."""


class BackendConnection(asyncio.BufferedProtocol):
    """Sends one call, reads its answer, then returns to the pool or closes."""

    def __init__(self, owner: ConnectionOwner) -> None:
        """Create a connection of the pool ``owner``."""
        self.idle_since = 0.0
        self._owner = owner
        self._transport: asyncio.Transport | None = None
        self._call: BackendCall | None = None
        self._listener: ReplyListener | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._buffer = bytearray(READ_BUFFER_BYTES)
        self._view = memoryview(self._buffer)
        self._received_bytes = 0
        self._raw_bytes = b""
        self._body: list[bytes] = []
        self._complete = False
        self._keep_alive = False
        self._has_excess_bytes = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def send(self, call: BackendCall, listener: ReplyListener) -> None:
        """Write one request and mark it as possibly sent."""
        assert self._transport is not None
        self._call = call
        self._listener = listener
        call.transport_state = self
        call.may_have_been_sent = True
        body = _encoder.encode(call.request)
        self._transport.write(b"%b%d\r\n\r\n%b" % (self._owner.request_head, len(body), body))

    def abort(self) -> None:
        """Close the connection at once and discard whatever still arrives on it."""
        self._call = None
        self._listener = None
        if self._transport is not None:
            self._transport.abort()

    def is_usable(self) -> bool:
        """Return whether another call may be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for asyncio to read into."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes read; end the call only after the parser has returned.

        Otherwise the listener could send the next call from inside the parser, and bytes after this
        answer would be parsed as the answer to that call.
        """
        if self._call is None:
            self.abort()
            return
        if self._received_bytes == 0 or self._raw_bytes:
            self._keep_raw_bytes(nbytes)
        self._received_bytes += nbytes
        try:
            self._parser.feed_data(self._view[:nbytes])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._end(Broken(f"unreadable answer: {error!r}"), reusable=False)
            return
        if self._complete:
            self._end_complete()
        elif self._received_bytes > MAX_ANSWER_BYTES:
            self._end(Broken("answer larger than MAX_ANSWER_BYTES"), reusable=False)

    def _keep_raw_bytes(self, nbytes: int) -> None:
        """Keep the raw bytes of an answer that does not start as a 200, for its headers."""
        if self._raw_bytes or not self._buffer.startswith(OK_STATUS_LINE_START):
            self._raw_bytes += bytes(self._view[:nbytes])

    def on_message_begin(self) -> None:
        """Detect bytes after a complete answer (called by the parser)."""
        self._has_excess_bytes = self._complete

    def on_body(self, body: bytes) -> None:
        """Collect the body (called by the parser)."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Record the end of the final answer (called by the parser, which drops its headers)."""
        if self._parser.get_status_code() in INTERIM_STATUSES:
            return
        self._complete = True
        self._keep_alive = self._parser.should_keep_alive()

    def connection_lost(self, exc: Exception | None) -> None:
        """End a call without a complete answer as :class:`Broken`: it may have run."""
        self._transport = None
        if self._call is not None:
            self._end(Broken(f"connection lost: {exc}"), reusable=False)
        self._owner.remove_connection(self)

    def _end_complete(self) -> None:
        """End the call with the complete answer."""
        assert self._call is not None
        status = self._parser.get_status_code()
        body = self._body[0] if len(self._body) == 1 else b"".join(self._body)
        if status == STATUS_OK:
            reply = decode_answer(self._call, body)
        else:
            reply = decode_refusal(status, body, self._raw_bytes)
        reusable = (
            not self._has_excess_bytes
            and status in REUSABLE_STATUSES
            and not isinstance(reply, Broken)
            and self._keep_alive
        )
        self._end(reply, reusable=reusable)

    def _end(self, reply: BackendReply, *, reusable: bool) -> None:
        """Return the connection to the pool or close it, then report the reply."""
        call, listener = self._call, self._listener
        assert call is not None and listener is not None
        call.transport_state = None
        if reusable:
            self._call = None
            self._listener = None
            self._received_bytes = 0
            self._raw_bytes = b""
            self._body.clear()
            self._complete = False
            self._owner.release_connection(self)
        else:
            self.abort()
        listener(call, reply)
