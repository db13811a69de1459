"""Refusing a query before anything of it is sent, when it would come too late anyway.

Owns nothing; relies on the call queue for the expected wait and on the records for latency.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from tinrudder.node.decisions.backend_record import BackendRecord
from tinrudder.node.decisions.load.call_queue import CallQueue, Newcomer
from tinrudder.node.resources.model import Priority

TAIL_LATENCIES = 2.0
"""Latencies of the back end that the answer is allowed once its call leaves: most of the tail of a
call.  Chosen, not measured."""
SAFETY_FACTOR = 1.2
"""Factor on the expected time.  Chosen, not measured: a query that is started and fails has cost
its calls, one that is refused nothing."""
MINIMUM_RETRY_AFTER_S = 0.05
"""Seconds after which a refused caller is asked back at the earliest: no busy loop of refusals.
Chosen, not measured."""
MAXIMUM_RETRY_AFTER_S = 5.0
"""Seconds after which it is asked back at the latest: an estimate over longer is a guess.  Chosen,
not measured."""
RETRY_JITTER = 0.5
"""Part by which the time is spread, so that callers refused together do not return together.
Chosen, not measured."""


@dataclass(frozen=True, slots=True)
class QueryDemand:
    """What a query wants of the back ends.

    :param replicas: the back ends of each shard.
    :param needed: how many shards must answer for the query to meet its rule, at least 1.
    :param deadline: monotonic time by which they must.
    """

    tenant: str
    weight: int
    priority: Priority
    replicas: Sequence[tuple[BackendRecord, ...]]
    needed: int
    deadline: float


@dataclass(frozen=True, slots=True)
class Overload:
    """The query would come too late; asking again is worth it after ``retry_after_s``."""

    retry_after_s: float


class AdmissionPolicy(Protocol):
    """Decides at once, without waiting, whether a query is worth starting."""

    def check(self, demand: QueryDemand, now: float) -> Overload | None:
        """Return why the query is refused, ``None`` to start it."""


class ExpectedWaitAdmission:
    """Refuses a query whose last needed shard is expected after its deadline.

    The wait is the tenant's backlog over the pace at which its calls are taken, and after it
    comes the answer itself, for which a tail is allowed.  Nothing is refused where nothing
    waits, so a wrong estimate can't shut a service for good.

    When to use: always; the default.  Cost: a fraction of a microsecond per shard, and only
    where calls wait.
    """

    def __init__(self, queue: CallQueue, source: random.Random) -> None:
        """Estimate from ``queue``; spread the retries of refused callers by ``source``."""
        self._queue = queue
        self._random = source

    def check(self, demand: QueryDemand, now: float) -> Overload | None:
        """Compare the expected time with what the deadline leaves."""
        if not _anything_waits(demand.replicas):
            return None
        added = _added_work(demand.replicas)
        expected_s = self._expected_s(demand, added) * SAFETY_FACTOR
        left_s = demand.deadline - now
        if expected_s <= left_s:
            return None
        return Overload(self._retry_after_s(expected_s - left_s))

    def _expected_s(self, demand: QueryDemand, added: dict[BackendRecord, float]) -> float:
        """Return in how many seconds the last needed shard is expected."""
        expected = {
            backend: self._backend_s(demand, backend, work) for backend, work in added.items()
        }
        by_shard = [_soonest(replicas, expected) for replicas in demand.replicas]
        if demand.needed == len(by_shard):
            return max(by_shard)
        by_shard.sort()
        return by_shard[demand.needed - 1]

    def _backend_s(self, demand: QueryDemand, backend: BackendRecord, added: float) -> float:
        """Return in how many seconds a back end is done with a query's part."""
        seconds_per_work = backend.latency_s / backend.limit
        newcomer = Newcomer(demand.tenant, demand.weight, demand.priority, added, seconds_per_work)
        wait_s = self._queue.expected_wait_s(backend, newcomer)
        return wait_s + TAIL_LATENCIES * backend.latency_s

    def _retry_after_s(self, excess_s: float) -> float:
        """Return when to ask again, spread so that refused callers don't return together."""
        bounded = min(MAXIMUM_RETRY_AFTER_S, max(MINIMUM_RETRY_AFTER_S, excess_s))
        return bounded * (1.0 + RETRY_JITTER * self._random.random())


def _anything_waits(replicas: Sequence[tuple[BackendRecord, ...]]) -> bool:
    """Tell whether calls wait for any of a query's back ends."""
    for backends in replicas:
        for backend in backends:
            if backend.waiting:
                return True
    return False


def _soonest(backends: tuple[BackendRecord, ...], expected: dict[BackendRecord, float]) -> float:
    """Return when the first of a shard's back ends is expected to answer; 0 if none is usable."""
    soonest = math.inf
    for backend in backends:
        seconds = expected.get(backend, math.inf)
        if seconds < soonest:
            soonest = seconds
    return soonest if soonest != math.inf else 0.0


def _added_work(replicas: Sequence[tuple[BackendRecord, ...]]) -> dict[BackendRecord, float]:
    """Return a query's work by back end, each shard in equal parts on its usable replicas."""
    added: dict[BackendRecord, float] = {}
    for backends in replicas:
        usable = _usable(backends)
        for backend in usable:
            added[backend] = added.get(backend, 0.0) + 1.0 / len(usable)
    return added


def _usable(backends: tuple[BackendRecord, ...]) -> tuple[BackendRecord, ...]:
    """Return the back ends that get calls; nearly always all, so nothing is built then."""
    for backend in backends:
        if backend.leaving:
            return tuple(other for other in backends if not other.leaving)
    return backends
