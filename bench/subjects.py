"""Subjects of the call-cost benchmark; each runs one fan-out at a time."""

from __future__ import annotations

import asyncio
import sys
from asyncio.subprocess import PIPE, Process
from typing import Protocol

import aiosonic
import aiosonic.pools
import msgspec
import uvicorn

from bench.baseline_client import BaselineFanOut
from bench.node_under_test import INDEX, build_document, query_request, shard_name, start_node
from tinrudder.node.api.caller_app import CallerApplication
from tinrudder.node.api.cursor import CursorCodec
from tinrudder.node.backends.http_transport import HttpBackendTransport
from tinrudder.node.backends.messages import (
    Answered,
    BackendCall,
    BackendReply,
    SearchAnswer,
    SearchRequest,
)
from tinrudder.node.environment import BackendTransport
from tinrudder.node.node import Node
from tinrudder.node.outcomes import Complete

HOST = "127.0.0.1"
DEADLINE_S = 60.0


class Subject(Protocol):
    """Client or node whose cost per back-end call is measured."""

    async def run(self, fan_outs: int) -> None:
        """Run ``fan_outs`` fan-outs sequentially."""

    async def close(self) -> None:
        """Release all resources."""


def search_request(call_id: int, *shards: str) -> SearchRequest:
    """Return the request that all subjects send, for one shard or several."""
    deadline_ms = int(DEADLINE_S * 1000)
    return SearchRequest(
        call_id, INDEX, 1, shards, {}, "time", False, 100, deadline_ms, query_id="0" * 32
    )


def single_requests(fan_out: int) -> list[SearchRequest]:
    """Return one request per shard."""
    return [search_request(number, shard_name(number)) for number in range(fan_out)]


def grouped_requests(fan_out: int, ports: int) -> list[SearchRequest]:
    """Return one request per back end, for all of its shards."""
    return [
        search_request(number, *(shard_name(shard) for shard in range(number, fan_out, ports)))
        for number in range(ports)
    ]


class BaselineClient:
    """Bare asyncio client with requests encoded beforehand."""

    def __init__(self, ports: list[int], fan_out: int) -> None:
        """Prepare the requests."""
        self._ports = ports
        self._fan_out = BaselineFanOut()
        self._requests = [
            _whole_request(search_request(number, shard_name(number))) for number in range(fan_out)
        ]
        self._connected = False

    async def run(self, fan_outs: int) -> None:
        """Run fan-outs."""
        if not self._connected:
            await self._fan_out.connect(HOST, self._ports, self._requests)
            self._connected = True
        for _ in range(fan_outs):
            await self._fan_out.run()

    async def close(self) -> None:
        """Close the connections."""
        await self._fan_out.close()


def _whole_request(request: SearchRequest) -> bytes:
    body = msgspec.json.encode(request)
    head = f"POST /v1/search HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class TransportClient:
    """The node's back-end transport with prepared requests; answers are decoded."""

    def __init__(self, ports: list[int], requests: list[SearchRequest]) -> None:
        """Send ``requests`` over the ports in turn."""
        self._ports = ports
        self._transport = HttpBackendTransport()
        self._requests = requests
        self._unanswered = 0
        self._done: asyncio.Future[None] | None = None

    async def run(self, fan_outs: int) -> None:
        """Run fan-outs."""
        loop = asyncio.get_running_loop()
        for _ in range(fan_outs):
            self._done = loop.create_future()
            self._unanswered = len(self._requests)
            for number, request in enumerate(self._requests):
                port = self._ports[number % len(self._ports)]
                deadline = loop.time() + DEADLINE_S
                call = BackendCall(number, "backend", HOST, port, request, deadline)
                self._transport.start(call, self._on_reply)
            await self._done

    def _on_reply(self, call: BackendCall, reply: BackendReply) -> None:
        assert isinstance(reply, Answered), reply
        self._unanswered -= 1
        if self._unanswered == 0 and self._done is not None:
            self._done.set_result(None)

    async def close(self) -> None:
        """Close the connections."""
        await self._transport.close()


