"""Emulates the metadata store: keys with revisions, paged ranges, watches and outages.

The store can be restored from an older copy: its revision then goes back, and revisions are
issued again.
"""

from __future__ import annotations

import asyncio
import base64
import enum
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

import msgspec

from tinrudder.platform.headers import STORE_EPOCH
from tinrudder.platform.store_client import RANGE_PATH, WATCH_PATH
from tinrudder_lab.emulator.http_server import ServedRequest, ServerConnection, encode_response

PAGE_ITEMS = 50
ANSWER_DELAY_S = 0.004


class StoreMode(enum.Enum):
    """How the store answers one machine."""

    SERVING = "serving"
    REFUSING = "refusing"
    THROTTLING = "throttling"
    SILENT = "silent"
    RESETTING = "resetting"
    DEAF = "deaf"
    SLOW = "slow"


SLOW_FACTOR = 60


@dataclass(slots=True)
class _Item:
    value: bytes | None
    rev: int
    overrides: dict[str, object] | None = None


@dataclass(frozen=True, slots=True)
class _Write:
    """One write, kept so that the store can be restored to an earlier time."""

    at: float
    key: str
    item: _Item


@dataclass(slots=True, eq=False)
class _Watch:
    prefix: str
    after: int
    connection: ServerConnection
    port: int
    done: bool = False


