"""Endless and slow request heads over real sockets: refused while the server keeps serving."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest
import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse
from starlette.routing import Route

from tinrudder.node.api import caller_protocol
from tinrudder.node.api.caller_protocol import MAX_HEAD_BYTES, CallerProtocol

HOST = "127.0.0.1"
VALID_REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


async def run_with_server(scenario: Callable[[int], Awaitable[None]]) -> None:
    async def hello(_: Request) -> PlainTextResponse:
        return PlainTextResponse("hello")

    app = Starlette(routes=[Route("/", hello)])
    config = uvicorn.Config(
        app, host=HOST, port=0, http=CallerProtocol, lifespan="off", log_config=None
    )
    server = uvicorn.Server(config)
    serving = asyncio.create_task(server._serve())
    while not server.started:
        await asyncio.sleep(0.001)
    try:
        await scenario(server.servers[0].sockets[0].getsockname()[1])
    finally:
        server.should_exit = True
        await serving


async def send(port: int, *parts: bytes) -> bytes:
    reader, writer = await asyncio.open_connection(HOST, port)
    for part in parts:
        writer.write(part)
        await asyncio.sleep(0)
    answer = await asyncio.wait_for(reader.read(4096), 5)
    writer.close()
    return answer


def test_an_endless_head_is_refused_and_the_server_goes_on() -> None:
    async def scenario(port: int) -> None:
        header = b"X-Filler: " + b"a" * 1000 + b"\r\n"
        endless = await send(port, b"GET / HTTP/1.1\r\n", header * (MAX_HEAD_BYTES // 1000 + 1))
        assert endless.startswith(b"HTTP/1.1 431 ") and b'"field":"head"' in endless
        assert b"200 OK" in await send(port, VALID_REQUEST)

    asyncio.run(run_with_server(scenario))


def test_a_slow_head_is_closed_but_a_kept_connection_is_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(port: int) -> None:
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(VALID_REQUEST)
        await reader.readuntil(b"hello")
        monkeypatch.setattr(caller_protocol, "HEAD_TIMEOUT_S", 0.02)
        assert await send(port, b"GET / HT") == b""
        writer.write(VALID_REQUEST)
        await reader.readuntil(b"hello")
        writer.close()

    asyncio.run(run_with_server(scenario))
