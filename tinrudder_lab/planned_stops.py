"""What clients do while one gateway stops as planned, and which of their requests were answered.

A scenario runs on any emulated site: in virtual time or with gateways as processes.  A request
counts as unanswered if the gateway read it whole and its connection ended without an answer.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from tinrudder.gateway.model.http_messages import HttpAnswer, header_value
from tinrudder_lab.emulator.client import PlannedRequest
from tinrudder_lab.emulator.http_server import ServedRequest
from tinrudder_lab.emulator.records import ClientResult, SentRequest
from tinrudder_lab.emulator.site import (
    CLIENT_PORT,
    GRACE_S,
    SITE_HOST,
    EmulatedNode,
    EmulatedSite,
    single_route,
)

DEADLINE_MS = 9000
OBJECTIVE_MS = 5000
PATIENCE_S = 60.0
"""Seconds that a client waits, also for a request whose body it sends late."""
REPEATABLE, UNREPEATABLE = "long", "long-once"
ROUTES = (REPEATABLE, UNREPEATABLE)
CONNECT_S = 0.1
"""Seconds before the signal in which clients connect."""
TRANSIT_S = 0.2
"""Seconds after its last byte was sent in which a request may still be unread."""
BODY = b"0123456789"
WORKS_S = (0.1, 1.0, 2.5, 4.0)
CONNECTIONS_PER_ROUTE = 14
NEW_CONNECTION_INTERVAL_S = 0.2
NO_STATUS = 0
NO_ANSWER = HttpAnswer(NO_STATUS, b"", (), b"")


def long_routes() -> list[dict[str, Any]]:
    """Return two routes whose requests say how long they take, one of them unrepeatable."""
    times = {"timeout_ms": DEADLINE_MS, "goal_ms": OBJECTIVE_MS}
    return [
        single_route(REPEATABLE, "safe") | times,
        single_route(UNREPEATABLE, "unsafe") | times,
    ]


def stated_work_s(request: ServedRequest) -> float | None:
    """Return the working time that a request on one of the long routes states, seconds."""
    _, route, stated, *_ = (*request.target.split("/"), "", "", "")
    return float(stated) if route in ROUTES else None


@dataclass
class Exchange:
    """One request of a client and its answer.

    :param read_from: time at which its last byte was sent; ``None``: it never was.
    :param status: 0 without a complete answer.
    """

    request: PlannedRequest
    read_from: float | None = None
    ended_at: float = 0.0
    status: int = NO_STATUS


@dataclass
class StopResult:
    """The requests of one scenario, and the time of the signal."""

    signalled_at: float
    exchanges: list[Exchange] = field(default_factory=list)

    def sent_whole(self) -> list[Exchange]:
        """Return the requests that were in progress at the signal or sent after it."""
        return [
            one
            for one in self.exchanges
            if one.read_from is not None and one.ended_at >= self.signalled_at
        ]

    def unanswered(self, ran: set[str]) -> list[Exchange]:
        """Return the requests that were read whole and got no complete answer.

        :param ran: ids of the requests that back ends received.
        """
        return [
            one
            for one in self.sent_whole()
            if one.status == NO_STATUS
            and (one.request.request_id in ran or one.ended_at - (one.read_from or 0.0) > TRANSIT_S)
        ]

    def served(self) -> int:
        """Return how many requests were answered 200."""
        return sum(1 for one in self.sent_whole() if one.status == 200)


def plan(site: EmulatedSite, route: str, work_s: float, body: bytes = b"") -> PlannedRequest:
    """Return a request that takes a back end ``work_s`` seconds."""
    request = site.request(
        "single" if route == REPEATABLE else "once", deadline_ms=DEADLINE_MS, body=body
    )
    method = "POST" if body else "GET"
    serial = request.request_id.rpartition("-")[2]
    target = f"/{route}/{work_s}/{serial}"
    return PlannedRequest(
        request.request_id,
        target,
        SITE_HOST,
        DEADLINE_MS,
        request.services,
        method,
        body,
        repeatable=request.repeatable,
        key=request.key,
    )


class KeptConnection:
    """A connection of a client to one gateway, on which requests follow one another."""

    def __init__(self, site: EmulatedSite, node: EmulatedNode) -> None:
        """Connect with :meth:`open`."""
        self._loop = site.loop
        self._ledger = site.ledger
        self._address = (node.host, CLIENT_PORT)
        self.closed = False

    async def open(self) -> None:
        """Connect.

        :raises OSError: the gateway does not listen.
        """
        self._stream, self._writer = await asyncio.open_connection(*self._address)

    def send(self, exchange: Exchange, data: bytes) -> None:
        """Send the last bytes of a request."""
        self._writer.write(data)
        now = exchange.read_from = self._loop.time()
        request = exchange.request
        self._ledger.sent[request.request_id] = SentRequest(request.key, now, self._address[0])

    def send_partly(self, data: bytes) -> None:
        """Send some bytes of a request that is not complete yet."""
        self._writer.write(data)

    async def receive(self, exchange: Exchange) -> None:
        """Wait for the answer or the end of the connection."""
        answer = NO_ANSWER
        with contextlib.suppress(asyncio.IncompleteReadError, OSError, TimeoutError):
            async with asyncio.timeout(PATIENCE_S):
                answer = await self._read_answer()
        exchange.ended_at = self._loop.time()
        exchange.status = answer.status
        self.closed |= not answer.status or header_value(answer.headers, b"connection") == b"close"
        self._record(exchange, answer)

    async def _read_answer(self) -> HttpAnswer:
        """Read one answer; others may follow it on the connection.

        :raises asyncio.IncompleteReadError: the connection has ended before the answer was whole.
        """
        head = await self._stream.readuntil(b"\r\n\r\n")
        status_line, *lines = head.removesuffix(b"\r\n\r\n").split(b"\r\n")
        named = (line.partition(b": ") for line in lines)
        headers = tuple((name.lower(), value) for name, _, value in named)
        body = await self._stream.readexactly(int(header_value(headers, b"content-length") or 0))
        return HttpAnswer(int(status_line.split()[1]), b"", headers, body)

    def _record(self, exchange: Exchange, answer: HttpAnswer) -> None:
        """Record the result for the checks of the site."""
        request = exchange.request
        result = ClientResult(
            request_id=request.request_id,
            target=request.target,
            sent_at=exchange.read_from or exchange.ended_at,
            ended_at=exchange.ended_at,
            status=exchange.status,
            headers={name.decode(): value.decode() for name, value in answer.headers},
            body=answer.body,
            repeatable=request.repeatable,
            services=request.services,
            patience_s=PATIENCE_S,
        )
        self._ledger.results.append(result)

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


@dataclass
class PlannedStop:
    """One scenario on a site: a gateway is signalled while clients use it.

    :param signal: requests the planned stop of ``node``.
    """

    site: EmulatedSite
    node: EmulatedNode
    signal: Callable[[], None]
    result: StopResult = field(default_factory=lambda: StopResult(0.0))

    async def warm_up(self, works_s: tuple[float, ...]) -> None:
        """Let the gateway learn how long requests take."""
        for _ in range(6):
            await asyncio.gather(
                *(self.send_once(route, work) for route in ROUTES for work in works_s)
            )

    def stop(self) -> None:
        """Signal the gateway."""
        self.result.signalled_at = self.site.loop.time()
        self.signal()

    async def send_once(self, route: str, work_s: float) -> None:
        """Send one request over a new connection, if the gateway still accepts one."""
        connection = KeptConnection(self.site, self.node)
        exchange = Exchange(plan(self.site, route, work_s))
        try:
            await connection.open()
        except OSError:
            return
        self.result.exchanges.append(exchange)
        connection.send(exchange, exchange.request.encode())
        await connection.receive(exchange)
        connection.close()

    async def _late_body(self, route: str, work_s: float, after_s: float) -> None:
        """Send the last byte of a body some time after the signal."""
        connection = KeptConnection(self.site, self.node)
        await connection.open()
        exchange = Exchange(plan(self.site, route, work_s, BODY))
        data = exchange.request.encode()
        connection.send_partly(data[:-1])
        self.result.exchanges.append(exchange)
        waiting = asyncio.ensure_future(connection.receive(exchange))
        await asyncio.sleep(after_s)
        if not waiting.done():
            connection.send(exchange, data[-1:])
        await waiting
        connection.close()

    async def late_bodies(self, after_s: tuple[float, ...]) -> None:
        """Send the last bytes of request bodies at moments of the grace period."""
        await self.warm_up(WORKS_S)
        late = [
            asyncio.ensure_future(self._late_body(route, work, CONNECT_S + after))
            for route in ROUTES
            for work in WORKS_S
            for after in after_s
        ]
        await asyncio.sleep(CONNECT_S)
        self.stop()
        await asyncio.gather(*late)

    async def _keep_asking(self, route: str, work_s: float) -> None:
        """Send one request after the other until the connection ends."""
        connection = KeptConnection(self.site, self.node)
        await connection.open()
        while not connection.closed:
            exchange = Exchange(plan(self.site, route, work_s))
            self.result.exchanges.append(exchange)
            connection.send(exchange, exchange.request.encode())
            await connection.receive(exchange)
            if exchange.status not in (NO_STATUS, 200):
                await asyncio.sleep(0.1)
        connection.close()

    async def kept_connections(self, work_s: float, per_route: int, before_s: float) -> None:
        """Keep connections busy until the gateway ends them."""
        await self.warm_up((work_s,))
        asking = [
            asyncio.ensure_future(self._keep_asking(route, work_s))
            for route in ROUTES
            for _ in range(per_route)
        ]
        await asyncio.sleep(before_s)
        self.stop()
        await asyncio.gather(*asking)

    async def new_connections(self, work_s: float) -> None:
        """Open connections for single requests while the gateway listens."""
        await self.warm_up((work_s,))
        self.stop()
        sending = []
        while self.site.loop.time() < self.result.signalled_at + GRACE_S:
            for route in ROUTES:
                sending.append(asyncio.ensure_future(self.send_once(route, work_s)))
            await asyncio.sleep(NEW_CONNECTION_INTERVAL_S)
        await asyncio.gather(*sending)

    async def pipelined(self, work_s: float, connections: int) -> None:
        """Send a second request behind one that is in progress."""

        async def pipeline() -> None:
            connection = KeptConnection(self.site, self.node)
            await connection.open()
            exchanges = [Exchange(plan(self.site, REPEATABLE, work_s)) for _ in range(2)]
            for exchange in exchanges:
                connection.send(exchange, exchange.request.encode())
            self.result.exchanges.extend(exchanges)
            for exchange in exchanges:
                await connection.receive(exchange)
            connection.close()

        await self.warm_up((work_s,))
        sending = [asyncio.ensure_future(pipeline()) for _ in range(connections)]
        await asyncio.sleep(0.2)
        self.stop()
        await asyncio.gather(*sending)
