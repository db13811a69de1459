"""Stand-in for the platform's metadata store: pages, watches, and the operator's writes."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

from stand_ins.http1 import encode, read_message

PAGE_ITEMS = 500
MS_PER_S = 1000.0


@dataclass
class _Item:
    value: bytes | None
    rev: int
    made: int


class Store:
    """One store; its answers are linearizable, and nothing that it has taken is lost."""

    def __init__(self) -> None:
        """Start empty."""
        self.revision = 0
        self._items: dict[str, _Item] = {}
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._serving: set[asyncio.Task[None]] = set()

    async def listen(self, host: str, port: int) -> None:
        """Accept calls."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._serving:
            task.cancel()

    async def put(self, key: str, document: object) -> None:
        """Write a document; its return is the acknowledgement."""
        await self._write(key, json.dumps(document).encode())

    async def remove(self, key: str) -> None:
        """Remove a key."""
        await self._write(key, None)

    async def _write(self, key: str, value: bytes | None) -> None:
        async with self._changed:
            self.revision += 1
            known = self._items.get(key)
            made = known.made if known is not None and known.value is not None else self.revision
            self._items[key] = _Item(value, self.revision, made)
            self._changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._serving.add(task)
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
                while True:
                    request = await read_message(reader)
                    writer.write(await self._answer(request.start_line.split(" ")[1]))
                    await writer.drain()
        finally:
            self._serving.discard(task)
            writer.close()

    async def _answer(self, target: str) -> bytes:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/v1/kv-range":
            return _json(200, self._range(query))
        if parts.path == "/v1/kv-watch":
            return _json(200, await self._watch(query))
        return _json(404, {})

    def _range(self, query: dict[str, str]) -> dict[str, object]:
        prefix, after = query["path_prefix"], query.get("after", "")
        keys = sorted(
            key
            for key, item in self._items.items()
            if key.startswith(prefix) and key > after and item.value is not None
        )
        items = [_document(key, self._items[key]) for key in keys[:PAGE_ITEMS]]
        return {"items": items, "more": len(keys) > PAGE_ITEMS, "at": self.revision}

    async def _watch(self, query: dict[str, str]) -> dict[str, object]:
        prefix, after = query["path_prefix"], int(query["after"])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["wait_ms"]) / MS_PER_S), self._changed:
                await self._changed.wait_for(lambda: bool(self._events(prefix, after)))
        return {"events": self._events(prefix, after), "at": self.revision}

    def _events(self, prefix: str, after: int) -> list[dict[str, object]]:
        found = [
            (item.rev, key)
            for key, item in self._items.items()
            if key.startswith(prefix) and item.rev > after
        ]
        return [_document(key, self._items[key]) for _, key in sorted(found)]


def _document(key: str, item: _Item) -> dict[str, object]:
    if item.value is None:
        return {"key": key, "rev": item.rev, "gone": True}
    value = base64.b64encode(item.value).decode()
    return {"key": key, "value": value, "rev": item.rev, "made": item.made, "lease": 0}


def _json(status: int, document: object) -> bytes:
    body = json.dumps(document).encode()
    return encode(f"HTTP/1.1 {status} Store", [("Content-Type", "application/json")], body)
