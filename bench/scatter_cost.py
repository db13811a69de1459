"""Time to send and to merge one scatter at a gateway.

Runs the product's code without sockets: writes are discarded, and answers are fed in as bytes.
``python -m bench.scatter_cost`` prints microseconds per scatter; ``--profile`` adds the functions
that take the most time.
"""

from __future__ import annotations

import argparse
import asyncio
import cProfile
import json
import pstats
import random
import statistics
import time
from collections.abc import Callable

from tinrudder.cli.gateway import DECODERS
from tinrudder.common.address import Address
from tinrudder.gateway.backends.backend_directory import (
    BackendDirectory,
    ConnectionHooks,
    DirectorySettings,
)
from tinrudder.gateway.backends.load_reports import LoadReports
from tinrudder.gateway.backends.upstream_connection import UpstreamConnection
from tinrudder.gateway.clients.client_deadlines import Deadlines
from tinrudder.gateway.decisions.placement.cold_start_rate import Callers
from tinrudder.gateway.model.configuration import ColdBounds, RepeatBounds
from tinrudder.gateway.model.http_messages import HttpRequest
from tinrudder.gateway.model.outcomes import Merged, RequestOutcome
from tinrudder.gateway.peers.peer_datagrams import PeerDatagrams
from tinrudder.gateway.peers.peer_list import PeerList
from tinrudder.gateway.peers.poison_watch import PoisonWatch
from tinrudder.gateway.runs.call_context import CallContext
from tinrudder.gateway.runs.request_bytes import RequestBytes
from tinrudder.gateway.runs.request_run import RequestRun
from tinrudder.gateway.runs.run_context import RunContext
from tinrudder.gateway.store.shared_state import SharedState
from tinrudder.gateway.store.store_revision import StoreRevision
from tinrudder.gateway.store.stored_values import StoredValue, Topic
from tinrudder.platform.headers import HEADERS

SHARDS = 90
REPLICAS = 3
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
RECORDS = b"0123456789abcdef" * 6
ROUNDS = 40
WARM_UP = 8


