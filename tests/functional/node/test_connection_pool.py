"""The connection pool over loopback: limit, waiting calls, idle connections, closes and TLS.

Guards against calls that are reported as not sent after bytes have left, or repeated after a close.
"""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Awaitable, Callable

import pytest
import trustme

from tests.functional.node.test_backend_http import HOST, call_to, exchange, with_backend
from tests.support.loopback_server import loopback_server
from tinrudder.node.backends import connection_pool
from tinrudder.node.backends.connection import READ_BUFFER_BYTES
from tinrudder.node.backends.http_transport import HttpBackendTransport
from tinrudder.node.backends.messages import Answered, BackendReply, Broken, NotSent
from tinrudder_lab.backend_model import BackendBehaviour, BackendModel

MAXIMUM = 3

Scenario = Callable[[HttpBackendTransport, int, BackendModel], Awaitable[None]]


def run_against(behaviour: BackendBehaviour, scenario: Scenario) -> None:
    async def run() -> None:
        server, port, model = await with_backend(behaviour)
        transport = HttpBackendTransport()
        try:
            await scenario(transport, port, model)
        finally:
            await transport.close()
            server.close()

    asyncio.run(run())


def test_connections_stay_within_the_maximum_and_waiting_calls_are_unsent() -> None:
    async def scenario(transport: HttpBackendTransport, port: int, model: BackendModel) -> None:
        replies: list[BackendReply] = []
        calls = [call_to(port, number) for number in range(12)]
        for call in calls:
            call.max_connections = MAXIMUM
            transport.start(call, lambda _, reply: replies.append(reply))
        assert not any(call.may_have_been_sent for call in calls)
        while len(model.running) < MAXIMUM:
            await asyncio.sleep(0)
        assert [call.may_have_been_sent for call in calls] == [True] * MAXIMUM + [False] * 9
        transport.cancel(calls[-1])
        while len(replies) < 11:
            assert transport.connections(HOST, port) <= MAXIMUM
            await asyncio.sleep(0)
        assert all(isinstance(reply, Answered) for reply in replies)
        assert model.counters.received == 11

    run_against(BackendBehaviour(slots=20, service_median_s=0.002), scenario)


def test_a_waiting_call_takes_the_place_of_a_cancelled_one() -> None:
    async def scenario(transport: HttpBackendTransport, port: int, model: BackendModel) -> None:
        unanswered, waiting = call_to(port, 1), call_to(port, 2)
        unanswered.max_connections = waiting.max_connections = 1
        transport.start(unanswered, lambda *_: pytest.fail("a cancelled call was answered"))
        while not model.running:
            await asyncio.sleep(0)
        model.behaviour.service_median_s = 0.0
        reply = asyncio.ensure_future(exchange(transport, waiting))
        await asyncio.sleep(0)
        assert not waiting.may_have_been_sent
        transport.cancel(unanswered)
        assert isinstance(await reply, Answered)

    run_against(BackendBehaviour(service_median_s=3600.0), scenario)


def test_a_call_past_its_deadline_is_not_sent() -> None:
    async def scenario(transport: HttpBackendTransport, port: int, model: BackendModel) -> None:
        late = call_to(port)
        late.deadline = 0.0
        assert isinstance(await exchange(transport, late), NotSent)
        assert model.counters.received == 0

    run_against(BackendBehaviour(), scenario)


def test_idle_connections_are_trimmed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario(transport: HttpBackendTransport, port: int, _: BackendModel) -> None:
        assert isinstance(await exchange(transport, call_to(port)), Answered)
        transport._trim()
        await asyncio.sleep(0)
        assert transport.connections(HOST, port) == 1
        monkeypatch.setattr(connection_pool, "IDLE_TIMEOUT_S", -1.0)
        transport._trim()
        await asyncio.sleep(0)
        assert transport.connections(HOST, port) == 0

    run_against(BackendBehaviour(service_median_s=0.0), scenario)


def test_a_connection_closed_at_the_moment_of_reuse_is_broken_not_repeated() -> None:
    async def scenario() -> None:
        answers = 0

        async def answer_once(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal answers
            for _ in range(2):
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(int(head.rsplit(b":", 1)[1]))
                answers += 1
                if answers > 1:
                    break
                body = b'{"call_id":1,"version":1,"shards":[]}'
                writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

        async with loopback_server(answer_once) as address:
            transport = HttpBackendTransport()
            assert isinstance(await exchange(transport, call_to(address.port)), Answered)
            assert isinstance(await exchange(transport, call_to(address.port)), Broken)
            assert answers == 2
            await transport.close()

    asyncio.run(scenario())


def test_waiting_calls_of_a_closed_transport_are_reported_as_not_sent() -> None:
    async def scenario(transport: HttpBackendTransport, port: int, model: BackendModel) -> None:
        reply = asyncio.ensure_future(exchange(transport, call_to(port)))
        await asyncio.sleep(0)
        await transport.close()
        assert isinstance(await reply, NotSent)
        assert model.counters.received == 0

    run_against(BackendBehaviour(), scenario)


class TrustedContexts:
    """Provides a TLS context that trusts one authority."""

    def __init__(self, authority: trustme.CA) -> None:
        self.context = ssl.create_default_context()
        authority.configure_trust(self.context)

    def backend_context(self) -> ssl.SSLContext:
        return self.context


def test_answers_larger_than_the_buffer_arrive_whole_with_and_without_tls(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    authority = trustme.CA()
    listening = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    authority.issue_cert(HOST).configure_cert(listening)
    filler = "x" * (5 * READ_BUFFER_BYTES)
    rows = f'[{{"shard":"s","rows":[[1.0,"r",{{"filler":"{filler}"}}]]}}]'
    body = f'{{"call_id":1,"version":1,"shards":{rows}}}'.encode()

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(int(head.rsplit(b":", 1)[1]))
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    async def scenario(context: ssl.SSLContext | None) -> None:
        async with loopback_server(answer, context) as address:
            port = address.port
            transport = HttpBackendTransport(TrustedContexts(authority))
            for _ in range(2):
                call = call_to(port)
                call.tls = context is not None
                reply = await exchange(transport, call)
                assert isinstance(reply, Answered)
                assert filler.encode() in bytes(reply.answer.shards[0].rows[0].payload)
            assert transport.connections(HOST, port) == 1
            monkeypatch.setattr(
                connection_pool, "CONNECT_TIMEOUT_S", 0.02 if context is None else 1.0
            )
            wrong = call_to(port)
            wrong.tls = context is None
            assert isinstance(await exchange(transport, wrong), NotSent if wrong.tls else Broken)
            await transport.close()

    asyncio.run(scenario(listening))
    asyncio.run(scenario(None))
