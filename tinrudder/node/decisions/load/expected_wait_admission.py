"""Admission control: refuses a query that is expected to miss its deadline, before it sends a call.

Owns no state; reads the expected wait from the call queue and the latency from the back-end
records.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from tinrudder.node.decisions.backend_record import BackendRecord
from tinrudder.node.decisions.load.call_queue import CallQueue, IncomingCalls
from tinrudder.node.resources.model import Priority

TAIL_LATENCIES = 2.0
"""Time allowed for an answer after its call is sent, in latencies of the back end: covers most of
the tail."""
SAFETY_FACTOR = 1.2
"""Factor on the expected time: a query that is started and fails wastes its calls, a refused one
costs nothing."""
MINIMUM_RETRY_AFTER_S = 0.05
"""Minimum retry-after of a refusal, in seconds: prevents a busy loop of refusals."""
MAXIMUM_RETRY_AFTER_S = 5.0
"""Maximum retry-after of a refusal, in seconds: an estimate over a longer time is a guess."""
RETRY_JITTER = 0.5
"""Jitter, as a fraction of retry-after, so that callers refused together do not retry together."""


@dataclass(frozen=True, slots=True)
class QueryDemand:
    """Calls that a query needs from the back ends, and by when.

    :param replicas: the back ends of each shard.
    :param needed: number of shards that must answer to satisfy the query's rule, at least 1.
    :param deadline: monotonic time by which they must answer.
    """

    tenant: str
    weight: int
    priority: Priority
    replicas: Sequence[tuple[BackendRecord, ...]]
    needed: int
    deadline: float


@dataclass(frozen=True, slots=True)
class Overload:
    """Refusal: the query would miss its deadline; the caller may retry after ``retry_after_s``."""

    retry_after_s: float


class AdmissionPolicy(Protocol):
    """Decides immediately whether a query is started or refused."""

    def check(self, demand: QueryDemand, now: float) -> Overload | None:
        """Return the refusal, ``None`` to start the query."""


class ExpectedWaitAdmission:
    """Refuses a query whose last needed shard is expected to answer after the deadline.

    The expected time is the wait, which is the tenant's backlog divided by the rate at which its
    calls are taken, plus the answer time with an allowance for the tail.  While no calls wait for
    the query's back ends it is never refused, so a wrong estimate can't block a service for good.

    When to use: always; the default.  Cost: a fraction of a microsecond per shard, and only
    while calls wait.
    """

    def __init__(self, queue: CallQueue, source: random.Random) -> None:
        """Estimate waits from ``queue``; draw the retry jitter from ``source``."""
        self._queue = queue
        self._random = source

    def check(self, demand: QueryDemand, now: float) -> Overload | None:
        """Compare the expected time with the time left until the deadline."""
        if not _any_calls_wait(demand.replicas):
            return None
        added = _added_work(demand.replicas)
        expected_s = self._expected_s(demand, added) * SAFETY_FACTOR
        remaining_s = demand.deadline - now
        if expected_s <= remaining_s:
            return None
        return Overload(self._retry_after_s(expected_s - remaining_s))

    def _expected_s(self, demand: QueryDemand, added: dict[BackendRecord, float]) -> float:
        """Return the expected seconds until the last needed shard answers."""
        expected = {
            backend: self._backend_answer_s(demand, backend, work)
            for backend, work in added.items()
        }
        by_shard = [_earliest_answer_s(replicas, expected) for replicas in demand.replicas]
        if demand.needed == len(by_shard):
            return max(by_shard)
        by_shard.sort()
        return by_shard[demand.needed - 1]

    def _backend_answer_s(self, demand: QueryDemand, backend: BackendRecord, added: float) -> float:
        """Return the expected seconds until a back end has answered its part of a query."""
        seconds_per_work = backend.latency_s / backend.limit
        incoming = IncomingCalls(
            demand.tenant, demand.weight, demand.priority, added, seconds_per_work
        )
        wait_s = self._queue.expected_wait_s(backend, incoming)
        return wait_s + TAIL_LATENCIES * backend.latency_s

    def _retry_after_s(self, excess_s: float) -> float:
        """Return the bounded retry-after, with jitter so that callers don't retry together."""
        bounded = min(MAXIMUM_RETRY_AFTER_S, max(MINIMUM_RETRY_AFTER_S, excess_s))
        return bounded * (1.0 + RETRY_JITTER * self._random.random())


def _any_calls_wait(replicas: Sequence[tuple[BackendRecord, ...]]) -> bool:
    """Tell whether calls wait for any of a query's back ends."""
    for backends in replicas:
        for backend in backends:
            if backend.waiting:
                return True
    return False


def _earliest_answer_s(
    backends: tuple[BackendRecord, ...], expected: dict[BackendRecord, float]
) -> float:
    """Return the expected seconds until a shard's first back end answers; 0 if none is usable."""
    earliest_s = math.inf
    for backend in backends:
        seconds = expected.get(backend, math.inf)
        if seconds < earliest_s:
            earliest_s = seconds
    return earliest_s if earliest_s != math.inf else 0.0


def _added_work(replicas: Sequence[tuple[BackendRecord, ...]]) -> dict[BackendRecord, float]:
    """Return a query's work by back end, each shard split equally over its usable replicas."""
    added: dict[BackendRecord, float] = {}
    for backends in replicas:
        usable = _usable(backends)
        for backend in usable:
            added[backend] = added.get(backend, 0.0) + 1.0 / len(usable)
    return added


def _usable(backends: tuple[BackendRecord, ...]) -> tuple[BackendRecord, ...]:
    """Return the back ends that are not draining; makes no copy if none is."""
    for backend in backends:
        if backend.leaving:
            return tuple(other for other in backends if not other.leaving)
    return backends
