"""Calls an ASGI application directly, without sockets."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import msgspec
from starlette.types import ASGIApp, Message


@dataclass
class AsgiResponse:
    """The part of the response that the application has sent so far."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    def json(self) -> dict[str, object]:
        return msgspec.json.decode(self.body)

    def lines(self) -> list[dict[str, object]]:
        return [msgspec.json.decode(line) for line in self.body.splitlines()]


@dataclass
class AsgiCall:
    """One request, which may still be running, for example while a stream is read."""

    task: asyncio.Task[None]
    response: AsgiResponse
    disconnected: asyncio.Event

    async def disconnect(self) -> AsgiResponse:
        self.disconnected.set()
        await asyncio.wait_for(self.task, 5)
        return self.response


def start(
    app: ASGIApp, method: str, target: str, authorization: str = "", body: bytes = b""
) -> AsgiCall:
    """Start a request."""
    path, _, query = target.partition("?")
    headers = [(b"authorization", authorization.encode())] if authorization else []
    scope = {
        "type": "http",
        "asgi": {"version": "3.0", "spec_version": "2.3"},
        "http_version": "1.1",
        "method": method,
        "scheme": "http",
        "path": path,
        "raw_path": path.encode(),
        "root_path": "",
        "query_string": query.encode(),
        "headers": headers,
        "client": ("127.0.0.1", 1),
        "server": ("127.0.0.1", 80),
    }
    response = AsgiResponse()
    disconnected = asyncio.Event()
    requests: list[Message] = [{"type": "http.request", "body": body, "more_body": False}]

    async def receive() -> Message:
        if requests:
            return requests.pop()
        await disconnected.wait()
        return {"type": "http.disconnect"}

    async def send(message: Message) -> None:
        if disconnected.is_set():
            raise OSError("client disconnected")
        if message["type"] == "http.response.start":
            response.status = message["status"]
            pairs = ((name.decode(), value.decode()) for name, value in message["headers"])
            response.headers = dict(pairs)
        else:
            response.body += message.get("body", b"")

    async def run() -> None:
        try:
            await app(scope, receive, send)
        except Exception:
            if not disconnected.is_set():
                raise

    return AsgiCall(asyncio.create_task(run()), response, disconnected)


async def call(
    app: ASGIApp, method: str, target: str, authorization: str = "", body: bytes = b""
) -> AsgiResponse:
    """Run a request to completion."""
    started = start(app, method, target, authorization, body)
    await asyncio.wait_for(started.task, 5)
    return started.response
