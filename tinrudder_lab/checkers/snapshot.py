"""Promise: an answer shows one index version, and so do all pages of a listing.

Checks the versions of the rows, of the calls that back ends completed for the included shards, and
of the pages of one listing.
"""

from __future__ import annotations

from collections.abc import Iterator

from tinrudder_lab.checkers.index import HistoryIndex
from tinrudder_lab.checkers.violation import Promise, Violation
from tinrudder_lab.history import CallStage, Event, History, QueryEnded


def check(history: History, index: HistoryIndex) -> Iterator[Violation]:
    """Find answers with rows of several versions, and listings with pages of several versions."""
    sessions: dict[int, QueryEnded] = {}
    for ended in history.ended.values():
        if ended.version is None:
            continue
        sent = history.sent[ended.query]
        versions = {row.version for row in ended.rows} | {ended.version}
        if len(versions) > 1:
            yield _violation(f"rows of versions {sorted(versions)}", (sent, ended))
        yield from _check_calls(history, index, ended)
        if sent.session is None:
            continue
        first = sessions.setdefault(sent.session, ended)
        if first.version != ended.version:
            yield _violation("pages of different versions", (first, sent, ended))


def _check_calls(history: History, index: HistoryIndex, ended: QueryEnded) -> Iterator[Violation]:
    """Find included shards that back ends completed only at other versions."""
    versions: dict[str, set[int]] = {}
    for call in index.calls_for(history.sent[ended.query], ended):
        if call.stage is CallStage.COMPLETED:
            versions.setdefault(call.shard, set()).add(call.version)
    for shard in ended.included:
        seen = versions.get(shard, set())
        if seen and ended.version not in seen:
            detail = f"{shard} was completed at versions {sorted(seen)}, not {ended.version}"
            yield _violation(detail, (history.sent[ended.query], ended))
            return


def _violation(detail: str, events: tuple[Event, ...]) -> Violation:
    return Violation(Promise.SINGLE_SNAPSHOT, detail, events)
