"""One HTTP/1.1 connection to a server, with at most one call at a time.

Owns the socket and the outcome of the call on it. The outcome of a failed call states whether the
server may have received any of it, which determines whether the call may be retried.
"""

from __future__ import annotations

import asyncio
import re
import socket
from collections.abc import Callable

from tinrudder.gateway.backends.answer_reader import AnswerReader, ReadState
from tinrudder.gateway.clients.held_bytes import HeldBytes
from tinrudder.gateway.model.http_messages import (
    Answered,
    Broken,
    CallOutcome,
    HttpAnswer,
    Rejected,
    UpstreamCall,
    header_value,
)

USER_TIMEOUT_MS = 4000
"""``TCP_USER_TIMEOUT``, ms: the kernel closes a connection after this time without an
acknowledgement. It equals the time for which the platform's rules still count a machine that is cut
off as connected."""
KEEP_ALIVE_MARGIN_S = 0.5
"""How long before the server's keep-alive timeout an idle connection is no longer used, seconds.
The server counts in whole seconds and from a different moment."""
MAX_UNSETTLED_REQUESTS = 64
"""Requests that may be sent again, for which one connection may be kept: bounds the ids stored."""
FIRST_SERVER_ERROR = 500
"""First of the statuses after which a request may be sent again."""
NEVER = float("inf")
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")


def never_paused(since: float) -> bool:
    """Default for ``was_paused``: assume that this process was never paused."""
    return False


CheckAnswer = Callable[[UpstreamCall, HttpAnswer], CallOutcome]


