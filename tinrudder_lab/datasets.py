"""Generated rows of both deployments: stock, faults and ledger; seats, orders and events."""

from __future__ import annotations

import hashlib
import random
from dataclasses import dataclass
from typing import Final, NamedTuple

import msgspec

from tinrudder.node.backends.messages import RowMessage, SearchRequest, ShardRows

ROWS_PER_SHARD: Final = 24
ENTITIES: Final = 40
SNACKS: Final = ("alfajor", "yerba", "galletas", "agua", "cafe", "barra")
FAULT_CODES: Final = ("coin-jam", "door-open", "cooling", "no-signal", "spiral-stuck")
SECTORS: Final = ("north", "south", "east", "west", "floor")


class DataRow(msgspec.Struct, frozen=True):
    """One generated row; ``version`` lets a checker detect a mix of snapshots."""

    row_id: str
    time: float
    version: int
    entity: str
    detail: str
    amount: int


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row and its encoded form."""

    row: DataRow
    message: RowMessage


def entity_name(kind: str, number: int) -> str:
    """Return e.g. ``machine-7``."""
    return f"{kind}-{number}"


DETAILS: Final[dict[str, tuple[str, ...]]] = {
    "stock": SNACKS,
    "faults": FAULT_CODES,
    "ledger": ("sale", "refund", "restock"),
    "seats": SECTORS,
    "orders": ("reserved", "paid", "scanned"),
    "events": ("final", "semifinal", "qualifier"),
}


def generate_shard(dataset: str, index: str, version: int, shard: str) -> tuple[StoredRow, ...]:
    """Return a shard's rows, the same for the same arguments, sorted by (time, row id)."""
    seed = hashlib.sha256(f"{index}/{version}/{shard}".encode()).digest()
    source = random.Random(seed)
    details = DETAILS[dataset]
    rows = []
    for number in range(ROWS_PER_SHARD):
        row = DataRow(
            row_id=f"{shard}-{number:04d}",
            time=float(source.randrange(1_000_000)),
            version=version,
            entity=entity_name("entity", source.randrange(ENTITIES)),
            detail=source.choice(details),
            amount=source.randrange(1, 50),
        )
        payload = msgspec.Raw(msgspec.json.encode(row))
        rows.append(StoredRow(row, RowMessage(row.time, row.row_id, payload)))
    rows.sort(key=lambda stored: (stored.row.time, stored.row.row_id))
    return tuple(rows)


class FirstPage(NamedTuple):
    """Cache key of a shard's first page: all parameters that determine its rows."""

    index_name: str
    version: int
    shard: str
    match: tuple[tuple[str, str], ...]
    descending: bool
    limit: int


class ShardStore:
    """Rows of shards, generated on first use and cached."""

    def __init__(self) -> None:
        """Start empty."""
        self._shards: dict[tuple[str, int, str], tuple[StoredRow, ...]] = {}
        self._first_pages: dict[FirstPage, ShardRows] = {}

    def search(self, request: SearchRequest) -> tuple[ShardRows, ...]:
        """Return the matching rows of every requested shard."""
        if request.after is not None:
            return tuple(self._search_shard(request, shard) for shard in request.shards)
        return tuple(self._first_page(request, shard) for shard in request.shards)

    def _first_page(self, request: SearchRequest, shard: str) -> ShardRows:
        """Return a first page from the cache; callers request few distinct first pages."""
        match = tuple(sorted(request.match.items()))
        page = FirstPage(
            request.index, request.version, shard, match, request.descending, request.limit
        )
        if page not in self._first_pages:
            self._first_pages[page] = self._search_shard(request, shard)
        return self._first_pages[page]

    def _search_shard(self, request: SearchRequest, shard: str) -> ShardRows:
        key = (request.index, request.version, shard)
        if key not in self._shards:
            dataset = request.index.split(".")[-1]
            self._shards[key] = generate_shard(dataset, request.index, request.version, shard)
        rows = self._shards[key]
        matching = [stored.message for stored in rows if _matches(stored.row, request.match)]
        if request.descending:
            matching.reverse()
        if request.after is not None:
            after = request.after
            matching = [row for row in matching if _is_after(row, after, request.descending)]
        return ShardRows(shard, tuple(matching[: request.limit]), len(matching) > request.limit)


def _matches(row: DataRow, match: dict[str, str]) -> bool:
    return all(str(getattr(row, field, None)) == value for field, value in match.items())


def _is_after(row: RowMessage, after: tuple[float, str], descending: bool) -> bool:
    position = (row.order, row.row_id)
    return position < after if descending else position > after
