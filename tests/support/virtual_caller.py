"""ASGI client in virtual time; the test controls its pace and its disconnects."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import TypeVar

import async_solipsism
import msgspec
from starlette.types import ASGIApp, Message

NEVER_S = 10_000.0
Result = TypeVar("Result")


def run_virtual(scenario: Coroutine[object, object, Result]) -> Result:
    """Run a coroutine on an event loop whose clock advances only when no callback is ready."""
    loop = async_solipsism.EventLoop()
    try:
        return loop.run_until_complete(scenario)
    finally:
        loop.close()


@dataclass
class FakeCaller:
    """One client request and its response.

    :param parts: parts of the request body, sent ``part_gap_s`` seconds apart.
    :param body_cut_off: whether the client disconnects before the body is complete.
    :param disconnects_at: virtual seconds after which the client closes its connection.
    :param read_gap_s: seconds that the client takes to read each chunk of the response.
    """

    path: str = "/v1/query"
    method: str = "POST"
    authorization: str | None = "Bearer key.secret"
    headers: dict[str, str] = field(default_factory=dict)
    parts: list[bytes] = field(default_factory=list)
    part_gap_s: float = 0.0
    body_cut_off: bool = False
    disconnects_at: float = NEVER_S
    read_gap_s: float = 0.0
    host: str = "127.0.0.1"
    status: int = 0
    answer_headers: dict[str, str] = field(default_factory=dict)
    chunks: list[bytes] = field(default_factory=list)
    ended: bool = False

    async def call(self, app: ASGIApp) -> FakeCaller:
        """Send the request and read the response."""
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()
        self._next_part = 0
        headers = dict(self.headers)
        if self.authorization is not None:
            headers["authorization"] = self.authorization
        scope = {
            "type": "http",
            "asgi": {"version": "3.0", "spec_version": "2.4"},
            "method": self.method,
            "path": self.path,
            "raw_path": self.path.encode(),
            "query_string": b"",
            "headers": [(name.encode(), value.encode()) for name, value in headers.items()],
            "client": (self.host, 1),
        }
        await app(scope, self._receive, self._send)
        return self

    async def _receive(self) -> Message:
        number = self._next_part
        if number < len(self.parts) or (number == 0 and not self.body_cut_off):
            self._next_part += 1
            await asyncio.sleep(self.part_gap_s)
            body = self.parts[number] if self.parts else b""
            more = number + 1 < len(self.parts) or self.body_cut_off
            return {"type": "http.request", "body": body, "more_body": more}
        if not self.body_cut_off:
            await asyncio.sleep(self._started_at + self.disconnects_at - self._loop.time())
        return {"type": "http.disconnect"}

    async def _send(self, message: Message) -> None:
        if message["type"] == "http.response.start":
            self.status = message["status"]
            self.answer_headers = {k.decode(): v.decode() for k, v in message["headers"]}
            return
        await asyncio.sleep(self.read_gap_s)
        self.chunks.append(message["body"])
        self.ended = not message.get("more_body", False)

    @property
    def json(self) -> dict[str, object]:
        """Return the decoded response body."""
        return msgspec.json.decode(b"".join(self.chunks))

    @property
    def lines(self) -> list[dict[str, object]]:
        """Return the decoded lines of a streamed response."""
        return [msgspec.json.decode(line) for line in b"".join(self.chunks).splitlines()]
