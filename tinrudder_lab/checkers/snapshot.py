"""Promise: an answer, pages included, shows one index version."""

from __future__ import annotations

from collections.abc import Iterator

from tinrudder_lab.checkers.violation import Promise, Violation
from tinrudder_lab.history import Event, History, QueryEnded


def check(history: History) -> Iterator[Violation]:
    """Find answers whose rows are of several versions, and listings whose pages are."""
    sessions: dict[int, QueryEnded] = {}
    for ended in history.ended.values():
        if ended.version is None:
            continue
        sent = history.sent[ended.query]
        versions = {row.version for row in ended.rows} | {ended.version}
        if len(versions) > 1:
            yield _violation(f"rows of versions {sorted(versions)}", (sent, ended))
        if sent.session is None:
            continue
        first = sessions.setdefault(sent.session, ended)
        if first.version != ended.version:
            yield _violation("pages of different versions", (first, sent, ended))


def _violation(detail: str, events: tuple[Event, ...]) -> Violation:
    return Violation(Promise.SINGLE_SNAPSHOT, detail, events)
