"""Cache of the index versions that back ends recently refused to serve.

Owns the hints, which expire by an injected clock.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from tinrudder.node.decisions.backend_record import BackendRecord

HINT_LIFETIME_S = 2.0
"""Seconds after which a refusal expires: the back end may be about to load the version."""
MAX_HINTS = 8192
"""Maximum number of hints, which bounds memory.  Beyond it all are cleared; a cleared hint costs a
refused call."""


class VersionHints:
    """Caches refusals for a short time, so that not every query runs into them again.

    A hint expires because the back end may be about to load the version.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Expire hints by ``clock``, monotonic seconds."""
        self._clock = clock
        self._refused_until: dict[tuple[str, str, int], float] = {}

    def record_refusal(self, backend: BackendRecord, index: str, version: int) -> None:
        """Record that a back end does not serve a version."""
        if len(self._refused_until) >= MAX_HINTS:
            self._refused_until.clear()
        self._refused_until[(backend.name, index, version)] = self._clock() + HINT_LIFETIME_S

    def may_serve(self, backend: BackendRecord, index: str, version: int) -> bool:
        """Return ``False`` while a hint says that the back end does not serve a version."""
        if not self._refused_until:
            return True
        until = self._refused_until.get((backend.name, index, version))
        return until is None or until <= self._clock()

    def reachable_share(
        self, replicas: Sequence[tuple[BackendRecord, ...]], index: str, version: int
    ) -> float:
        """Return the fraction of shards with a usable replica.

        :param replicas: the replicas of each shard.
        """
        usable = sum(1 for records in replicas if self._any_usable(records, index, version))
        return usable / len(replicas) if replicas else 0.0

    def _any_usable(self, records: tuple[BackendRecord, ...], index: str, version: int) -> bool:
        return any(not b.leaving and self.may_serve(b, index, version) for b in records)
