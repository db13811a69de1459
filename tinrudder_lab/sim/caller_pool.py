"""Simulated callers: open-loop arrivals that page, retry, disconnect and resubmit."""

from __future__ import annotations

import asyncio

import msgspec

from tinrudder_lab.history import DISCONNECTED, LOST, QueryEnded, QuerySent
from tinrudder_lab.sim.callers import HttpExchange, read_outcome
from tinrudder_lab.sim.node_host import EPOCH_S, NodeHost
from tinrudder_lab.sim.world import World
from tinrudder_lab.topology import CALLER_TIMEOUT_S, PAGE_LIMIT, Arrival

CALLER_DELAY_S = {"montevideo": 0.001, "swiss-middle": 0.003}
RETRY_PAUSE_S = 0.05
PAGE_READING_S = 0.3
QUERY_PATH = "/v1/query"
OPERATION_PATH = "/v1/operations"
OPERATION = "purchase"
VALIDITY_S = 3.0
MAX_SUBMISSIONS = 4
RESUBMIT_PAUSE_S = 0.4
SETTLED = frozenset({"complete", "failed"})


class CallerPool:
    """All callers of one run."""

    def __init__(self, world: World) -> None:
        """Send requests to the nodes of ``world`` and record them in its history."""
        self._world = world
        self._history = world.history
        self._queries = 0

    def start_caller(self, arrival: Arrival) -> None:
        """Start one caller."""
        coroutine = self._purchase(arrival) if arrival.copies else self._read_pages(arrival)
        self._world.spawn(coroutine)

    async def _read_pages(self, arrival: Arrival) -> None:
        """Read a listing page by page."""
        cursor: str | None = None
        session = self._queries + 1
        after: tuple[float, str] | None = None
        for page in range(arrival.pages):
            if page:
                await asyncio.sleep(PAGE_READING_S)
            for attempt in range(arrival.retries + 1):
                if attempt:
                    await asyncio.sleep(RETRY_PAUSE_S)
                sent = self._record_sent(arrival, session=session, after=after)
                ended, cursor = await self._send(arrival, sent, QUERY_PATH, _query(sent, cursor))
                if ended.version is not None:
                    break
            if cursor is None:
                return
            after = (ended.rows[-1].time, ended.rows[-1].row_id)

    async def _purchase(self, arrival: Arrival) -> None:
        """Submit one purchase, in some cases twice, and resubmit it until it is settled."""
        key = f"purchase-{self._queries + 1:08d}"
        valid_until = self._world.now() + VALIDITY_S
        submissions = [
            self._submit(
                arrival, key, valid_until, again=False, delay_s=copy * arrival.copy_delay_s
            )
            for copy in range(arrival.copies)
        ]
        ended = await asyncio.gather(*submissions)
        for _ in range(MAX_SUBMISSIONS):
            if any(one.outcome in SETTLED for one in ended) or self._world.now() > valid_until:
                return
            await asyncio.sleep(RESUBMIT_PAUSE_S)
            ended = [await self._submit(arrival, key, valid_until, again=True)]

    async def _submit(
        self,
        arrival: Arrival,
        key: str,
        valid_until: float,
        *,
        again: bool,
        delay_s: float = 0.0,
    ) -> QueryEnded:
        """Submit one request once, through a random node."""
        await asyncio.sleep(delay_s)
        draw = self._world.random.random()
        sent = self._record_sent(
            arrival, draw=draw, request_key=key, valid_until=valid_until, resubmission=again
        )
        content: dict[str, object] = {
            "index": sent.index,
            "rule": sent.rule,
            "operation": OPERATION,
            "key": key,
            "valid_until": EPOCH_S + valid_until,
            "resubmission": again,
        }
        ended, _ = await self._send(arrival, sent, OPERATION_PATH, content)
        return ended

    def _record_sent(
        self,
        arrival: Arrival,
        *,
        draw: float | None = None,
        session: int | None = None,
        after: tuple[float, str] | None = None,
        request_key: str | None = None,
        valid_until: float | None = None,
        resubmission: bool = False,
    ) -> QuerySent:
        """Choose a node and record that a caller sends a request to it now."""
        self._queries += 1
        kind = arrival.kind
        host = self._pick_node(kind.region, arrival.node_draw if draw is None else draw)
        sent = QuerySent(
            at=round(self._world.now(), 6),
            query=self._queries,
            tenant=kind.caller.tenant,
            index=kind.index,
            rule=kind.rule,
            node=host.machine.name,
            limit=PAGE_LIMIT,
            match=arrival.match,
            request_key=request_key,
            valid_until=valid_until,
            resubmission=resubmission,
            session=session,
            after=after,
        )
        self._history.sent[sent.query] = sent
        return sent

    async def _send(
        self, arrival: Arrival, sent: QuerySent, path: str, content: dict[str, object]
    ) -> tuple[QueryEnded, str | None]:
        """Send one request; record its outcome and return it with the cursor of the next page."""
        host = self._world.hosts[sent.node]
        authorization = arrival.kind.caller.authorization
        exchange = HttpExchange(path, msgspec.json.encode(content), authorization)
        delay = CALLER_DELAY_S.get(arrival.kind.region, 0.001)
        await asyncio.sleep(delay)
        failure = await self._run_at(host, exchange, arrival.timeout_s)
        await asyncio.sleep(delay)
        at = round(self._world.now(), 6)
        cursor: str | None = None
        if failure is None:
            event, cursor = read_outcome(at, sent.query, b"".join(exchange.parts))
        else:
            event = QueryEnded(at, sent.query, "", failure)
        self._history.end_query(event)
        return event, cursor

    def _pick_node(self, region: str, draw: float) -> NodeHost:
        """Return the node that a caller of a region reaches; a healthy one if there is any."""
        nearby = [host for host in self._world.hosts.values() if host.machine.region == region]
        now = self._world.now()
        healthy = [host for host in nearby if host.accepting and host.unhealthy_at > now]
        hosts = healthy or nearby
        return hosts[int(draw * len(hosts))]

    async def _run_at(self, host: NodeHost, exchange: HttpExchange, timeout_s: float) -> str | None:
        """Run one exchange at a node; return ``LOST`` or ``DISCONNECTED`` if there is no answer."""
        if host.machine.crashed:
            return LOST
        loop = self._world.loop
        host.in_flight += 1
        running = loop.create_task(exchange.run(host.app.app), context=host.machine.context)
        ended = loop.create_task(host.ended.wait())
        try:
            await asyncio.wait(
                (running, ended), timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            host.in_flight -= 1
            ended.cancel()
        if running.done():
            running.result()
            return None
        exchange.disconnected.set()
        return LOST if host.machine.crashed or timeout_s >= CALLER_TIMEOUT_S else DISCONNECTED


def _query(sent: QuerySent, cursor: str | None) -> dict[str, object]:
    """Return a query's body."""
    content: dict[str, object] = {
        "index": sent.index,
        "rule": sent.rule,
        "match": sent.match,
        "limit": sent.limit,
    }
    if cursor is not None:
        content["cursor"] = cursor
    return content
