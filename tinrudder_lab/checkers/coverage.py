"""Promise: the stated coverage is true.

Included and missing shards together are all shards of the index version; this is not checked for
operations, which call one shard.  A back end completed the call of each included shard before the
answer.  The page has all matching rows of the included shards and none of other shards.
"""

from __future__ import annotations

from collections.abc import Iterator

from tinrudder_lab.checkers.index import HistoryIndex
from tinrudder_lab.checkers.oracle import expected_rows
from tinrudder_lab.checkers.violation import Promise, Violation
from tinrudder_lab.history import CallStage, Event, History, QueryEnded


def check(history: History, index: HistoryIndex) -> Iterator[Violation]:
    """Find answers whose stated coverage is false."""
    for ended in history.ended.values():
        if ended.version is None:
            continue
        yield from _check_shards(history, index, ended)
        yield from _check_calls(history, index, ended)
        if history.sent[ended.query].request_key is None:
            yield from _check_rows(history, ended)


def _check_shards(history: History, index: HistoryIndex, ended: QueryEnded) -> Iterator[Violation]:
    sent = history.sent[ended.query]
    if sent.request_key is not None:
        return
    shards = index.shards_of(sent.index, ended.version)
    stated = sorted(ended.included + ended.missing)
    if stated != sorted(shards):
        yield _violation(f"states {len(stated)} shards, has {len(shards)}", (sent, ended))


def _check_calls(history: History, index: HistoryIndex, ended: QueryEnded) -> Iterator[Violation]:
    calls = index.calls_for(history.sent[ended.query], ended)
    completed = {
        call.shard for call in calls if call.stage is CallStage.COMPLETED and call.at <= ended.at
    }
    unconfirmed = [shard for shard in ended.included if shard not in completed]
    if unconfirmed:
        shown = tuple(call for call in calls if call.shard == unconfirmed[0])
        detail = f"includes {unconfirmed}, which no back end had completed"
        yield _violation(detail, (history.sent[ended.query], *shown, ended))


def _check_rows(history: History, ended: QueryEnded) -> Iterator[Violation]:
    sent = history.sent[ended.query]
    assert ended.version is not None
    included = frozenset(ended.included)
    foreign = {shard_of(row.row_id) for row in ended.rows} - included
    if foreign:
        yield _violation(f"rows of {sorted(foreign)}, not included", (sent, ended))
    expected = expected_rows(
        sent.index, ended.version, ended.included, sent.match, sent.after, sent.limit
    )
    absent = {row.row_id for row in expected} - {row.row_id for row in ended.rows}
    if absent:
        yield _violation(f"lacks rows {sorted(absent)} of included shards", (sent, ended))


def shard_of(row_id: str) -> str:
    """Return the shard that a row id names.

    >>> shard_of("s012-0007")
    's012'
    """
    return row_id.rpartition("-")[0]


def _violation(detail: str, events: tuple[Event, ...]) -> Violation:
    return Violation(Promise.TRUE_COVERAGE, detail, events)
