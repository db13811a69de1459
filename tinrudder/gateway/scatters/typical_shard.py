"""What the typical shard of an index is like: its slots for this gateway, and its queue.

Every scatter asks every shard, so the median shard says what one more scatter meets. Owns nothing
but the sample; relies on what back ends report and on who else calls them.
"""

from __future__ import annotations

import random
import statistics
from collections.abc import Collection

from tinrudder.gateway.backends.backend_directory import BackendDirectory
from tinrudder.gateway.scatters.coordinators import Coordinators

SAMPLED_SHARDS = 16
"""So many shards tell what the typical one is like; all 90 of an index cost 0.5 ms each time."""


class TypicalShard:
    """The median shard of one index, by a sample."""

    def __init__(
        self,
        index: tuple[str, ...],
        directory: BackendDirectory,
        coordinators: Coordinators,
        random_source: random.Random,
    ) -> None:
        """Sample the shards of ``index`` by ``random_source``."""
        self._index = index
        self._directory = directory
        self._coordinators = coordinators
        self._random = random_source

    def own_slots(self) -> float:
        """Return this gateway's part of the slots of the typical shard; 0: none is known."""
        slots = [
            sum(backend.observations.slots for backend in self._directory.staying(shard))
            for shard in self._sample(self._index)
        ]
        callers = self._coordinators.of_service(self._index[0]).callers
        return statistics.median(slots) / max(1, callers)

    def queue(self, now: float) -> float | None:
        """Return the wait for a slot there, in usual times of a call; ``None``: nobody reported.

        :param now: monotonic time, seconds.
        """
        coordination = self._coordinators.of_service(self._index[0])
        queues: list[float] = []
        for shard in self._sample(coordination.own_shards(self._index)):
            reported = [
                queue
                for backend in self._directory.staying(shard)
                if (queue := backend.observations.reported_queue(now)) is not None
            ]
            if reported:
                queues.append(statistics.fmean(reported))
        return statistics.median(queues) if queues else None

    def _sample(self, shards: tuple[str, ...]) -> Collection[str]:
        """Return some shards by chance."""
        if len(shards) <= SAMPLED_SHARDS:
            return shards
        return self._random.sample(shards, SAMPLED_SHARDS)
