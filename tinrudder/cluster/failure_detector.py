"""Parts of the failure detector: probe order, suspicion timeouts and local health.

Owns the probe order, the local health score and the running suspicions. Relies on
``membership_protocol`` to report the results of probes, and on time and randomness passed in.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from tinrudder.cluster.membership_settings import MembershipSettings

MAX_HEALTH_SCORE = 8
"""Maximum health score, in missed probes: an unhealthy node probes at most nine times as slowly.
Lifeguard's bound."""


class ProbeOrder:
    """Iterates over all members round by round, in an order shuffled for each round.

    Unlike random selection, this bounds the time until every member has been probed.
    """

    def __init__(self, source: random.Random) -> None:
        """Start with an empty round, to be shuffled with ``source``."""
        self._random = source
        self._remaining: list[str] = []

    def next(self, roster: Sequence[str]) -> str | None:
        """Return the next name, or ``None`` if the roster is empty."""
        if not self._remaining:
            self._remaining = list(roster)
            self._random.shuffle(self._remaining)
        return self._remaining.pop() if self._remaining else None

    def add(self, name: str) -> None:
        """Insert a new member at a random position of the current round."""
        self._remaining.insert(self._random.randint(0, len(self._remaining)), name)


class LocalHealth:
    """Local health score: an unhealthy node probes less often and uses longer timeouts.

    Without the score, one node short of CPU time declares healthy nodes dead (Lifeguard).

    >>> health = LocalHealth()
    >>> health.record_failure(2)
    >>> health.scale(0.5)
    1.5
    """

    def __init__(self) -> None:
        """Start with a healthy score of 0."""
        self.score = 0

    def record_success(self) -> None:
        """Lower the score: a probe was answered in time."""
        self.score = max(0, self.score - 1)

    def record_failure(self, amount: int = 1) -> None:
        """Raise the score: a failure occurred that was more likely caused by this node than by
        others."""
        self.score = min(MAX_HEALTH_SCORE, self.score + amount)

    def scale(self, seconds: float) -> float:
        """Return an interval or timeout multiplied according to the score, seconds."""
        return seconds * (1 + self.score)


@dataclass(slots=True)
class Probe:
    """A probe that has not been answered yet.

    :param indirect_at: when indirect probes are requested from relays, monotonic seconds.
    :param ends_at: when the probe fails, monotonic seconds.
    :param relays: number of relays asked.
    :param negative_acknowledgements: number of negative acknowledgements from relays.
    """

    target: str
    sequence: int
    indirect_at: float
    ends_at: float
    relays: int = 0
    negative_acknowledgements: int = 0
    indirect_sent: bool = False

    def is_indirect_due(self, now: float) -> bool:
        """Tell whether indirect probes are due."""
        return not self.indirect_sent and now >= self.indirect_at

    def next_deadline(self) -> float:
        """Return the next time at which this probe needs action, monotonic seconds."""
        return self.ends_at if self.indirect_sent else min(self.indirect_at, self.ends_at)


@dataclass(slots=True)
class _Suspicion:
    incarnation: int
    started_at: float
    shortest_s: float
    longest_s: float
    confirmations_needed: int
    reporters: list[str] = field(default_factory=list)
    deadline: float = 0.0


class Suspicions:
    """Suspected members and the deadlines by which they must refute.

    The suspicion timeout shrinks with every independent confirmation. A single node with bad
    connectivity is therefore slow to declare a member dead, and many nodes that agree are fast
    (Lifeguard).
    """

    def __init__(self, settings: MembershipSettings) -> None:
        """Start without suspicions, with the timeouts of ``settings``."""
        self._settings = settings
        self._suspicions: dict[str, _Suspicion] = {}
        self._heap: list[tuple[float, str, int]] = []

    def start(self, name: str, incarnation: int, reporter: str, now: float, nodes: int) -> None:
        """Start a suspicion; it replaces an existing one of the member."""
        shortest, longest = self._settings.suspicion_range_s(nodes)
        confirmations_needed = max(0, min(self._settings.confirmations, nodes - 2))
        suspicion = _Suspicion(
            incarnation, now, shortest, longest, confirmations_needed, [reporter]
        )
        self._suspicions[name] = suspicion
        self._schedule(name, suspicion)

    def confirm(self, name: str, incarnation: int, reporter: str) -> bool:
        """Add a reporter; return whether it was new and still needed."""
        suspicion = self._suspicions.get(name)
        if suspicion is None or suspicion.incarnation != incarnation:
            return False
        if (
            reporter in suspicion.reporters
            or len(suspicion.reporters) > suspicion.confirmations_needed
        ):
            return False
        suspicion.reporters.append(reporter)
        self._schedule(name, suspicion)
        return True

    def drop(self, name: str) -> None:
        """Remove the suspicion of a member."""
        self._suspicions.pop(name, None)

    def next_deadline(self) -> float:
        """Return when the next suspicion expires, or infinity if there is none."""
        while self._heap:
            deadline, name, incarnation = self._heap[0]
            if self._is_current(deadline, name, incarnation):
                return deadline
            heapq.heappop(self._heap)
        return math.inf

    def expired(self, now: float) -> list[tuple[str, int]]:
        """Remove the expired suspicions; return their members' names and incarnations."""
        found: list[tuple[str, int]] = []
        while self.next_deadline() <= now:
            _, name, incarnation = heapq.heappop(self._heap)
            del self._suspicions[name]
            found.append((name, incarnation))
        return found

    def restart_all(self, now: float) -> None:
        """Restart every suspicion's timeout, which elapsed while this process was paused."""
        for name, suspicion in self._suspicions.items():
            suspicion.started_at = now
            self._schedule(name, suspicion)

    def _schedule(self, name: str, suspicion: _Suspicion) -> None:
        confirmations = len(suspicion.reporters) - 1
        spread = suspicion.longest_s - suspicion.shortest_s
        share = 1.0
        if suspicion.confirmations_needed:
            share = math.log(confirmations + 1) / math.log(suspicion.confirmations_needed + 1)
        timeout = suspicion.longest_s - spread * min(1.0, share)
        suspicion.deadline = suspicion.started_at + timeout
        heapq.heappush(self._heap, (suspicion.deadline, name, suspicion.incarnation))

    def _is_current(self, deadline: float, name: str, incarnation: int) -> bool:
        suspicion = self._suspicions.get(name)
        if suspicion is None:
            return False
        return suspicion.incarnation == incarnation and suspicion.deadline == deadline