class UpstreamConnection(asyncio.Protocol):
    """Sends a call, reads its answer, and decides whether the connection may be reused.

    :ivar opened_at: when it was opened.
    :ivar last_received_at: when the last bytes arrived, initially when it was opened.

    Bytes that arrive while no call is in progress close the connection, since they belong to no
    request. Answers are read as they arrive, however slowly the client reads them.

    An answer belongs to a call if it arrives while the call is in progress and carries the id of
    its request. A request that was rejected here is therefore never sent here again: a surplus
    copy of the rejection would be taken for the answer to the second call, which may be running.
    """

    def __init__(
        self,
        check: CheckAnswer,
        on_free: Callable[[UpstreamConnection], None],
        on_closed: Callable[[UpstreamConnection], None],
        memory: HeldBytes,
        was_paused: Callable[[float], bool] = never_paused,
    ) -> None:
        """Validate complete answers with ``check``; report to the pool by ``on_free`` and
        ``on_closed``.

        :param was_paused: tells whether this process has been paused since a given time.
        """
        self.usable_until = NEVER
        self._memory = memory
        self._was_paused = was_paused
        self._unsent_bytes = 0
        self._counted_answer_bytes = 0
        self._check = check
        self._on_free = on_free
        self._on_closed = on_closed
        self._loop = asyncio.get_running_loop()
        self.opened_at = self._loop.time()
        self.last_received_at = self.opened_at
        self._transport: asyncio.Transport | None = None
        self._call: UpstreamCall | None = None
        self._reader: AnswerReader | None = None
        # Ids of requests that were not served here, and so may be sent again.
        self._unsettled: set[bytes] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, and let the kernel time out a silent peer."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        # At 0 the transport reports every byte that the socket does not accept immediately.
        transport.set_write_buffer_limits(high=0)
        tcp_socket = transport.get_extra_info("socket")
        if tcp_socket is not None:
            tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    @property
    def is_open(self) -> bool:
        """Whether neither side has closed the connection, as far as is known."""
        return self._transport is not None and not self._transport.is_closing()

    def is_usable(self) -> bool:
        """Whether another call may be sent."""
        return self.is_open and self._call is None and self._loop.time() < self.usable_until

    def may_carry(self, call: UpstreamCall) -> bool:
        """Whether an answer could not be mistaken for that to an earlier call of this request."""
        return call.request_id not in self._unsettled

    def send(self, call: UpstreamCall) -> bool:
        """Write one call; return false if it was withdrawn and nothing was written."""
        assert self._transport is not None
        data = call.make_bytes()
        if data is None:
            return False
        self._call = call
        self._reader = AnswerReader(body_expected=call.body_expected)
        call.carrier = self
        call.sent_at = self._loop.time()
        self._transport.write(data)
        return True

    def abort(self) -> None:
        """Close the connection and discard anything that still arrives on it."""
        self._call = None
        self._close_reader()
        if self._transport is not None:
            self._transport.abort()

    def pause_writing(self) -> None:
        """Count the request bytes that the back end has not accepted."""
        assert self._transport is not None
        self._set_unsent_bytes(self._transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        """Reset that count: the socket has accepted everything."""
        self._set_unsent_bytes(0)

    def data_received(self, data: bytes) -> None:
        """Parse the answer of the call in progress."""
        reader = self._reader
        if self._call is None or reader is None:
            self.abort()
            return
        self.last_received_at = self._loop.time()
        state = reader.feed(data)
        if state is ReadState.READING:
            self._set_answer_bytes(reader.body_bytes)
            if reader.body_bytes > self._memory.largest_answer:
                self._end(Broken("answer larger than the memory left for it"), reusable=False)
        elif state is ReadState.COMPLETE:
            self._end_with_answer(reader)
        elif state is ReadState.UNREADABLE:
            self._end(Broken(reader.detail), reusable=False)

    def eof_received(self) -> bool:
        """Handle an orderly close by the peer; the transport then closes itself."""
        reader = self._reader
        if self._call is not None and reader is not None:
            if reader.end_of_stream() is ReadState.COMPLETE:
                self._end_with_answer(reader)
            else:
                self._end(self._outcome_of_close(reader.detail, None), reusable=False)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the call in progress: it may have run, since its complete answer did not arrive."""
        self._transport = None
        try:
            if self._call is not None:
                self._end(self._outcome_of_close(f"connection lost: {exc}", exc), reusable=False)
        finally:
            self._set_unsent_bytes(0)
            self._set_answer_bytes(0)
            self._on_closed(self)

    def _outcome_of_close(self, detail: str, exc: Exception | None) -> Broken:
        """Return the outcome of a call whose connection was closed before the answer was complete.

        ``unanswered`` marks the request as a possible cause of a back-end crash. It is not set if
        the kernel timed out, where the network path failed, nor if the back end had not been sent
        the whole request or had begun to answer. If this process was paused meanwhile, the outcome
        says nothing about the back end or the request: the back end may have closed the connection
        over bytes left unread.
        """
        assert self._call is not None and self._call.sent_at is not None
        if self._was_paused(self._call.sent_at):
            return Broken(detail, stood_still=True)
        begun = self._reader is not None and self._reader.begun
        unanswered = not begun and not self._unsent_bytes and not isinstance(exc, TimeoutError)
        return Broken(detail, unanswered)

    def _close_reader(self) -> None:
        """Release the answer that was being read."""
        reader, self._reader = self._reader, None
        if reader is not None:
            reader.close()
        if self._counted_answer_bytes:
            self._set_answer_bytes(0)

    def _set_unsent_bytes(self, size: int) -> None:
        """Count the request bytes that the socket has not accepted."""
        self._memory.backends += size - self._unsent_bytes
        self._unsent_bytes = size

    def _set_answer_bytes(self, size: int) -> None:
        """Count the bytes of a partly received answer."""
        growth = size - self._counted_answer_bytes
        self._memory.answers += growth
        self._memory.backends += growth
        self._counted_answer_bytes = size

    def _end_with_answer(self, reader: AnswerReader) -> None:
        """End the call with a complete answer."""
        call = self._call
        assert call is not None and self._transport is not None
        answer = reader.answer
        outcome = self._check(call, answer)
        reusable = (
            reader.reusable
            and not isinstance(outcome, Broken)
            and self._transport.get_write_buffer_size() == 0
        )
        if reusable:
            self._note_keep_alive(answer)
            if isinstance(outcome, Rejected) or answer.status >= FIRST_SERVER_ERROR:
                self._unsettled.add(call.request_id)
        self._end(outcome, reusable=reusable and len(self._unsettled) <= MAX_UNSETTLED_REQUESTS)

    def _note_keep_alive(self, answer: HttpAnswer) -> None:
        """Read from an answer how long the server keeps an idle connection open."""
        value = header_value(answer.headers, b"keep-alive")
        match = _KEEP_ALIVE_TIMEOUT.search(value) if value else None
        if match is None:
            self.usable_until = NEVER
        else:
            self.usable_until = self._loop.time() + int(match[1]) - KEEP_ALIVE_MARGIN_S

    def _end(self, outcome: CallOutcome, *, reusable: bool) -> None:
        """Finish the call; free the connection if it is reusable, else close it."""
        call = self._call
        assert call is not None
        self._call = None
        self._close_reader()
        if not reusable:
            self.abort()
        try:
            call.finish(outcome)
        finally:
            # The pool counts the connection until it is idle, carries a call, or is closed.
            if reusable:
                self._on_free(self)


def accept_any_answer(call: UpstreamCall, answer: HttpAnswer) -> CallOutcome:
    """Accept every complete answer, for servers that do not echo the request id."""
    return Answered(answer)
