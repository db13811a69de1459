"""Parts of the failure detector: whom to probe, how long to suspect, how well we are ourselves.

Owns the probe order, the local health score and the running suspicions.  Relies on
``membership_protocol`` to tell it what was answered and on time and randomness passed in.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from tinrudder.cluster.membership_settings import MembershipSettings

MAX_HEALTH_SCORE = 8
"""Most trouble that is counted: an unhealthy node probes at most nine times as slowly.  The bound
of Lifeguard, not measured here."""


class ProbeOrder:
    """Goes round all members in an order shuffled anew every round.

    So the time until every member has been probed is bounded, unlike with random choice.
    """

    def __init__(self, source: random.Random) -> None:
        """Shuffle with ``source``."""
        self._random = source
        self._waiting: list[str] = []

    def next(self, roster: Sequence[str]) -> str | None:
        """Return the next name, ``None`` when the roster is empty."""
        if not self._waiting:
            self._waiting = list(roster)
            self._random.shuffle(self._waiting)
        return self._waiting.pop() if self._waiting else None

    def add(self, name: str) -> None:
        """Put a new member at a random place of the current round."""
        self._waiting.insert(self._random.randint(0, len(self._waiting)), name)


class LocalHealth:
    """How far to trust our own timing: unhealthy nodes probe slower and wait longer.

    Without this, one node short of processor time declares healthy ones dead (Lifeguard).

    >>> health = LocalHealth()
    >>> health.note_trouble(2)
    >>> health.stretch(0.5)
    1.5
    """

    def __init__(self) -> None:
        """Start healthy."""
        self.score = 0

    def note_success(self) -> None:
        """A probe was answered in time."""
        self.score = max(0, self.score - 1)

    def note_trouble(self, amount: int = 1) -> None:
        """Something happened that is more likely our fault than others'."""
        self.score = min(MAX_HEALTH_SCORE, self.score + amount)

    def stretch(self, seconds: float) -> float:
        """Return a timeout adjusted to our health."""
        return seconds * (1 + self.score)


@dataclass(slots=True)
class Probe:
    """One unanswered probe.

    :param indirect_at: when relays are asked, monotonic seconds.
    :param ends_at: when the target counts as not answering.
    """

    target: str
    sequence: int
    indirect_at: float
    ends_at: float
    relays: int = 0
    negative: int = 0
    indirect_sent: bool = False

    def wants_relays(self, now: float) -> bool:
        """Tell whether it is time to probe through others."""
        return not self.indirect_sent and now >= self.indirect_at

    def next_deadline(self) -> float:
        """Return when there is something to do."""
        return self.ends_at if self.indirect_sent else min(self.indirect_at, self.ends_at)


@dataclass(slots=True)
class _Suspicion:
    incarnation: int
    started_at: float
    shortest_s: float
    longest_s: float
    needed: int
    reporters: list[str] = field(default_factory=list)
    deadline: float = 0.0


class Suspicions:
    """Suspects and when each counts as dead unless it refutes.

    The time shrinks with every independent confirmation, so that one node that sees badly is
    slow to convict and many that agree are fast (Lifeguard).
    """

    def __init__(self, settings: MembershipSettings) -> None:
        """Use the times of ``settings``."""
        self._settings = settings
        self._suspicions: dict[str, _Suspicion] = {}
        self._heap: list[tuple[float, str, int]] = []

    def start(self, name: str, incarnation: int, reporter: str, now: float, nodes: int) -> None:
        """Begin to suspect; a newer incarnation starts over."""
        shortest, longest = self._settings.suspicion_range_s(nodes)
        needed = max(0, min(self._settings.confirmations, nodes - 2))
        suspicion = _Suspicion(incarnation, now, shortest, longest, needed, [reporter])
        self._suspicions[name] = suspicion
        self._schedule(name, suspicion)

    def confirm(self, name: str, incarnation: int, reporter: str) -> bool:
        """Count another reporter; return whether it was new and still needed."""
        suspicion = self._suspicions.get(name)
        if suspicion is None or suspicion.incarnation != incarnation:
            return False
        if reporter in suspicion.reporters or len(suspicion.reporters) > suspicion.needed:
            return False
        suspicion.reporters.append(reporter)
        self._schedule(name, suspicion)
        return True

    def drop(self, name: str) -> None:
        """Stop suspecting."""
        self._suspicions.pop(name, None)

    def next_deadline(self) -> float:
        """Return when the next suspicion runs out, infinity for none."""
        while self._heap:
            deadline, name, incarnation = self._heap[0]
            if self._is_current(deadline, name, incarnation):
                return deadline
            heapq.heappop(self._heap)
        return math.inf

    def expired(self, now: float) -> list[tuple[str, int]]:
        """Return and drop suspects whose time is over, with their incarnation."""
        found: list[tuple[str, int]] = []
        while self.next_deadline() <= now:
            _, name, incarnation = heapq.heappop(self._heap)
            del self._suspicions[name]
            found.append((name, incarnation))
        return found

    def restart_all(self, now: float) -> None:
        """Begin every suspicion anew: its time ran while this process did not."""
        for name, suspicion in self._suspicions.items():
            suspicion.started_at = now
            self._schedule(name, suspicion)

    def _schedule(self, name: str, suspicion: _Suspicion) -> None:
        confirmations = len(suspicion.reporters) - 1
        spread = suspicion.longest_s - suspicion.shortest_s
        share = 1.0
        if suspicion.needed:
            share = math.log(confirmations + 1) / math.log(suspicion.needed + 1)
        timeout = suspicion.longest_s - spread * min(1.0, share)
        suspicion.deadline = suspicion.started_at + timeout
        heapq.heappush(self._heap, (suspicion.deadline, name, suspicion.incarnation))

    def _is_current(self, deadline: float, name: str, incarnation: int) -> bool:
        suspicion = self._suspicions.get(name)
        if suspicion is None:
            return False
        return suspicion.incarnation == incarnation and suspicion.deadline == deadline
