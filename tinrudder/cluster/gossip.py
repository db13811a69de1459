"""Queue of updates to broadcast by gossip: each is sent a bounded number of times, newest first.

Owns the updates and their transmission counts; callers define by key which update replaces which.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

News = TypeVar("News")


@dataclass(slots=True)
class _Entry(Generic[News]):
    """An update and its size in a datagram, bytes."""

    news: News
    size: int


class BroadcastQueue(Generic[News]):
    """Updates by key, ordered by transmission count, lowest first.

    An update replaces an older one with the same key and starts with no transmissions.

    >>> queue = BroadcastQueue()
    >>> queue.put("a", "a is suspect", 20)
    >>> queue.put("b", "b left", 20)
    >>> queue.put("a", "a is alive", 20)
    >>> queue.take(budget=25, limit=1)
    ('b left',)
    >>> queue.take(budget=100, limit=1), len(queue)
    (('a is alive',), 0)
    """

    def __init__(self) -> None:
        """Start empty."""
        self._rounds: list[dict[str, _Entry[News]]] = [{}]
        self._round_of: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of queued updates."""
        return len(self._round_of)

    def put(self, key: str, news: News, size: int) -> None:
        """Queue an update, replacing an older one with the same key."""
        self.discard(key)
        self._round_of[key] = 0
        self._rounds[0][key] = _Entry(news, size)

    def discard(self, key: str) -> None:
        """Remove the update with this key, if any."""
        number = self._round_of.pop(key, None)
        if number is not None:
            del self._rounds[number][key]

    def take(self, budget: int, limit: int) -> tuple[News, ...]:
        """Return the updates for one datagram and count one more transmission for each.

        :param budget: bytes left in the datagram.
        :param limit: transmissions after which an update is dropped.
        """
        chosen = self._choose(budget)
        for key, number, entry in chosen:
            del self._rounds[number][key]
            self._keep(key, number + 1, entry, limit)
        return tuple(entry.news for _, _, entry in chosen)

    def _choose(self, budget: int) -> list[tuple[str, int, _Entry[News]]]:
        """Return updates with key and transmission count, lowest count first, until one exceeds the
        remaining budget."""
        chosen: list[tuple[str, int, _Entry[News]]] = []
        for number, entries in enumerate(self._rounds):
            for key, entry in entries.items():
                if entry.size > budget:
                    return chosen
                budget -= entry.size
                chosen.append((key, number, entry))
        return chosen

    def _keep(self, key: str, number: int, entry: _Entry[News], limit: int) -> None:
        """Queue an update again under its new transmission count, unless that reached the limit."""
        if number >= limit:
            del self._round_of[key]
            return
        if number == len(self._rounds):
            self._rounds.append({})
        self._rounds[number][key] = entry
        self._round_of[key] = number
