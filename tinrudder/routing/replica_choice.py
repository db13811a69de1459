"""Which replica of a shard gets a call."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Protocol

from tinrudder.routing.backend_record import BackendRecord


class ReplicaChoicePolicy(Protocol):
    """Picks one back end among those that may be sent to."""

    def choose(self, candidates: Sequence[BackendRecord]) -> BackendRecord | None:
        """Return the chosen back end, ``None`` when none has room."""


class RandomReplica:
    """Any replica with room: the baseline.  Costs nothing and learns nothing."""

    def __init__(self, source: random.Random) -> None:
        """Draw from ``source``."""
        self._random = source

    def choose(self, candidates: Sequence[BackendRecord]) -> BackendRecord | None:
        """Return a random back end with room."""
        open_candidates = [backend for backend in candidates if backend.may_send()]
        if not open_candidates:
            return None
        return self._random.choice(open_candidates)


class LeastLoadedReplica:
    """The replica whose next answer is expected soonest, by own observations."""

    def choose(self, candidates: Sequence[BackendRecord]) -> BackendRecord | None:
        """Return the back end with the lowest (in flight + 1) times latency."""
        best: BackendRecord | None = None
        best_score = 0.0
        for backend in candidates:
            if not backend.may_send():
                continue
            score = (backend.in_flight + 1) * (backend.latency_s + 1e-6)
            if best is None or score < best_score:
                best = backend
                best_score = score
        return best
