"""Choice of the replica that gets a call for a shard.

Owns no state; reads the back-end records and a clock by which load reports expire.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Protocol

from tinrudder.node.decisions.backend_record import BackendRecord

REPORT_LIFETIME_S = 0.5
"""Seconds over which the weight of a load report falls to 0: reports are delayed, and a false one
must neither attract calls to a back end nor starve it."""
UNKNOWN_LATENCY_S = 1e-6
"""Seconds added to each latency, so that back ends without a known latency still differ by their
calls in flight."""


class ReplicaChoicePolicy(Protocol):
    """Picks one back end from the candidates."""

    def choose(self, candidates: Sequence[BackendRecord]) -> BackendRecord | None:
        """Return one back end, ``None`` if none can take a call."""


class RandomReplica:
    """Picks a random replica that can take a call: the baseline.  Uses no observations."""

    def __init__(self, source: random.Random) -> None:
        """Pick by ``source``."""
        self._random = source

    def choose(self, candidates: Sequence[BackendRecord]) -> BackendRecord | None:
        """Return a random back end that can take a call."""
        open_candidates = [backend for backend in candidates if backend.may_send()]
        if not open_candidates:
            return None
        return self._random.choice(open_candidates)


class LeastLoadedReplica:
    """Picks the replica with the shortest expected answer time, by own observations.

    When to use: always; the default.  Cost: one product per candidate.  Load reports can only raise
    the score of a back end, at most to double, and lose their weight within half a second, so that
    a false report neither attracts calls to a back end nor starves it.
    """

    def __init__(self, clock: Callable[[], float] | None = None) -> None:
        """Expire load reports by ``clock``; without a clock they are ignored."""
        self._clock = clock

    def choose(self, candidates: Sequence[BackendRecord]) -> BackendRecord | None:
        """Return the back end with the lowest score: (in flight + 1) times latency."""
        best: BackendRecord | None = None
        best_score = 0.0
        for backend in candidates:
            if not backend.may_send():
                continue
            score = (backend.in_flight + 1) * (backend.latency_s + UNKNOWN_LATENCY_S)
            if backend.health.reported_others and self._clock is not None:
                score *= 1.0 + _report_weight(backend, self._clock())
            if backend.health.failures_in_row:
                score *= 1 + backend.health.failures_in_row
            if best is None or score < best_score:
                best = backend
                best_score = score
        return best


def _report_weight(backend: BackendRecord, now: float) -> float:
    """Return how much the reported load of other nodes adds to a score, 0 to 1, by report age."""
    age = now - backend.health.reported_at
    if age >= REPORT_LIFETIME_S:
        return 0.0
    load = min(1.0, backend.health.reported_others / backend.slots)
    return load * (1.0 - age / REPORT_LIFETIME_S)