class AiosonicClient:
    """aiosonic client with one task per call."""

    def __init__(self, ports: list[int], fan_out: int) -> None:
        """Prepare the requests."""
        pools = {":default": aiosonic.pools.PoolConfig(size=fan_out, max_conn_requests=None)}
        connector = aiosonic.TCPConnector(pool_configs=pools)
        self._client = aiosonic.HTTPClient(connector)
        self._decoder = msgspec.json.Decoder(SearchAnswer)
        self._calls = [
            (
                f"http://{HOST}:{ports[number % len(ports)]}/v1/search",
                search_request(number, shard_name(number)),
            )
            for number in range(fan_out)
        ]

    async def run(self, fan_outs: int) -> None:
        """Run fan-outs."""
        for _ in range(fan_outs):
            await asyncio.gather(*(self._call(url, request) for url, request in self._calls))

    async def _call(self, url: str, request: SearchRequest) -> None:
        response = await self._client.post(url, data=msgspec.json.encode(request))
        answer = self._decoder.decode(await response.content())
        assert answer.call_id == request.call_id

    async def close(self) -> None:
        """Close the connections."""
        await self._client.connector.cleanup()


class WholeNode:
    """The node without its HTTP front end: plan, fan-out, dispatcher, transport, merge."""

    def __init__(self, ports: list[int], fan_out: int, transport: BackendTransport) -> None:
        """Prepare the configuration."""
        self._document = build_document(HOST, ports, fan_out)
        self._fan_out = fan_out
        self._transport = transport
        self._node: Node | None = None

    async def run(self, fan_outs: int) -> None:
        """Run queries sequentially."""
        loop = asyncio.get_running_loop()
        if self._node is None:
            self._node = await start_node(self._document, self._transport)
        for _ in range(fan_outs):
            outcome = await self._node.entry.run(query_request(loop.time() + DEADLINE_S))
            assert isinstance(outcome, Complete), outcome
            assert len(outcome.answer.coverage.included) == self._fan_out

    async def close(self) -> None:
        """Stop the node."""
        if self._node is not None:
            await self._node.stop()


class WholeNodeOverHttp:
    """The whole node, queried over HTTP by a client in another process."""

    def __init__(self, ports: list[int], fan_out: int) -> None:
        """Prepare the configuration."""
        self._document = build_document(HOST, ports, fan_out)
        self._node: Node | None = None
        self._caller: Process | None = None
        self._server: uvicorn.Server | None = None
        self._serving: asyncio.Task[None] | None = None

    async def run(self, fan_outs: int) -> None:
        """Let the client process send ``fan_outs`` queries."""
        if self._caller is None:
            await self._start()
        assert self._caller is not None and self._caller.stdin and self._caller.stdout
        self._caller.stdin.write(f"{fan_outs}\n".encode())
        statuses = (await self._caller.stdout.readline()).decode().strip()
        assert statuses == f"200:{fan_outs}", statuses

    async def _start(self) -> None:
        self._node = await start_node(self._document, HttpBackendTransport())
        application = CallerApplication(
            asyncio.get_running_loop(),
            self._node.entry,
            self._node.configuration,
            CursorCodec([b"bench"]),
        )
        config = uvicorn.Config(
            application.app,
            host=HOST,
            port=0,
            loop="asyncio",
            http="httptools",
            lifespan="off",
            log_config=None,
            access_log=False,
        )
        self._server = uvicorn.Server(config)
        self._serving = asyncio.create_task(self._server.serve())
        while not self._server.started:
            await asyncio.sleep(0.01)
        port = self._server.servers[0].sockets[0].getsockname()[1]
        command = (sys.executable, "-m", "bench.caller_process", str(port))
        self._caller = await asyncio.create_subprocess_exec(*command, stdin=PIPE, stdout=PIPE)

    async def close(self) -> None:
        """Stop the client process, the server and the node."""
        if self._caller is None or self._server is None or self._node is None:
            return
        assert self._caller.stdin is not None and self._serving is not None
        self._caller.stdin.close()
        await self._caller.wait()
        self._server.should_exit = True
        await self._serving
        await self._node.stop()