class NullTransport(asyncio.Transport):
    """Transport that discards all writes."""

    def write(self, data: object) -> None:
        """Discard the data."""

    def is_closing(self) -> bool:
        """Return ``False``: the transport stays open."""
        return False

    def get_write_buffer_size(self) -> int:
        """Return 0: nothing is buffered."""
        return 0

    def abort(self) -> None:
        """Do nothing."""

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Ignore the limits: nothing is buffered."""

    def get_extra_info(self, name: str, default: object = None) -> object:
        """Return ``default``."""
        return default


class ScatterBench:
    """Components of one gateway, with an open connection to every back end."""

    def __init__(self) -> None:
        """Fill the back-end directory and open the connections."""
        loop = asyncio.get_running_loop()
        self.loop = loop
        self.state = SharedState(DECODERS, loop.time, print)
        self.connections: dict[str, UpstreamConnection] = {}
        self.directory = BackendDirectory(
            self.state,
            HEADERS,
            loop.time,
            DirectorySettings("own", 5.0, ColdBounds()),
            ConnectionHooks(lambda: None),
            lambda service: Callers(("own",), 1),
            lambda zone: False,
        )
        self._configure()
        self.call_context = CallContext(
            loop=loop,
            names=HEADERS,
            zone=ZONES[0],
            directory=self.directory,
            bounds=RepeatBounds(0.2, 188.0, 10.0),
            budget_parts=lambda service: 8.0,
            started_at=loop.time() - 100.0,
            load_reports=LoadReports(DECODERS.load_report, loop.time),
            evidence=self._quiet_poison_watch(),
        )
        for backend in (
            one for group in self.directory._backends_by_service.values() for one in group
        ):
            connection = backend.pool._new_connection()
            connection.connection_made(NullTransport())
            backend.pool._open.add(connection)
            backend.pool._idle.append(connection)

    def _quiet_poison_watch(self) -> PoisonWatch:
        """Return a poison watch without evidence against any request, the normal state."""
        source = random.Random(0)
        peers = PeerList(Address("127.0.0.1", 1), source, self.loop.time())
        return PoisonWatch(peers, PeerDatagrams(), self.loop.time, HEADERS, source)

    def _configure(self) -> None:
        shards = [f"shard-{number}" for number in range(SHARDS)]
        route = {
            "name": "scatter",
            "host": "h",
            "path_prefix": "/",
            "kind": "safe",
            "timeout_ms": 800,
            "goal_ms": 200,
            "attempts": 2,
            "gather": shards,
            "top_k": 50,
            "oldest_version": 0.85,
        }
        services = [{"name": name, "max_conns": 59} for name in shards]
        document = {"version": 1, "routes": [route], "services": services}
        value = StoredValue("op/config", StoreRevision(0, 1), json.dumps(document).encode())
        self.state.apply(Topic.OPERATOR, [value])
        entries: list[StoredValue] = []
        for number, name in enumerate(shards):
            for copy in range(REPLICAS):
                entry = {
                    "service": name,
                    "addr": f"10.0.{copy}.{number + 1}:80",
                    "zone": ZONES[(number + copy) % len(ZONES)],
                    "slots": 2,
                    "state": "ready",
                }
                key = f"servers/i-{name}-{copy}"
                revision = StoreRevision(0, len(entries) + 2)
                entries.append(StoredValue(key, revision, json.dumps(entry).encode()))
        self.state.apply(Topic.BACKENDS, entries)

    def scatter(self, number: int) -> tuple[float, float]:
        """Run one scatter; return the seconds to send its calls and to merge their answers."""
        accepted = self.state.accepted
        assert accepted is not None
        route = accepted.configuration.routes[0]
        now = self.loop.time()
        deadlines = Deadlines(now, now + 0.2, now + 0.8)
        request_id = b"request-%d" % number
        headers = ((b"host", b"h"), (b"tinrudder-request-id", request_id), (b"accept", b"*/*"))
        request = HttpRequest(b"GET", b"/some/path", headers, b"")
        outcomes: list[RequestOutcome] = []
        started = time.perf_counter()
        encoded = RequestBytes(request, request_id, deadlines, HEADERS)
        context = RunContext.of(self.call_context, route, encoded, deadlines)
        run = RequestRun(context, route.shards, outcomes.append)
        run.start()
        sent = time.perf_counter()
        carriers = [shard._attempts[0].call.carrier for shard in run.shards]
        answers = [self._answer(request_id, place) for place in range(len(carriers))]
        fed = time.perf_counter()
        for carrier, answer in zip(carriers, answers, strict=True):
            assert isinstance(carrier, UpstreamConnection)
            carrier.data_received(answer)
        ended = time.perf_counter()
        assert isinstance(outcomes[0], Merged) and not outcomes[0].missing
        return sent - started, ended - fed

    def _answer(self, request_id: bytes, place: int) -> bytes:
        """Return the response of a back end."""
        head = (
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nTinrudder-Request-Id: %b\r\n"
            b"Tinrudder-Server-Stamp: stamp.%d\r\nTinrudder-Backend-Load: 1,0,2,100\r\n"
            b"Keep-Alive: timeout=30\r\n\r\n"
        )
        return head % (len(RECORDS), request_id, place) + RECORDS


async def measure(after: Callable[[ScatterBench], None] = lambda bench: None) -> None:
    """Print the medians of ``ROUNDS`` scatters, then call ``after``."""
    bench = ScatterBench()
    for number in range(WARM_UP):
        bench.scatter(number)
    times = [bench.scatter(WARM_UP + number) for number in range(ROUNDS)]
    sending = statistics.median(one for one, _ in times) * 1e6
    answering = statistics.median(one for _, one in times) * 1e6
    print(f"{SHARDS} shards: {sending:.0f} us to send, {answering:.0f} us to merge")
    after(bench)


def profile(bench: ScatterBench) -> None:
    """Print the functions that take the most time."""
    profiler = cProfile.Profile()
    profiler.enable()
    for number in range(ROUNDS):
        bench.scatter(1000 + number)
    profiler.disable()
    pstats.Stats(profiler).sort_stats("tottime").print_stats(28)


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--profile", action="store_true")
    arguments = parser.parse_args()
    asyncio.run(measure(profile if arguments.profile else lambda bench: None))


if __name__ == "__main__":
    main()
