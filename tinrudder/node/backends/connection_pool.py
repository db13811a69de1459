"""A pool of connections to one back end, limited to this node's share.

Owns the open connections and the queue of waiting calls.  A call takes an idle connection, or waits
until one is free while another is opened.  No byte of a waiting call has been sent.
"""

from __future__ import annotations

import asyncio
import ssl
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from tinrudder.node.backends.connection import BackendConnection
from tinrudder.node.backends.messages import BackendCall, NotSent
from tinrudder.node.environment import ReplyListener

SEARCH_PATH = "/v1/search"
CONNECT_TIMEOUT_S = 1.0
"""Seconds for a connection to open, TLS included: a thousand times the latency between zones."""
IDLE_TIMEOUT_S = 30.0
"""Seconds after which an idle connection is closed, since back ends limit their connections."""
CLOSED_DETAIL = "the transport is closed"
PERMISSION_ENDED_DETAIL = "the permission to send has ended"

ContextSource = Callable[[], ssl.SSLContext | None]


@dataclass(slots=True, eq=False)
class WaitingCall:
    """A call that waits for a connection; a cancelled one is skipped when it is dequeued."""

    call: BackendCall
    listener: ReplyListener
    cancelled: bool = False


class ConnectionPool:
    """All connections to one address."""

    def __init__(self, host: str, port: int, context: ContextSource) -> None:
        """Open connections to ``host:port``; ``context`` is called for each new connection."""
        self.request_head = (
            f"POST {SEARCH_PATH} HTTP/1.1\r\nHost: {host}:{port}\r\n"
            "Content-Type: application/json\r\nContent-Length: "
        ).encode()
        self._host = host
        self._port = port
        self._context = context
        self._idle: deque[BackendConnection] = deque()
        self._open: set[BackendConnection] = set()
        self._connecting: set[asyncio.Task[None]] = set()
        self._waiting: deque[WaitingCall] = deque()
        self._max_connections = 1
        self._loop = asyncio.get_running_loop()

    @property
    def connections(self) -> int:
        """Return the number of connections, including those being opened."""
        return len(self._open) + len(self._connecting)

    @property
    def is_unused(self) -> bool:
        """Return whether the pool has no connection and no waiting call."""
        return not self._open and not self._connecting and not self._waiting

    def start(self, call: BackendCall, listener: ReplyListener) -> None:
        """Send a call over an idle connection, or queue it until one is available."""
        idle = self._idle
        while idle:
            connection = idle.pop()
            if connection.is_usable():
                connection.send(call, listener)
                return
        call.may_have_been_sent = False
        waiting = WaitingCall(call, listener)
        call.transport_state = waiting
        self._waiting.append(waiting)
        self._max_connections = call.max_connections
        self._open_missing()

    def cancel(self, call: BackendCall) -> None:
        """Cancel a call: skip it if it is waiting, close its connection if it was sent.

        HTTP/1.1 has no other way to cancel, and closing ensures that no later call gets the answer.
        """
        transport_state = call.transport_state
        call.transport_state = None
        if isinstance(transport_state, WaitingCall):
            transport_state.cancelled = True
        elif isinstance(transport_state, BackendConnection):
            transport_state.abort()

    def release_connection(self, connection: BackendConnection) -> None:
        """Give a free connection to the oldest waiting call, or keep it as idle."""
        waiting = self._next_waiting() if self._waiting else None
        if waiting is not None:
            connection.send(waiting.call, waiting.listener)
            return
        connection.idle_since = self._loop.time()
        self._idle.append(connection)

    def remove_connection(self, connection: BackendConnection) -> None:
        """Remove a closed connection; open another if calls are waiting."""
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        self._open_missing()

    def trim(self) -> None:
        """Close connections idle for more than ``IDLE_TIMEOUT_S``; the longest idle come first."""
        oldest_allowed = self._loop.time() - IDLE_TIMEOUT_S
        while self._idle and self._idle[0].idle_since < oldest_allowed:
            self._idle.popleft().abort()

    def close(self) -> None:
        """Close every connection; report waiting calls as not sent."""
        for task in self._connecting:
            task.cancel()
        for connection in tuple(self._open):
            connection.abort()
        while (waiting := self._next_waiting()) is not None:
            self._report_not_sent(waiting, CLOSED_DETAIL)

    def _open_missing(self) -> None:
        """Open connections for waiting calls, up to the limit."""
        missing = len(self._waiting) - len(self._connecting)
        allowed = self._max_connections - self.connections
        for _ in range(min(missing, allowed)):
            task = self._loop.create_task(self._connect())
            self._connecting.add(task)
            task.add_done_callback(self._connecting.discard)

    async def _connect(self) -> None:
        """Open one connection; if that fails, report the oldest waiting call as not sent."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await self._loop.create_connection(
                    lambda: BackendConnection(self), self._host, self._port, ssl=self._context()
                )
        except (OSError, TimeoutError) as error:
            waiting = self._next_waiting()
            if waiting is not None:
                self._report_not_sent(waiting, f"connect: {error}")
            return
        self._open.add(connection)
        if connection.is_usable():
            self.release_connection(connection)

    def _next_waiting(self) -> WaitingCall | None:
        """Dequeue the oldest waiting call that may still be sent; report expired ones."""
        now = self._loop.time()
        while self._waiting:
            waiting = self._waiting.popleft()
            if waiting.cancelled:
                continue
            if waiting.call.deadline <= now:
                self._report_not_sent(waiting, "no connection before the deadline")
                continue
            if waiting.call.may_still_send is not None and not waiting.call.may_still_send():
                self._report_not_sent(waiting, PERMISSION_ENDED_DETAIL)
                continue
            return waiting
        return None

    def _report_not_sent(self, waiting: WaitingCall, detail: str) -> None:
        """Report a call as not sent, in the next iteration of the event loop."""
        waiting.cancelled = True
        waiting.call.transport_state = None
        self._loop.call_soon(waiting.listener, waiting.call, NotSent(detail))
