"""Processor time of relaying one query, and memory of one answer.

``python -m bench.relay_cost`` runs the product's relay client and server over the real TCP peer
transport on loopback, both ends in this process, with a runner that answers immediately.  The
figures therefore cover codec, transport and event loop of both ends together, by the number of
rows in the answer.  The last line is one JSON object; times are microseconds of processor time.
"""

from __future__ import annotations

import asyncio
import gc
import statistics
import sys
import time
import tracemalloc

import msgspec

from bench.slopes import Slope, fit
from tinrudder.node.outcomes import Answer, Complete, Coverage, Outcome, Row
from tinrudder.node.query.relay import RelayClient, RelayServer
from tinrudder.node.query.request import QueryRequest
from tinrudder.node.wire.channels import Channel, ChannelRouter
from tinrudder.node.wire.peer_transport import TcpPeerTransport
from tinrudder.node.wire.relay_codec import RelayedQuery, encode_outcome, encode_query
from tinrudder.peers import PeerAddress

HOST = "127.0.0.1"
SHARDS = 130
ROW_COUNTS = (1, 20, 100, 400)
PAYLOAD = b'{"row_id":"s000-0001","time":123456.0,"entity":"entity-7","amount":17}'
TURNS = 7
RELAYS_PER_TURN = 150
CONCURRENCY = 10
MICROSECONDS = 1e6


class RelayCost(msgspec.Struct, frozen=True):
    """Figures at ``ROW_COUNTS`` rows per answer, and a line fitted to the times.

    :param request_bytes: size of one relayed query.
    :param answer_bytes: size of one encoded outcome, by rows.
    :param relay_us: processor time of both ends together, by rows.
    :param answer_memory_bytes: memory of one answer, by rows.
    """

    request_bytes: int
    rows: tuple[int, ...]
    answer_bytes: tuple[int, ...]
    relay_us: tuple[float, ...]
    relay_us_by_rows: Slope
    answer_memory_bytes: tuple[int, ...]


class FixedRunner:
    """Answers every query with the same outcome."""

    def __init__(self, outcome: Outcome) -> None:
        """Set the outcome of every query."""
        self._outcome = outcome

    async def run(self, request: QueryRequest, forwarded: bool) -> Outcome:
        """Return the outcome immediately."""
        del request, forwarded
        return self._outcome


def make_outcome(rows: int) -> Outcome:
    """Return a complete answer of ``rows`` rows from all shards."""
    made = tuple(
        Row(float(number), f"s{number:04d}", bytes(bytearray(PAYLOAD))) for number in range(rows)
    )
    shards = tuple(f"s{number:04d}" for number in range(SHARDS))
    return Complete(Answer(7, made, Coverage(shards)))


def make_request(deadline: float) -> QueryRequest:
    """Return a query as an entry node relays it."""
    return QueryRequest(
        query_id="0123456789abcdef0123456789abcdef",
        tenant="tenant",
        index="service.index",
        rule="rule",
        match={"entity": "entity-7"},
        order_by="time",
        descending=False,
        limit=100,
        deadline=deadline,
    )


async def measure_relays(rows: int) -> float:
    """Return processor microseconds of one relay with ``rows`` rows, median over the turns."""
    loop = asyncio.get_running_loop()
    client_transport = TcpPeerTransport(HOST, 0)
    server_transport = TcpPeerTransport(HOST, 0)
    await client_transport.open()
    address = await server_transport.open()
    channel = ChannelRouter(server_transport).channel(Channel.RELAY)
    RelayServer(channel, loop, time.time, FixedRunner(make_outcome(rows)).run, lambda: True)
    client_channel = ChannelRouter(client_transport).channel(Channel.RELAY)
    client = RelayClient(client_channel, loop, time.time)
    await _turn(client, address)
    turns = []
    for _ in range(TURNS):
        started = time.process_time()
        await _turn(client, address)
        turns.append((time.process_time() - started) / RELAYS_PER_TURN * MICROSECONDS)
    await client_transport.close()
    await server_transport.close()
    return statistics.median(turns)


async def _turn(client: RelayClient, address: PeerAddress) -> None:
    """Relay ``RELAYS_PER_TURN`` queries, ``CONCURRENCY`` at a time."""

    async def worker(count: int) -> None:
        for _ in range(count):
            await client.run(address, make_request(asyncio.get_running_loop().time() + 10))

    await asyncio.gather(*(worker(RELAYS_PER_TURN // CONCURRENCY) for _ in range(CONCURRENCY)))


def answer_memory(rows: int) -> int:
    """Return the bytes that one answer occupies."""
    gc.collect()
    tracemalloc.start()
    outcome = make_outcome(rows)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del outcome
    return size


def main() -> int:
    """Measure every size and print the result."""
    relay_us = tuple(round(asyncio.run(measure_relays(rows)), 1) for rows in ROW_COUNTS)
    cost = RelayCost(
        len(encode_query(RelayedQuery(make_request(1.0), 0.1, time.time()))),
        ROW_COUNTS,
        tuple(len(encode_outcome(make_outcome(rows))) for rows in ROW_COUNTS),
        relay_us,
        fit(ROW_COUNTS, relay_us),
        tuple(answer_memory(rows) for rows in ROW_COUNTS),
    )
    print(msgspec.json.encode(cost).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
