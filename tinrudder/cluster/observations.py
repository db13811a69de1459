"""Observations of back ends by other nodes: short-lived hints that rank below a node's own
observations.

Owns at most one entry per back end, the most recent observation of any node. Messages carry ages
instead of times, and each node adds the time for which it held the entry, so that nodes need not
agree on the clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from tinrudder.cluster.gossip import BroadcastQueue
from tinrudder.cluster.membership_messages import Observation, ObservationKind

TIME_TO_LIVE_S = {
    ObservationKind.RECOVERED: 120.0,
    ObservationKind.DRAINING: 120.0,
    ObservationKind.EJECTED: 10.0,
    ObservationKind.SLOW: 10.0,
}
"""Seconds until an observation expires, by kind: a draining back end stays away for long, while a
slow one may soon be fast again."""
REPEAT_AFTER_S = 4.0
"""Minimum interval between publications of the same observation, seconds: bounds the cost that one
flapping back end causes on all nodes."""
MAX_ENTRIES = 512
"""Maximum number of back ends with an observation: bounds memory."""
MAX_BYTES_IN_DATAGRAM = 400
"""Maximum bytes for observations in a datagram, so that membership updates have room as well."""
_ENTRY_OVERHEAD_BYTES = 32


@dataclass(frozen=True, slots=True)
class Hint:
    """An observation and its current age.

    :param age_s: seconds since ``origin`` made the observation.
    """

    backend: str
    kind: ObservationKind
    origin: str
    age_s: float


@dataclass(slots=True)
class _Entry:
    kind: ObservationKind
    origin: str
    sequence: int
    observed_at: float

    def expired(self, now: float) -> bool:
        """Tell whether the observation has expired."""
        return now - self.observed_at >= TIME_TO_LIVE_S[self.kind]


class Observations:
    """The observations that one node holds and spreads."""

    def __init__(self, own_name: str, first_sequence: int = 0) -> None:
        """Publish observations as ``own_name``.

        :param first_sequence: above all sequence numbers that earlier starts of this node used.
        """
        self._own_name = own_name
        self._sequence = first_sequence
        self._entries: dict[str, _Entry] = {}
        self._queue: BroadcastQueue[str] = BroadcastQueue()

    @property
    def waiting(self) -> bool:
        """Tell whether observations are queued for gossip."""
        return len(self._queue) > 0

    def publish(self, backend: str, kind: ObservationKind, now: float) -> bool:
        """Publish this node's observation; return whether it was queued.

        A repeated observation is not queued within ``REPEAT_AFTER_S``, and ``RECOVERED`` only if
        there is an observation to withdraw.
        """
        known = self._entries.get(backend)
        if kind is ObservationKind.RECOVERED and (known is None or known.expired(now)):
            return False
        if known is not None and known.kind is kind and now - known.observed_at < REPEAT_AFTER_S:
            return False
        self._sequence += 1
        self._store(backend, _Entry(kind, self._own_name, self._sequence, now))
        return True

    def merge(self, received: Observation, now: float) -> bool:
        """Merge another node's observation; return whether it replaced the entry of the back
        end."""
        if received.origin == self._own_name or received.age_s >= TIME_TO_LIVE_S[received.kind]:
            return False
        known = self._entries.get(received.backend)
        observed_at = now - received.age_s
        if known is not None and not _replaces(received, observed_at, known):
            return False
        self._store(
            received.backend, _Entry(received.kind, received.origin, received.sequence, observed_at)
        )
        return True

    def heard(self, now: float) -> tuple[Hint, ...]:
        """Return the observations that have not expired, sorted by back end."""
        self._expire(now)
        return tuple(
            Hint(backend, entry.kind, entry.origin, now - entry.observed_at)
            for backend, entry in sorted(self._entries.items())
            if entry.kind is not ObservationKind.RECOVERED
        )

    def take(self, budget: int, limit: int, now: float) -> tuple[Observation, ...]:
        """Return observations to piggyback, of at most ``budget`` bytes."""
        if not len(self._queue):
            return ()
        self._expire(now)
        names = self._queue.take(min(budget, MAX_BYTES_IN_DATAGRAM), limit)
        return tuple(self._message(name, self._entries[name], now) for name in names)

    def current(self, budget: int, now: float) -> tuple[Observation, ...]:
        """Return current observations of at most ``budget`` bytes, for a node that may be new."""
        room = min(budget, MAX_BYTES_IN_DATAGRAM)
        found = []
        for backend, entry in self._entries.items():
            room -= observation_size(backend, entry.origin)
            if room < 0:
                break
            if not entry.expired(now):
                found.append(self._message(backend, entry, now))
        return tuple(found)

    def _store(self, backend: str, entry: _Entry) -> None:
        """Store an entry; evict the oldest one above ``MAX_ENTRIES``."""
        self._entries[backend] = entry
        self._queue.put(backend, backend, observation_size(backend, entry.origin))
        if len(self._entries) > MAX_ENTRIES:
            oldest = min(self._entries, key=lambda name: self._entries[name].observed_at)
            self._drop(oldest)

    def _expire(self, now: float) -> None:
        expired = [backend for backend, entry in self._entries.items() if entry.expired(now)]
        for backend in expired:
            self._drop(backend)

    def _drop(self, backend: str) -> None:
        del self._entries[backend]
        self._queue.discard(backend)

    @staticmethod
    def _message(backend: str, entry: _Entry, now: float) -> Observation:
        age = now - entry.observed_at
        return Observation(backend, entry.kind, entry.origin, entry.sequence, age)


def observation_size(backend: str, origin: str) -> int:
    """Return an upper bound on an observation's encoded size, bytes."""
    return _ENTRY_OVERHEAD_BYTES + len(backend.encode()) + len(origin.encode())


def _replaces(received: Observation, observed_at: float, known: _Entry) -> bool:
    """Tell whether a received observation replaces the entry of its back end."""
    if received.origin == known.origin:
        return received.sequence > known.sequence
    if received.kind is known.kind:
        return observed_at - known.observed_at > REPEAT_AFTER_S
    return observed_at > known.observed_at
