"""HTTP requests of simulated callers to a node's own ASGI application."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from tinrudder.node.api.outcome_mapping import OutcomeBody
from tinrudder_lab.datasets import DataRow
from tinrudder_lab.history import QueryEnded

Message = dict[str, Any]
_body_decoder = msgspec.json.Decoder(OutcomeBody)
_row_decoder = msgspec.json.Decoder(DataRow)


@dataclass(eq=False)
class HttpExchange:
    """One request to an ASGI application and its response."""

    path: str
    body: bytes
    authorization: str
    disconnected: asyncio.Event = field(default_factory=asyncio.Event)
    status: int = 0
    parts: list[bytes] = field(default_factory=list)
    body_read: bool = False

    async def run(self, app: Callable[..., Any]) -> None:
        """Pass the request to the application."""
        scope: Message = {
            "type": "http",
            "asgi": {"version": "3.0"},
            "http_version": "1.1",
            "method": "POST",
            "path": self.path,
            "raw_path": self.path.encode(),
            "query_string": b"",
            "root_path": "",
            "scheme": "http",
            "server": ("node", 80),
            "client": ("caller", 1),
            "headers": [
                (b"authorization", self.authorization.encode()),
                (b"content-type", b"application/json"),
            ],
        }
        await app(scope, self._receive, self._send)

    async def _receive(self) -> Message:
        if not self.body_read:
            self.body_read = True
            return {"type": "http.request", "body": self.body, "more_body": False}
        await self.disconnected.wait()
        return {"type": "http.disconnect"}

    async def _send(self, message: Message) -> None:
        if message["type"] == "http.response.start":
            self.status = message["status"]
        else:
            self.parts.append(message.get("body", b""))


def read_outcome(at: float, query: int, body: bytes) -> tuple[QueryEnded, str | None]:
    """Decode a node's answer into an event and the cursor of the next page."""
    outcome = _body_decoder.decode(body)
    included: tuple[str, ...] = ()
    missing: tuple[str, ...] = ()
    if outcome.coverage is not None:
        included = outcome.coverage.included
        owners = outcome.coverage.missing_by_owner.values()
        missing = tuple(shard.shard for owner in owners for shard in owner.missing)
    event = QueryEnded(
        at=at,
        query=query,
        query_id=outcome.query_id,
        outcome=outcome.outcome,
        reason=outcome.reason,
        detail=outcome.detail,
        version=outcome.version,
        rows=tuple(_row_decoder.decode(row) for row in outcome.rows),
        included=included,
        missing=missing,
    )
    return event, outcome.cursor
