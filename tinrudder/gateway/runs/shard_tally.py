"""How far the shards of one run have come that are asked from here.

Owns the counts that the decision on a run needs, and the bytes of the answers that wait for the
others.  It is told of every change of a shard: a scatter is looked at as often as it has shards, so
nothing is counted over all of them.
"""

from __future__ import annotations

from tinrudder.gateway.clients.held_bytes import HeldBytes
from tinrudder.gateway.runs.shard_calls import ShardCalls


class ShardTally:
    """Counts shards with an answer, and those that cannot get one any more.

    :ivar included: how many have answered.
    """

    __slots__ = ("_answered", "_hopeless", "_memory", "_part_bytes", "included")

    def __init__(self, memory: HeldBytes) -> None:
        """Count the bytes of answers in ``memory``."""
        self.included = 0
        self._answered: set[ShardCalls] = set()
        self._hopeless: set[ShardCalls] = set()
        self._part_bytes = 0
        self._memory = memory

    @property
    def settled(self) -> int:
        """Return how many have answered or cannot get an answer any more."""
        return self.included + len(self._hopeless)

    def count(self, shard: ShardCalls) -> None:
        """Take note of a change of one shard."""
        if shard in self._answered:
            return
        if shard.part is not None:
            self._answered.add(shard)
            self.included += 1
            self._hold(len(shard.part.body))
        if shard.hopeful or shard.part is not None:
            self._hopeless.discard(shard)
        else:
            self._hopeless.add(shard)

    def release(self) -> None:
        """Count no bytes any more: the answers are merged or forgotten."""
        self._hold(-self._part_bytes)

    def _hold(self, size: int) -> None:
        """Count bytes of answers that wait for the others, or do not any more."""
        self._part_bytes += size
        self._memory.backends += size
