"""Promise: a caller gets one answer, which belongs to its own request and to no other."""

from __future__ import annotations

from collections.abc import Iterator

from tinrudder_lab.checkers.coverage import shard_of
from tinrudder_lab.checkers.index import HistoryIndex
from tinrudder_lab.checkers.oracle import shard_rows
from tinrudder_lab.checkers.violation import Promise, Violation
from tinrudder_lab.datasets import DataRow
from tinrudder_lab.history import Event, History, QueryEnded, QuerySent


def check(history: History, index: HistoryIndex) -> Iterator[Violation]:
    """Find foreign, duplicate and unordered rows, unauthorised answers and second answers."""
    for second in history.duplicate_ends:
        yield _violation("answered twice", (history.sent[second.query], second))
    ids: dict[str, QueryEnded] = {}
    for ended in history.ended.values():
        sent = history.sent[ended.query]
        if ended.query_id:
            first = ids.setdefault(ended.query_id, ended)
            if first is not ended:
                yield _violation("two queries under one id", (first, ended))
        if ended.version is None:
            continue
        if sent.tenant not in index.tenants_of(sent.index):
            yield _violation(f"{sent.tenant} got an answer of {sent.index}", (sent, ended))
        yield from _check_rows(sent, ended)


def _check_rows(sent: QuerySent, ended: QueryEnded) -> Iterator[Violation]:
    foreign = [row.row_id for row in ended.rows if not _is_own(row, sent)]
    if foreign:
        yield _violation(f"rows {foreign} answer another request", (sent, ended))
    order = [(row.time, row.row_id) for row in ended.rows]
    if order != sorted(set(order)):
        yield _violation("rows doubled or out of order", (sent, ended))
    if len(order) > sent.limit:
        yield _violation("more rows than asked for", (sent, ended))


def _is_own(row: DataRow, sent: QuerySent) -> bool:
    """Return whether a row exists and matches the request."""
    if any(str(getattr(row, field)) != value for field, value in sent.match.items()):
        return False
    if sent.after is not None and (row.time, row.row_id) <= sent.after:
        return False
    return row in shard_rows(sent.index, row.version, shard_of(row.row_id))


def _violation(detail: str, events: tuple[Event, ...]) -> Violation:
    return Violation(Promise.OWN_ANSWER, detail, events)
