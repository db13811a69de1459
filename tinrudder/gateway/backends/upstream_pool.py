"""Connection pool for one server, limited to this gateway's share of the server's connections.

A call takes an idle connection, or waits until one becomes free while another is being opened. No
byte of a waiting call has been sent. Owns the connections; the pool's user sets the limits on
connections and on body bytes in flight.

Every open connection is idle, carries a call, or is being given one; otherwise it is closed. The
outcome of a call may start or end others here, so calls are ended in loops and never one inside the
other: thousands may wait.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Callable

from tinrudder.common.address import Address
from tinrudder.gateway.backends.upstream_connection import (
    CheckAnswer,
    UpstreamConnection,
    never_paused,
)
from tinrudder.gateway.clients.held_bytes import HeldBytes
from tinrudder.gateway.model.http_messages import (
    CallOutcome,
    NotSent,
    UpstreamCall,
    Withdrawn,
)

CONNECT_TIMEOUT_S = 0.4
"""Connect timeout, seconds: a hundred times the latency between zones, and less than the 1 s after
which TCP retransmits a lost SYN."""
MAX_UNREPEATABLE_IDLE_S = 0.15
"""Seconds without received bytes after which a connection carries no call that must not repeat.
Servers drop idle connections, some after 0.17 s, and a connection whose path is lost gives no sign
of it: the call would be lost with its connection, whereas a new connection costs a few
milliseconds."""
MAX_ENDED_AT_ONCE = 64
"""Number of waiting calls that are ended before the event loop gets its turn: each one may cost
the answer to a client."""


class UpstreamPool:
    """All connections to one address."""

    def __init__(
        self,
        address: Address,
        check: CheckAnswer,
        on_opened: Callable[[], None],
        memory: HeldBytes | None = None,
        was_paused: Callable[[float], bool] = never_paused,
    ) -> None:
        """Create an empty pool; ``on_opened`` is called for each connection opened.

        :param memory: counts bytes held for the server; ``None`` if nothing reads that count.
        :param was_paused: tells whether this process has been paused since a given time.
        """
        self.max_connections = 1
        self.max_body_bytes = math.inf
        self._memory = memory if memory is not None else HeldBytes()
        self._was_paused = was_paused
        self._body_bytes = 0
        self._calls_with_body: set[UpstreamCall] = set()
        self._is_filling_room = False
        self._waiting_for_room: deque[UpstreamCall] = deque()
        self._address = address
        self._check = check
        self._on_opened = on_opened
        self._loop = asyncio.get_running_loop()
        self._idle: list[UpstreamConnection] = []
        self._open: set[UpstreamConnection] = set()
        self._connect_tasks: set[asyncio.Task[None]] = set()
        self._waiting: deque[UpstreamCall] = deque()
        self._closed = False

    @property
    def connections(self) -> int:
        """The number of connections, including those being opened."""
        return len(self._open) + len(self._connect_tasks)

    def has_connection_older_than(self, moment: float) -> bool:
        """Whether a connection is open that was opened before ``moment``."""
        return any(
            connection.is_open and connection.opened_at < moment for connection in self._open
        )

    def start(self, call: UpstreamCall) -> None:
        """Send a call over an idle connection, or queue it.

        A large body first waits until the bodies in flight to the server leave room for it.
        """
        if call.body_bytes and not self._reserve_body_bytes(call):
            call.carrier = self
            self._waiting_for_room.append(call)
            return
        self._start(call)

    def _start(self, call: UpstreamCall) -> None:
        """Send a call over an idle connection, or queue it."""
        take = self._take_idle if call.repeatable else self._take_recently_active
        connection = take(call)
        if connection is not None:
            self._send_first(connection, call)
            return
        call.carrier = self
        self._waiting.append(call)
        if self._idle and self.connections >= self.max_connections:
            # None of the idle ones may carry this call, and there is no room for another.
            self._idle.pop(0).abort()
        self._open_missing()

    def cancel(self, call: UpstreamCall) -> None:
        """Cancel a call: dequeue it, or close its connection if it was sent."""
        carrier = call.carrier
        call.detach()
        if isinstance(carrier, UpstreamConnection):
            carrier.abort()
        self._release_body_bytes(call)

    def _reserve_body_bytes(self, call: UpstreamCall) -> bool:
        """Reserve room for a large body, if there is any; with no other body in flight there always
        is.
        """
        if self._calls_with_body and self._body_bytes + call.body_bytes > self.max_body_bytes:
            return False
        self._calls_with_body.add(call)
        self._body_bytes += call.body_bytes
        listener = call.listener

        def release_and_report(outcome: CallOutcome) -> None:
            self._release_body_bytes(call)
            listener(outcome)

        call.listener = release_and_report
        return True

    def _release_body_bytes(self, call: UpstreamCall) -> None:
        """Release the room of a body, and start calls that waited for it."""
        if call not in self._calls_with_body:
            return
        self._calls_with_body.remove(call)
        self._body_bytes -= call.body_bytes
        # A call that ends at once releases its room inside this loop, which then goes on.
        if self._is_filling_room:
            return
        self._is_filling_room = True
        try:
            while self._start_next_with_body():
                pass
        finally:
            self._is_filling_room = False

    def _start_next_with_body(self) -> bool:
        """Start or end the oldest call that waits for room; return whether there was room."""
        if not self._waiting_for_room:
            return False
        waiting = self._waiting_for_room[0]
        if not waiting.finished and not self._reserve_body_bytes(waiting):
            return False
        self._waiting_for_room.popleft()
        if waiting.deadline <= self._loop.time():
            waiting.finish(NotSent("no room for the body before the deadline"))
        elif not waiting.finished:
            self._start(waiting)
        return True

    def close(self) -> None:
        """Close idle connections now and each other connection when its call has ended."""
        self._closed = True
        self.close_idle()

    def close_idle(self) -> None:
        """Close idle connections; later calls open new ones."""
        for connection in tuple(self._idle):
            connection.abort()
        self._idle.clear()

    def trim(self) -> None:
        """Close idle connections that the server is about to close."""
        for connection in tuple(self._idle):
            if not connection.is_usable():
                self._idle.remove(connection)
                connection.abort()

    def _take_idle(self, call: UpstreamCall) -> UpstreamConnection | None:
        """Return a usable idle connection that may carry a call, the most recently used first."""
        for connection in tuple(reversed(self._idle)):
            if connection.is_usable() and not connection.may_carry(call):
                continue
            self._idle.remove(connection)
            if connection.is_usable():
                return connection
            connection.abort()
        return None

    def _take_recently_active(self, call: UpstreamCall) -> UpstreamConnection | None:
        """Return an idle connection that received bytes within :data:`MAX_UNREPEATABLE_IDLE_S`.

        If there is none, make room for a new one.
        """
        connection = self._take_idle(call)
        if connection is None:
            return None
        if self._loop.time() - connection.last_received_at <= MAX_UNREPEATABLE_IDLE_S:
            return connection
        if self.connections < self.max_connections:
            self._idle.append(connection)
        else:
            connection.abort()
        return None

    def _send_first(self, connection: UpstreamConnection, call: UpstreamCall) -> None:
        """Send a call on a connection that was idle, or give the connection to a waiting call."""
        try:
            is_sent = self._send(connection, call)
        except BaseException:
            connection.abort()
            raise
        if not is_sent:
            self._on_free(connection)

    def _send(self, connection: UpstreamConnection, call: UpstreamCall) -> bool:
        """Send a call on a free connection; end it if it was withdrawn, and return false."""
        if connection.send(call):
            return True
        call.finish(Withdrawn())
        return False

    def _on_free(self, connection: UpstreamConnection) -> None:
        """Assign a free connection to the oldest waiting call, or keep it idle.

        Whatever an outcome's listener raises, the connection is not left without a use.
        """
        try:
            for _ in range(MAX_ENDED_AT_ONCE):
                if not connection.is_usable():
                    connection.abort()
                    return
                call = self._next_waiting(connection)
                if call is None:
                    self._keep_idle(connection)
                    return
                if self._send(connection, call):
                    return
        except BaseException:
            connection.abort()
            raise
        self._loop.call_soon(self._on_free, connection)

    def _keep_idle(self, connection: UpstreamConnection) -> None:
        """Keep a connection that no waiting call may use, unless another one is needed more."""
        if self._closed or (self._waiting and self.connections >= self.max_connections):
            # Makes room for a connection that may carry the waiting calls.
            connection.abort()
        else:
            self._idle.append(connection)

    def _on_closed(self, connection: UpstreamConnection) -> None:
        """Remove a connection; waiting calls may open another in its place."""
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        self._open_missing()

    def _open_missing(self) -> None:
        """Open the connections that waiting calls need, up to the limit."""
        wanted = sum(1 for call in self._waiting if not call.finished)
        missing = wanted - len(self._connect_tasks)
        allowed = self.max_connections - self.connections
        for _ in range(min(missing, allowed)):
            task = self._loop.create_task(self._connect())
            self._connect_tasks.add(task)

    async def _connect(self) -> None:
        """Open one connection; on failure the oldest waiting call ends as not sent."""
        connection: UpstreamConnection | None = None
        failure: Exception | None = None
        try:
            connection = await self._open_connection()
        except (OSError, TimeoutError) as error:
            failure = error
        finally:
            self._remove_connect_task()
        if connection is None:
            detail = f"connect: {str(failure) or 'timed out'}"
            self._on_connect_failed(detail, refused=isinstance(failure, ConnectionRefusedError))
            return
        self._on_opened()
        if connection.is_usable():
            self._open.add(connection)
            self._on_free(connection)
        else:
            self._on_connect_failed("connect: closed at once")

    async def _open_connection(self) -> UpstreamConnection:
        """Connect within :data:`CONNECT_TIMEOUT_S`."""
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await self._loop.create_connection(
                self._new_connection, self._address.host, self._address.port
            )
        return connection

    def _new_connection(self) -> UpstreamConnection:
        """Create a connection's protocol object, which reports to this pool."""
        return UpstreamConnection(
            self._check, self._on_free, self._on_closed, self._memory, self._was_paused
        )

    def _remove_connect_task(self) -> None:
        """Remove the current task from those that are connecting."""
        task = asyncio.current_task()
        assert task is not None
        self._connect_tasks.discard(task)

    def _on_connect_failed(self, detail: str, *, refused: bool = False) -> None:
        """Fail the oldest waiting call, or all of them if no connection is open that could serve
        them.
        """
        failed = 1 if self._open else len(self._waiting)
        try:
            for _ in range(min(failed, len(self._waiting))):
                self._waiting.popleft().finish(NotSent(detail, refused))
        finally:
            # What is left, since an outcome's listener raised, still needs a connection.
            self._open_missing()

    def _next_waiting(self, connection: UpstreamConnection) -> UpstreamCall | None:
        """Dequeue the oldest call that a connection may carry, and calls past their deadline."""
        others: list[UpstreamCall] = []
        found: UpstreamCall | None = None
        try:
            while self._waiting and found is None:
                call = self._waiting.popleft()
                if call.finished:
                    continue
                if call.deadline <= self._loop.time():
                    call.finish(NotSent("no connection before the deadline"))
                elif connection.may_carry(call):
                    found = call
                else:
                    others.append(call)
        finally:
            self._waiting.extendleft(reversed(others))
        return found
