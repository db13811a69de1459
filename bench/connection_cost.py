"""Processor time of one request at a client connection and one call at a back-end connection.

    python -m bench.connection_cost

Covers reading, parsing, accounting and writing, without sockets.  Reports the minimum of several
rounds: on a busy machine the median mostly reflects other processes.  Prints one JSON object.
"""

from __future__ import annotations

import asyncio
import gc
import json
import time
from collections.abc import Callable

from tinrudder.gateway.backends.upstream_connection import UpstreamConnection, accept_any_answer
from tinrudder.gateway.clients.client_connection import ClientConnection
from tinrudder.gateway.clients.memory_account import MemoryAccount
from tinrudder.gateway.clients.plain_answers import FixedAnswerHandler, text_answer
from tinrudder.gateway.model.http_messages import UpstreamCall

ROUNDS = 9
REQUESTS = 20_000
MEMORY_LIMIT_BYTES = 100_000_000.0
REQUEST = b"GET /all/1?q=abc HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\nDeadline-Ms: 800\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 96\r\n\r\n" + b"x" * 96


class NullTransport(asyncio.Transport):
    """Transport that discards all writes."""

    def write(self, data: bytes) -> None:  # type: ignore[override]
        """Discard the data."""

    def get_write_buffer_size(self) -> int:
        """Return 0: nothing is buffered."""
        return 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Ignore the limits: nothing is buffered."""

    def is_closing(self) -> bool:
        """Return ``False``: the transport stays open."""
        return False


def minimum_us(run: Callable[[], None]) -> float:
    """Return the processor time of one run in the fastest round, in microseconds."""
    seconds = []
    for _ in range(ROUNDS):
        started = time.process_time()
        for _ in range(REQUESTS):
            run()
        seconds.append(time.process_time() - started)
    return round(min(seconds) / REQUESTS * 1e6, 3)


async def measure() -> dict[str, float]:
    """Return the costs at both kinds of connection."""
    account = MemoryAccount(MEMORY_LIMIT_BYTES)
    answer = text_answer(b"x" * 96)
    client = ClientConnection(FixedAnswerHandler(lambda: answer), set(), account)
    client.connection_made(NullTransport())
    backend = UpstreamConnection(accept_any_answer, lambda one: None, lambda one: None, account)
    backend.connection_made(NullTransport())

    def call() -> None:
        backend.send(UpstreamCall(lambda: REQUEST, b"1", lambda outcome: None, 1e9))
        backend.data_received(ANSWER)

    return {
        "request_us": minimum_us(lambda: client.data_received(REQUEST)),
        "call_us": minimum_us(call),
    }


def main() -> None:
    """Measure without the garbage collector, which a gateway also runs rarely."""
    gc.disable()
    print(json.dumps(asyncio.run(measure())))


if __name__ == "__main__":
    main()
