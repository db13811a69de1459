"""Stops gateways as planned while clients use them, one after another and two at a time.

Signals come in series, some while the gateway starts again.  Uses a random generator of its own, so
it does not change the other faults of a seed.
"""

from __future__ import annotations

import asyncio
import random
import signal

from tinrudder_lab.emulator.site import EmulatedNode
from tinrudder_lab.planned_stops import BODY, ROUTES, Exchange, KeptConnection, StopResult, plan
from tinrudder_lab.soak.process_site import ProcessSite

PAUSE_S = (0.2, 2.0)
BEFORE_S = (0.0, 0.5)
CLIENTS = 10
CONNECT_S = (0.0, 2.4)
BODY_DELAY_S = (0.0, 2.5)
WORK_S = (0.02, 5.0)
BODY_SHARE = 0.5
PIPELINED_SHARE = 0.2
SIGNALS = (signal.SIGTERM, signal.SIGTERM, signal.SIGHUP)
SIGNAL_PAUSE_S = (0.0, 1.5)
MOST_ROUNDS = 2
CLIENT_MARGIN_S = 0.1
"""Seconds before its deadline in which a client's own time-out may end a request."""


async def stop_repeatedly(site: ProcessSite, seconds: float) -> list[str]:
    """Stop gateways for some time; return a description of each stop."""
    source = random.Random(f"stops {site.seed}")
    descriptions: list[str] = []
    end = site.loop.time() + seconds
    while site.loop.time() < end:
        await asyncio.sleep(source.uniform(*PAUSE_S))
        nodes = source.sample(site.nodes, min(len(site.nodes), source.choice((1, 1, 2))))
        sources = [random.Random(source.random()) for _ in nodes]
        stops = [_stop_in_rounds(site, *one) for one in zip(nodes, sources, strict=True)]
        descriptions.extend(await asyncio.gather(*stops))
    return descriptions


def stop_violations(site: ProcessSite) -> list[str]:
    """Return the requests of ordinary clients that a planned stop left without an answer."""
    arrived = {arrival.request_id for arrival in site.ledger.arrivals if arrival.ran}
    return [
        f"planned stop: {result.request_id} got no answer"
        for result in site.ledger.results
        if not result.status and result.request_id in arrived and not result.disconnected_early
        for stop in site.ledger.planned_stops
        if stop.host == site.ledger.sent[result.request_id].host
        if stop.since < result.ended_at <= stop.until
        and result.ended_at < result.sent_at + result.patience_s - CLIENT_MARGIN_S
    ]


async def _stop_in_rounds(site: ProcessSite, node: EmulatedNode, source: random.Random) -> str:
    """Stop a gateway and start it again, once or several times in a row."""
    rounds = source.randint(1, MOST_ROUNDS)
    async with site.locked(node):
        for _ in range(rounds):
            if site.processes.pid_of(node.name) is not None:
                await _stop_in_use(site, node, source)
            await site.launch(node)
    return f"{site.loop.time():.1f}: stopped {node.name} in use, {rounds} times"


async def _stop_in_use(site: ProcessSite, node: EmulatedNode, source: random.Random) -> None:
    """Stop a gateway while clients use it; record a problem if one of them gets no answer."""
    result = StopResult(site.loop.time())
    clients = [asyncio.create_task(_use(site, node, source, result)) for _ in range(CLIENTS)]
    await asyncio.sleep(source.uniform(*BEFORE_S))
    result.signalled_at = site.loop.time()
    with site.ledger.planned_stop(node.host, site.loop.time):
        site.signal_node(node, signal.SIGTERM)
        for number in source.sample(SIGNALS, source.randint(0, len(SIGNALS))):
            await asyncio.sleep(source.uniform(*SIGNAL_PAUSE_S))
            site.signal_node(node, number)
        code = await site.wait_for_end(node)
    await asyncio.gather(*clients)
    if code != 0:
        site.problems.append(f"planned stop: {node.name} ended with {code}")
        site.kill_node(node)
        await site.wait_for_end(node)
    ran = {arrival.request_id for arrival in site.ledger.arrivals if arrival.ran}
    for exchange in result.unanswered(ran):
        what = f"{exchange.request.request_id} to {node.name} got no answer"
        site.problems.append(f"planned stop: {what}")


async def _use(
    site: ProcessSite, node: EmulatedNode, source: random.Random, result: StopResult
) -> None:
    """Send one or two requests over a connection, at a moment of the grace period."""
    with_body = source.random() < BODY_SHARE
    count = 2 if not with_body and source.random() < PIPELINED_SHARE else 1
    connect_s, delay_s = source.uniform(*CONNECT_S), source.uniform(*BODY_DELAY_S)
    drawn = [(source.choice(ROUTES), source.uniform(*WORK_S)) for _ in range(count)]
    await asyncio.sleep(connect_s)
    connection = KeptConnection(site, node)
    try:
        await connection.open()
    except OSError:
        return
    exchanges = [Exchange(plan(site, *one, BODY if with_body else b"")) for one in drawn]
    result.exchanges.extend(exchanges)
    for exchange in exchanges:
        data = exchange.request.encode()
        if with_body:
            connection.send_partly(data[:-1])
            await asyncio.sleep(delay_s)
        connection.send(exchange, data[-1:] if with_body else data)
    for exchange in exchanges:
        await connection.receive(exchange)
    connection.close()
