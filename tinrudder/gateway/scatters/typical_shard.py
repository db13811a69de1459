"""Slots and queue of the median shard of an index, estimated from a sample.

Every scatter calls every shard, so the median shard predicts the queueing of another scatter. Owns
only the sample; depends on the reports of back ends and on the coordination of the index.
"""

from __future__ import annotations

import random
import statistics
from collections.abc import Collection

from tinrudder.gateway.backends.backend_directory import BackendDirectory
from tinrudder.gateway.scatters.coordinators import Coordinators

SAMPLED_SHARDS = 16
"""Shards per sample: reading all 90 shards of an index takes 0.5 ms each time."""


class TypicalShard:
    """The median shard of one index, estimated from a sample."""

    def __init__(
        self,
        index: tuple[str, ...],
        directory: BackendDirectory,
        coordinators: Coordinators,
        random_source: random.Random,
    ) -> None:
        """Sample the shards of ``index`` with ``random_source``."""
        self._index = index
        self._directory = directory
        self._coordinators = coordinators
        self._random = random_source

    def own_slots(self) -> float:
        """Return this gateway's part of the median shard's slots; 0 if none are known."""
        slots = [
            sum(backend.observations.slots for backend in self._directory.active_backends(shard))
            for shard in self._sample(self._index)
        ]
        callers = self._coordinators.of_service(self._index[0]).callers
        return statistics.median(slots) / max(1, callers)

    def queue(self, now: float) -> float | None:
        """Return the median wait for a slot, in typical call times; ``None`` without reports.

        :param now: monotonic time, seconds.
        """
        coordination = self._coordinators.of_service(self._index[0])
        queues: list[float] = []
        for shard in self._sample(coordination.own_shards(self._index)):
            reported = [
                queue
                for backend in self._directory.active_backends(shard)
                if (queue := backend.observations.reported_queue(now)) is not None
            ]
            if reported:
                queues.append(statistics.fmean(reported))
        return statistics.median(queues) if queues else None

    def _sample(self, shards: tuple[str, ...]) -> Collection[str]:
        """Return a random sample of ``shards``."""
        if len(shards) <= SAMPLED_SHARDS:
            return shards
        return self._random.sample(shards, SAMPLED_SHARDS)