class EmulatedStore:
    """One store with a port for each machine, so that faults can be limited to some machines.

    :ivar calls: number of calls received.
    :ivar reads: number of these calls that were not watches.
    :ivar epoch: number of restores from a copy; sent in every answer unless ``None``.
    """

    def __init__(self, host: str) -> None:
        """Create an empty store at ``host``."""
        self.host = host
        self.modes: dict[int, StoreMode] = {}
        self.calls = 0
        self.reads = 0
        self.revision = 0
        self.epoch: int | None = 0
        self._writes: list[_Write] = []
        self._compacted_revision = 0
        self._items: dict[str, _Item] = {}
        self._watches: list[_Watch] = []
        self._connections: dict[int, set[ServerConnection]] = {}
        self._servers: list[asyncio.Server] = []
        self._loop = asyncio.get_running_loop()

    async def listen(self, port: int) -> None:
        """Listen on the port of one machine."""
        self.modes[port] = StoreMode.SERVING
        self._connections[port] = set()

        def accept() -> ServerConnection:
            connection = ServerConnection(lambda request, conn: self._serve(request, conn, port))
            self._connections[port].add(connection)
            if self.modes[port] is StoreMode.RESETTING:
                self._loop.call_soon(connection.abort)
            return connection

        self._servers.append(await self._loop.create_server(accept, self.host, port))

    def close(self) -> None:
        """Stop listening on all ports."""
        for server in self._servers:
            server.close()

    def set_mode(self, mode: StoreMode, *ports: int) -> None:
        """Set the mode for the machines at ``ports``, or for all machines if none is given."""
        for port in ports or tuple(self.modes):
            self.modes[port] = mode
            if mode is StoreMode.RESETTING:
                for connection in tuple(self._connections[port]):
                    connection.abort()

    def put(self, key: str, document: object) -> int:
        """Write a document as JSON; return its revision."""
        return self.put_bytes(key, msgspec.json.encode(document))

    def put_bytes(self, key: str, value: bytes) -> int:
        """Write bytes as they are; return their revision."""
        self._write(key, value)
        return self.revision

    def put_with_overrides(self, key: str, fields: dict[str, object]) -> int:
        """Write an item whose fields are replaced by ``fields`` in answers; return its revision.

        A field that is ``None`` is left out.
        """
        revision = self.put_bytes(key, b"{}")
        self._items[key].overrides = fields
        return revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        self._write(key, None)

    def value(self, key: str) -> bytes | None:
        """Return the value of a key, ``None`` if it has none."""
        item = self._items.get(key)
        return item.value if item is not None else None

    def revision_of(self, key: str) -> int:
        """Return the revision of a key's newest write, 0 if it was never written."""
        item = self._items.get(key)
        return item.rev if item is not None else 0

    def values(self) -> dict[str, bytes]:
        """Return all keys that have a value."""
        return {key: item.value for key, item in self._items.items() if item.value is not None}

    def watching_ports(self) -> set[int]:
        """Return the ports of the machines that have a watch open."""
        return {watch.port for watch in self._watches}

    def restore(self, age_s: float) -> None:
        """Restore the contents of ``age_s`` ago; open watches are not notified."""
        copied_at = self._loop.time() - age_s
        self._writes = [write for write in self._writes if write.at <= copied_at]
        self._items = {write.key: write.item for write in self._writes}
        self.revision = max((write.item.rev for write in self._writes), default=0)
        self._compacted_revision = min(self._compacted_revision, self.revision)
        if self.epoch is not None:
            self.epoch += 1

    def compact_history(self) -> None:
        """Compact the history and end every watch with 410."""
        self._compacted_revision = self.revision
        for watch in tuple(self._watches):
            self._answer(watch, 410, {"error": "compacted"})

    def _write(self, key: str, value: bytes | None) -> None:
        """Set or remove (``None``) a key's value at the next revision, and notify watches."""
        self.revision += 1
        item = _Item(value, self.revision)
        self._items[key] = item
        self._writes.append(_Write(self._loop.time(), key, item))
        self._notify_watches()

    def _headers(self) -> dict[str, str]:
        """Return the headers of every answer."""
        return {} if self.epoch is None else {STORE_EPOCH.decode(): str(self.epoch)}

    def _serve(self, request: ServedRequest, connection: ServerConnection, port: int) -> None:
        """Handle one call as the machine's mode requires."""
        self.calls += 1
        if not request.target.startswith(WATCH_PATH):
            self.reads += 1
        mode = self.modes[port]
        if mode is StoreMode.SILENT:
            return
        if mode is StoreMode.RESETTING:
            connection.abort()
            return
        if mode in (StoreMode.REFUSING, StoreMode.THROTTLING):
            status = 503 if mode is StoreMode.REFUSING else 429
            connection.write(encode_response(status, self._headers(), b"{}"))
            return
        delay = ANSWER_DELAY_S * (SLOW_FACTOR if mode is StoreMode.SLOW else 1)
        self._loop.call_later(delay, self._answer_call, request, connection, port)

    def _answer_call(self, request: ServedRequest, connection: ServerConnection, port: int) -> None:
        """Dispatch one call by its path."""
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == RANGE_PATH:
            self._answer_range(query, connection)
        elif parts.path == WATCH_PATH:
            self._watch(query, connection, port)
        else:
            connection.write(encode_response(404, self._headers(), b"{}"))

    def _answer_range(self, query: dict[str, str], connection: ServerConnection) -> None:
        prefix, after = query["path_prefix"], query.get("after", "")
        keys = sorted(
            key
            for key, item in self._items.items()
            if key.startswith(prefix) and key > after and item.value is not None
        )
        items = [_document(key, self._items[key]) for key in keys[:PAGE_ITEMS]]
        answer = {"items": items, "more": len(keys) > PAGE_ITEMS, "at": self.revision}
        connection.write(encode_response(200, self._headers(), msgspec.json.encode(answer)))

    def _watch(self, query: dict[str, str], connection: ServerConnection, port: int) -> None:
        watch = _Watch(query["path_prefix"], int(query["after"]), connection, port)
        if not self._compacted_revision <= watch.after <= self.revision:
            self._answer(watch, 410, {"error": "compacted"})
            return
        self._watches.append(watch)
        self._loop.call_later(int(query["wait_ms"]) / 1000, self._answer_watch, watch, True)
        self._answer_watch(watch, False)

    def _notify_watches(self) -> None:
        for watch in tuple(self._watches):
            if self.modes[watch.port] is StoreMode.SERVING:
                self._loop.call_later(ANSWER_DELAY_S, self._answer_watch, watch, False)

    def _answer_watch(self, watch: _Watch, at_end: bool) -> None:
        if watch.done or self.modes[watch.port] is StoreMode.SILENT:
            return
        changed = [
            (item.rev, key)
            for key, item in self._items.items()
            if key.startswith(watch.prefix) and item.rev > watch.after
        ]
        events = [_document(key, self._items[key]) for _, key in sorted(changed)]
        if self.modes[watch.port] is StoreMode.DEAF:
            events = []
        if events or at_end:
            at = self.revision if self.modes[watch.port] is not StoreMode.DEAF else watch.after
            self._answer(watch, 200, {"events": events, "at": at})

    def _answer(self, watch: _Watch, status: int, document: object) -> None:
        watch.done = True
        if watch in self._watches:
            self._watches.remove(watch)
        body = msgspec.json.encode(document)
        watch.connection.write(encode_response(status, self._headers(), body))


def _document(key: str, item: _Item) -> dict[str, object]:
    """Return an item or a removal as it appears in answers."""
    if item.value is None:
        return {"key": key, "rev": item.rev, "gone": True}
    value = base64.b64encode(item.value).decode()
    document = {"key": key, "value": value, "rev": item.rev, "made": item.rev, "lease": 0}
    document |= item.overrides or {}
    return {name: field for name, field in document.items() if field is not None}
