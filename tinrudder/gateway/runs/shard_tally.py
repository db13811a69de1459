"""Counts the shards called by this gateway that have answered or failed in one run.

Owns the counts used to decide when a run ends, and the buffered bytes of answers that wait to be
merged.  The counts are updated with each change of a shard: a scatter is evaluated at least once
per shard, so counting over all shards each time would cost quadratic time.
"""

from __future__ import annotations

from tinrudder.gateway.clients.held_bytes import HeldBytes
from tinrudder.gateway.runs.shard_calls import ShardCalls


class ShardTally:
    """Counts shards with an answer, and those that can no longer get one.

    :ivar included: number of shards that have answered.
    """

    __slots__ = ("_answered", "_failed", "_memory", "_part_bytes", "included")

    def __init__(self, memory: HeldBytes) -> None:
        """Charge the bytes of answers to ``memory``."""
        self.included = 0
        self._answered: set[ShardCalls] = set()
        self._failed: set[ShardCalls] = set()
        self._part_bytes = 0
        self._memory = memory

    @property
    def settled(self) -> int:
        """Number of shards that have answered or can no longer get an answer."""
        return self.included + len(self._failed)

    def update(self, shard: ShardCalls) -> None:
        """Update the counts after a change of one shard."""
        if shard in self._answered:
            return
        if shard.part is not None:
            self._answered.add(shard)
            self.included += 1
            self._hold(len(shard.part.body))
        if shard.may_be_answered or shard.part is not None:
            self._failed.discard(shard)
        else:
            self._failed.add(shard)

    def release(self) -> None:
        """Release the bytes of all answers, which are merged or dropped."""
        self._hold(-self._part_bytes)

    def _hold(self, size: int) -> None:
        """Add bytes of buffered answers, or subtract them if ``size`` is negative."""
        self._part_bytes += size
        self._memory.backends += size
