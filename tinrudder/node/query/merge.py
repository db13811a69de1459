"""Merges the sorted rows of many shards into one sorted page.

Owns no state; requires that each shard has sorted its rows in the requested order.
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
    """One page of rows, and the position after which the next page starts if there is one."""

    rows: tuple[Row, ...]
    next_after: tuple[float, str] | None


def merge_rows(
    shards: Iterable[Sequence[RowMessage]], *, descending: bool, limit: int, more: bool
) -> MergedPage:
    """Merge sorted shard rows and truncate them to ``limit``.

    :param more: whether at least one shard has rows beyond those it returned.
    """
    key = attrgetter("order", "row_id")
    merged = heapq.merge(*shards, key=key, reverse=descending)
    page: list[Row] = []
    truncated = False
    for message in merged:
        if len(page) == limit:
            truncated = True
            break
        page.append(Row(message.order, message.row_id, bytes(message.payload)))
    next_after = None
    if page and (truncated or more):
        next_after = (page[-1].order, page[-1].row_id)
    return MergedPage(tuple(page), next_after)
