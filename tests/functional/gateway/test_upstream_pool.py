"""The connection pool: connect timeouts, stale idle connections, and room for large bodies.

Guards against sending a call that must not be repeated over an idle connection whose server no
longer answers: the call would be lost with the connection.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest

from tests.support.loopback_server import loopback_server
from tinrudder.common.address import Address
from tinrudder.gateway.backends import upstream_pool
from tinrudder.gateway.backends.upstream_connection import accept_any_answer
from tinrudder.gateway.backends.upstream_pool import UpstreamPool
from tinrudder.gateway.model.http_messages import Answered, CallOutcome, NotSent, UpstreamCall


def test_a_connect_attempt_that_hangs_is_reported_as_timed_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(upstream_pool, "CONNECT_TIMEOUT_S", 0.01)

    async def run() -> CallOutcome:
        loop = asyncio.get_running_loop()
        outcome: asyncio.Future[CallOutcome] = loop.create_future()

        async def hang(*_: object) -> None:
            await asyncio.sleep(60.0)

        monkeypatch.setattr(loop, "create_connection", hang)
        pool = UpstreamPool(Address("127.0.0.1", 9), accept_any_answer, lambda: None)
        pool.start(UpstreamCall(lambda: b"", b"r", outcome.set_result, loop.time() + 60.0))
        return await outcome

    assert asyncio.run(run()) == NotSent("connect: timed out")


class FakeServer:
    """Answers calls, except on connections that :meth:`go_silent` has muted."""

    def __init__(self) -> None:
        self.silent: set[asyncio.StreamWriter] = set()
        self.open: set[asyncio.StreamWriter] = set()
        self.opened = 0
        self.served = 0

    @contextlib.asynccontextmanager
    async def pool(self) -> AsyncIterator[UpstreamPool]:
        """Serve, and open a pool of connections to this server."""
        async with loopback_server(self._serve) as address:
            pool = UpstreamPool(address, accept_any_answer, lambda: None)
            yield pool
            pool.close()

    def go_silent(self) -> None:
        """Stop answering on the connections that are open; new connections still work."""
        self.silent |= self.open

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        self.opened += 1
        while await reader.read(1000):
            if writer not in self.silent:
                self.served += 1
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        self.open.discard(writer)


async def call(
    pool: UpstreamPool, *, repeatable: bool, wait_s: float = 5.0, request_id: bytes = b"r"
) -> CallOutcome:
    loop = asyncio.get_running_loop()
    outcome: asyncio.Future[CallOutcome] = loop.create_future()
    request = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
    pool.start(
        UpstreamCall(
            lambda: request,
            request_id,
            lambda result: None if outcome.done() else outcome.set_result(result),
            loop.time() + wait_s,
            repeatable=repeatable,
        )
    )
    async with asyncio.timeout(wait_s):
        return await outcome


@pytest.mark.parametrize("most", [1, 2])
def test_an_unrepeatable_call_never_uses_a_connection_that_was_idle(
    monkeypatch: pytest.MonkeyPatch, most: int
) -> None:
    monkeypatch.setattr(upstream_pool, "MAX_UNREPEATABLE_IDLE_S", 0.0)

    async def run() -> FakeServer:
        server = FakeServer()
        async with server.pool() as pool:
            pool.max_connections = most
            assert isinstance(await call(pool, repeatable=True), Answered)
            server.go_silent()
            assert isinstance(await call(pool, repeatable=False), Answered)
            assert pool.connections <= most
        return server

    server = asyncio.run(run())
    assert server.opened == 2
    assert server.served == 2


def test_a_repeatable_call_uses_an_open_connection() -> None:
    async def run() -> FakeServer:
        server = FakeServer()
        async with server.pool() as pool:
            for _ in range(5):
                assert isinstance(await call(pool, repeatable=True), Answered)
        return server

    assert asyncio.run(run()).opened == 1


def test_a_recently_active_connection_is_reused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstream_pool, "MAX_UNREPEATABLE_IDLE_S", 60.0)

    async def run() -> FakeServer:
        server = FakeServer()
        async with server.pool() as pool:
            for _ in range(5):
                assert isinstance(await call(pool, repeatable=False), Answered)
        return server

    assert asyncio.run(run()).opened == 1


class HoldingServer(FakeServer):
    """Answers nothing until ``answers`` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.answers = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self.answers.wait()
        await super()._serve(reader, writer)


class RejectingServer(FakeServer):
    """Rejects the first call on each connection, and repeats that rejection a moment later."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        await reader.readuntil(b"\r\n\r\n")
        rejection = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
        writer.write(rejection)
        await reader.readuntil(b"\r\n\r\n")
        self.served += 1
        writer.write(rejection)
        await reader.read()


@pytest.mark.parametrize("most", [1, 2])
@pytest.mark.parametrize("repeatable", [True, False])
def test_a_rejected_request_never_goes_over_the_same_connection_again(
    most: int, repeatable: bool
) -> None:
    """A surplus rejection would be taken for the answer to the second call, which is running."""

    async def run() -> FakeServer:
        server = RejectingServer()
        async with server.pool() as pool:
            pool.max_connections = most
            for number in range(3):
                await call(pool, repeatable=repeatable)
                assert server.opened == number + 1
            assert pool.connections <= most
        return server

    assert asyncio.run(run()).served == 0


def test_another_request_uses_the_connection_of_a_rejected_one() -> None:
    async def run() -> FakeServer:
        server = RejectingServer()
        async with server.pool() as pool:
            await call(pool, repeatable=True)
            await call(pool, repeatable=True, request_id=b"other")
        return server

    server = asyncio.run(run())
    assert (server.opened, server.served) == (1, 1)


class LargeCalls:
    """Starts calls on a pool and records which were sent and which have ended."""

    def __init__(self, pool: UpstreamPool) -> None:
        self.pool = pool
        self.sent: list[str] = []
        self.ended: list[str] = []

    def start(self, name: str, body_bytes: int) -> UpstreamCall:
        def make_bytes() -> bytes:
            self.sent.append(name)
            return b"GET / HTTP/1.1\r\n\r\n"

        deadline = asyncio.get_running_loop().time() + 60.0
        call = UpstreamCall(
            make_bytes,
            b"r",
            lambda outcome: self.ended.append(name),
            deadline,
            body_bytes=body_bytes,
        )
        self.pool.start(call)
        return call

    async def until_sent(self, count: int) -> None:
        async with asyncio.timeout(5.0):
            while len(self.sent) < count:
                await asyncio.sleep(0.001)


def test_a_large_body_waits_until_bodies_in_flight_leave_room() -> None:
    async def run() -> None:
        server = HoldingServer()
        async with server.pool() as pool:
            pool.max_connections = 8
            pool.max_body_bytes = 250.0
            calls = LargeCalls(pool)
            first, *_ = [calls.start(f"large-{number}", 100) for number in range(4)]
            calls.start("small", 0)
            await calls.until_sent(3)
            assert sorted(calls.sent) == ["large-0", "large-1", "small"]
            pool.cancel(first)
            await calls.until_sent(4)
            assert calls.sent[3] == "large-2"
            server.answers.set()
            await calls.until_sent(5)
            assert calls.sent[4] == "large-3"
            async with asyncio.timeout(5.0):
                while len(calls.ended) < 4:
                    await asyncio.sleep(0.001)
            assert pool._body_bytes == 0
            calls.start("larger than all room", 300)
            await calls.until_sent(6)

    asyncio.run(run())
