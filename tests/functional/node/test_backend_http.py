"""The HTTP transport with the lab's back end over loopback: reply types and cancellation."""

from __future__ import annotations

import asyncio
import random

from tinrudder.node.backends.http_transport import HttpBackendTransport
from tinrudder.node.backends.messages import (
    Answered,
    BackendCall,
    BackendReply,
    Draining,
    NotSent,
    SearchRequest,
    VersionGone,
)
from tinrudder_lab.backend_model import BackendBehaviour, BackendModel
from tinrudder_lab.backend_server import serve_model
from tinrudder_lab.datasets import ShardStore

HOST = "127.0.0.1"


def call_to(port: int, call_id: int = 1) -> BackendCall:
    request = SearchRequest(call_id, "a.stock", 1, ("s000",), {}, "time", False, 5, 1000)
    deadline = asyncio.get_running_loop().time() + 5
    return BackendCall(call_id, "b", HOST, port, request, deadline)


async def exchange(transport: HttpBackendTransport, call: BackendCall) -> BackendReply:
    future: asyncio.Future[BackendReply] = asyncio.get_running_loop().create_future()
    transport.start(call, lambda _, reply: future.set_result(reply))
    return await future


async def with_backend(behaviour: BackendBehaviour) -> tuple[asyncio.Server, int, BackendModel]:
    loop = asyncio.get_running_loop()
    model = BackendModel("b", loop, random.Random(1), ShardStore(), behaviour)
    server = await serve_model(model, HOST, 0)
    return server, server.sockets[0].getsockname()[1], model


def test_replies_are_tagged() -> None:
    async def scenario() -> None:
        behaviour = BackendBehaviour(service_median_s=0.0)
        server, port, _ = await with_backend(behaviour)
        transport = HttpBackendTransport()
        answered = await exchange(transport, call_to(port))
        assert isinstance(answered, Answered)
        assert [row.order for row in answered.answer.shards[0].rows] == sorted(
            row.order for row in answered.answer.shards[0].rows
        )
        behaviour.versions = frozenset({2})
        assert await exchange(transport, call_to(port)) == VersionGone((2,))
        behaviour.draining = True
        assert await exchange(transport, call_to(port)) == Draining()
        await transport.close()
        server.close()
        await server.wait_closed()
        refused = await exchange(transport, call_to(port))
        assert isinstance(refused, NotSent)

    asyncio.run(scenario())


def test_cancelled_call_never_answers_a_later_one() -> None:
    async def scenario() -> None:
        server, port, model = await with_backend(BackendBehaviour(service_median_s=0.02))
        transport = HttpBackendTransport()
        cancelled = call_to(port, 1)
        transport.start(cancelled, lambda *_: fail_on_answer())
        while not model.running:
            await asyncio.sleep(0)
        transport.cancel(cancelled)
        reply = await exchange(transport, call_to(port, 2))
        assert isinstance(reply, Answered)
        assert reply.answer.call_id == 2
        await transport.close()
        server.close()

    asyncio.run(scenario())


def fail_on_answer() -> None:
    raise AssertionError("a cancelled call was answered")
