"""News waiting to be spread: each piece is sent a bounded number of times, newest first.

Owns the pieces and how often each was sent; relies on its users to say what replaces what.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

News = TypeVar("News")


@dataclass(slots=True)
class _Entry(Generic[News]):
    """One piece of news and its size in a datagram, bytes."""

    news: News
    size: int


class BroadcastQueue(Generic[News]):
    """Pieces of news by key, those sent least often first.

    A newer piece under the same key replaces the older one and starts over.

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
        """Return how many pieces wait."""
        return len(self._round_of)

    def put(self, key: str, news: News, size: int) -> None:
        """Add a piece, replacing an older one under the key."""
        self.discard(key)
        self._round_of[key] = 0
        self._rounds[0][key] = _Entry(news, size)

    def discard(self, key: str) -> None:
        """Drop a piece, if it is there."""
        number = self._round_of.pop(key, None)
        if number is not None:
            del self._rounds[number][key]

    def take(self, budget: int, limit: int) -> tuple[News, ...]:
        """Return pieces that fit and count them as sent once more.

        :param budget: bytes left in the datagram.
        :param limit: pieces sent this often are dropped.
        """
        chosen = self._choose(budget)
        for key, number, entry in chosen:
            del self._rounds[number][key]
            self._keep(key, number + 1, entry, limit)
        return tuple(entry.news for _, _, entry in chosen)

    def _choose(self, budget: int) -> list[tuple[str, int, _Entry[News]]]:
        """Return keys, rounds and entries, least often sent first, until the budget is used."""
        chosen: list[tuple[str, int, _Entry[News]]] = []
        for number, entries in enumerate(self._rounds):
            for key, entry in entries.items():
                if entry.size > budget:
                    return chosen
                budget -= entry.size
                chosen.append((key, number, entry))
        return chosen

    def _keep(self, key: str, number: int, entry: _Entry[News], limit: int) -> None:
        """Put a piece that was sent ``number`` times back, unless that was often enough."""
        if number >= limit:
            del self._round_of[key]
            return
        if number == len(self._rounds):
            self._rounds.append({})
        self._rounds[number][key] = entry
        self._round_of[key] = number
