"""Merging sorted rows of many shards into one sorted page.

Pure; relies on each shard to have sorted its rows as asked.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from operator import attrgetter

from tinrudder.node.backends.messages import RowMessage
from tinrudder.node.outcomes import Row


@dataclass(frozen=True, slots=True)
class MergedPage:
    """One page and where the next one starts."""

    rows: tuple[Row, ...]
    next_after: tuple[float, str] | None


def merge_rows(
    shards: Iterable[Sequence[RowMessage]], *, descending: bool, limit: int, more: bool
) -> MergedPage:
    """Merge sorted shard rows and cut them at ``limit``.

    :param more: whether some shard itself has rows beyond those it sent.
    """
    key = attrgetter("order", "row_id")
    merged = heapq.merge(*shards, key=key, reverse=descending)
    page: list[Row] = []
    cut = False
    for message in merged:
        if len(page) == limit:
            cut = True
            break
        page.append(Row(message.order, message.row_id, bytes(message.payload)))
    next_after = None
    if page and (cut or more):
        next_after = (page[-1].order, page[-1].row_id)
    return MergedPage(tuple(page), next_after)
