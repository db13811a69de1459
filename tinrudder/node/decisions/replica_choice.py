"""Which replica of a shard gets a call.

Owns nothing; relies on the back-end records and on a clock that ages load reports.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Protocol

from tinrudder.node.decisions.backend_record import BackendRecord

REPORT_LIFETIME_S = 0.5
"""Seconds in which a load report loses its weight: reports lag, and a lying one must neither
attract nor starve.  Chosen, not measured."""
UNKNOWN_LATENCY_S = 1e-6
"""Seconds added to each latency, so that back ends of which none is known still differ by their
calls in flight."""


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
    """The replica whose next answer is expected soonest, by own observations.

    When to use: always; the default.  Cost: one product a candidate.  Load reports only add to
    what is in flight from here, lose their weight within half a second, and can at most double
    a back end's score, so that a lying report neither attracts nor starves.
    """

    def __init__(self, clock: Callable[[], float] | None = None) -> None:
        """Age load reports by ``clock``; without one they are not used."""
        self._clock = clock

    def choose(self, candidates: Sequence[BackendRecord]) -> BackendRecord | None:
        """Return the back end with the lowest (in flight + 1) times latency."""
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
    """Return what others' calls add to a score, 0 to 1; old reports count less."""
    age = now - backend.health.reported_at
    if age >= REPORT_LIFETIME_S:
        return 0.0
    load = min(1.0, backend.health.reported_others / backend.slots)
    return load * (1.0 - age / REPORT_LIFETIME_S)
