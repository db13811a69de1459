"""What a request costs at a client's connection, and a call at a back end's.

    python -m bench.connection_cost

Processor time for reading, parsing, counting and writing, without sockets.  The least of several
rounds: on a busy machine the median says more of others.  Prints one JSON object.
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
BOUND = 100_000_000.0
REQUEST = b"GET /all/1?q=abc HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\nDeadline-Ms: 800\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 96\r\n\r\n" + b"x" * 96


class NullTransport(asyncio.Transport):
    """Takes every byte at once."""

    def write(self, data: bytes) -> None:  # type: ignore[override]
        """Take the bytes."""

    def get_write_buffer_size(self) -> int:
        """Hold nothing."""
        return 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Need no limits."""

    def is_closing(self) -> bool:
        """Stay open."""
        return False


def least_us(run: Callable[[], None]) -> float:
    """Return the least processor time of one run, microseconds."""
    seconds = []
    for _ in range(ROUNDS):
        started = time.process_time()
        for _ in range(REQUESTS):
            run()
        seconds.append(time.process_time() - started)
    return round(min(seconds) / REQUESTS * 1e6, 3)


async def measure() -> dict[str, float]:
    """Return the costs at both connections."""
    account = MemoryAccount(BOUND)
    answer = text_answer(b"x" * 96)
    client = ClientConnection(FixedAnswerHandler(lambda: answer), set(), account)
    client.connection_made(NullTransport())
    backend = UpstreamConnection(accept_any_answer, lambda one: None, lambda one: None, account)
    backend.connection_made(NullTransport())

    def call() -> None:
        backend.send(UpstreamCall(lambda: REQUEST, b"1", lambda outcome: None, 1e9))
        backend.data_received(ANSWER)

    return {
        "request_us": least_us(lambda: client.data_received(REQUEST)),
        "call_us": least_us(call),
    }


def main() -> None:
    """Measure with the cycle collector off: a gateway lets it run rarely too."""
    gc.disable()
    print(json.dumps(asyncio.run(measure())))


if __name__ == "__main__":
    main()
