"""Queue of updates to broadcast by gossip: each is sent a bounded number of times, newest first.

Owns the updates and their transmission counts; callers define by key which update replaces which.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

Update = TypeVar("Update")


@dataclass(slots=True)
class _Entry(Generic[Update]):
    """An update and its size in a datagram, bytes."""

    update: Update
    size: int


class BroadcastQueue(Generic[Update]):
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
        self._by_transmissions: list[dict[str, _Entry[Update]]] = [{}]
        self._transmissions: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of queued updates."""
        return len(self._transmissions)

    def put(self, key: str, update: Update, size: int) -> None:
        """Queue an update, replacing an older one with the same key."""
        self.discard(key)
        self._transmissions[key] = 0
        self._by_transmissions[0][key] = _Entry(update, size)

    def discard(self, key: str) -> None:
        """Remove the update with this key, if any."""
        transmissions = self._transmissions.pop(key, None)
        if transmissions is not None:
            del self._by_transmissions[transmissions][key]

    def take(self, budget: int, limit: int) -> tuple[Update, ...]:
        """Return the updates for one datagram and count one more transmission for each.

        :param budget: bytes left in the datagram.
        :param limit: transmissions after which an update is dropped.
        """
        selected = self._select(budget)
        for key, transmissions, entry in selected:
            del self._by_transmissions[transmissions][key]
            self._requeue(key, transmissions + 1, entry, limit)
        return tuple(entry.update for _, _, entry in selected)

    def _select(self, budget: int) -> list[tuple[str, int, _Entry[Update]]]:
        """Return updates with key and transmission count, lowest count first, until one exceeds the
        remaining budget."""
        selected: list[tuple[str, int, _Entry[Update]]] = []
        for transmissions, entries in enumerate(self._by_transmissions):
            for key, entry in entries.items():
                if entry.size > budget:
                    return selected
                budget -= entry.size
                selected.append((key, transmissions, entry))
        return selected

    def _requeue(self, key: str, transmissions: int, entry: _Entry[Update], limit: int) -> None:
        """Queue an update again under its new transmission count, unless that reached the limit."""
        if transmissions >= limit:
            del self._transmissions[key]
            return
        if transmissions == len(self._by_transmissions):
            self._by_transmissions.append({})
        self._by_transmissions[transmissions][key] = entry
        self._transmissions[key] = transmissions
