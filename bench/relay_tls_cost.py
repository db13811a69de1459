"""Processor time of one relayed query without TLS and with mutual TLS, both ends together.

The entry node's client, the transport and the coordinator's server run in this process; the query
is answered from memory, so the figures show the overhead of the relay alone.

    python -m bench.relay_tls_cost

Prints a table, then one JSON object.
"""

from __future__ import annotations

import asyncio
import json
import statistics
import tempfile
import time
from pathlib import Path

import trustme

from tinrudder.node.outcomes import Answer, Complete, Coverage, Outcome, Row
from tinrudder.node.query.relay import RelayClient, RelayServer
from tinrudder.node.query.request import QueryRequest
from tinrudder.node.tls import Identity, TlsFiles
from tinrudder.node.wire.channels import Channel, ChannelRouter
from tinrudder.node.wire.peer_transport import TcpPeerTransport
from tinrudder.peers import PeerAddress

HOST = "127.0.0.1"
SHARDS = 130
ROWS = 100
ROW = b'{"row_id":"r","entity":"machine-0001","time":1.5,"value":"two hundred bytes"}' * 2
TURNS = 9
QUERIES_PER_TURN = 200
CONCURRENCY = 8
MICROSECONDS = 1e6


class CannedRunner:
    """Answers every query from memory."""

    def __init__(self) -> None:
        """Build the answer."""
        rows = tuple(Row(float(number), f"row-{number}", ROW) for number in range(ROWS))
        shards = tuple(f"s{number:03d}" for number in range(SHARDS))
        self._outcome: Outcome = Complete(Answer(1, rows, Coverage(shards)))

    async def run(self, request: QueryRequest, forwarded: bool) -> Outcome:
        """Return the answer."""
        return self._outcome


async def measure(identity: Identity | None) -> float:
    """Return the microseconds of processor time per relayed query, median over the turns."""
    loop = asyncio.get_running_loop()
    server_transport = TcpPeerTransport(HOST, 0, identity)
    channel = ChannelRouter(server_transport).channel(Channel.RELAY)
    RelayServer(channel, loop, time.time, CannedRunner().run, lambda: True)
    address = await server_transport.open()
    client_transport = TcpPeerTransport(HOST, 0, identity)
    client = RelayClient(ChannelRouter(client_transport).channel(Channel.RELAY), loop, time.time)
    turns = []
    for _ in range(TURNS):
        started = time.process_time()
        await _relay_many(client, address)
        turns.append((time.process_time() - started) / QUERIES_PER_TURN * MICROSECONDS)
    await client_transport.close()
    await server_transport.close()
    return statistics.median(turns)


async def _relay_many(client: RelayClient, address: PeerAddress) -> None:
    loop = asyncio.get_running_loop()

    async def worker() -> None:
        for _ in range(QUERIES_PER_TURN // CONCURRENCY):
            deadline = loop.time() + 5.0
            request = QueryRequest(
                "query", "tenant", "index", "rule", {"entity": "x"}, "time", False, 100, deadline
            )
            outcome = await client.run(address, request)
            assert isinstance(outcome, Complete)

    await asyncio.gather(*(worker() for _ in range(CONCURRENCY)))


def mutual_identity(directory: Path) -> Identity:
    """Return an identity issued by a temporary certificate authority."""
    authority = trustme.CA()
    certificate = authority.issue_cert(HOST)
    files = TlsFiles(*(directory / name for name in ("cert.pem", "key.pem", "ca.pem")))
    assert files.certificate is not None and files.key is not None and files.authority is not None
    certificate.cert_chain_pems[0].write_to_path(str(files.certificate))
    certificate.private_key_pem.write_to_path(str(files.key))
    authority.cert_pem.write_to_path(str(files.authority))
    return Identity(files)


def main() -> None:
    """Measure without TLS and with mutual TLS."""
    with tempfile.TemporaryDirectory() as directory:
        identity = mutual_identity(Path(directory))
        clear_us = asyncio.run(measure(None))
        tls_us = asyncio.run(measure(identity))
    print(f"one relayed query, {SHARDS} shards in its coverage, {ROWS} rows, both ends:")
    print(f"  in clear      {clear_us:8.1f} us")
    print(f"  mutual TLS    {tls_us:8.1f} us")
    print(json.dumps({"clear_us": round(clear_us, 1), "tls_us": round(tls_us, 1)}))


if __name__ == "__main__":
    main()
