"""Processor time of the decisions per back-end call, by numbers of back ends and tenants.

    python -m bench.decision_cost

Measures the path from submitting a call to the transport and back: replica choice, fair queue,
limit and tenant usage.  Admission is measured separately, per call.  The transport answers
immediately at negligible cost.  Prints a table, then one JSON object.
"""

from __future__ import annotations

import gc
import json
import random
import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from tinrudder.node.backends.messages import (
    Answered,
    BackendCall,
    BackendReply,
    SearchAnswer,
    SearchRequest,
)
from tinrudder.node.decisions.backend_record import BackendRecord
from tinrudder.node.decisions.load.backend_limit import AdaptiveLimit
from tinrudder.node.decisions.load.expected_wait_admission import ExpectedWaitAdmission, QueryDemand
from tinrudder.node.decisions.load.fair_queue import StartTimeFairQueue
from tinrudder.node.decisions.load.pending_calls import PendingCall
from tinrudder.node.decisions.load.tenant_usage import TenantUsageTable
from tinrudder.node.decisions.replica_choice import LeastLoadedReplica
from tinrudder.node.environment import ReplyListener
from tinrudder.node.query.dispatcher import Dispatcher, SentCall
from tinrudder.node.resources.model import Priority
from tinrudder.timers import TimerHandle

FAN_OUT = 130
"""Calls per query."""
SLOTS = 5
CALLS = 20_000
REPEATS = 5
BACKENDS = (10, 130, 1000)
TENANTS = (1, 50, 500)
REQUEST = SearchRequest(0, "index", 1, ("shard",), {}, "time", False, 20, 99)


class StoppedTimers:
    """Clock that does not advance; timers cannot be set."""

    def time(self) -> float:
        """Return the constant time."""
        return 0.0

    def call_at(self, when: float, callback: Callable[..., object], *args: object) -> TimerHandle:
        """Raise: the measured code sets no timers."""
        raise NotImplementedError


@dataclass
class InstantTransport:
    """Transport that records calls and answers them in :meth:`answer_all`."""

    started: list[tuple[BackendCall, ReplyListener]] = field(default_factory=list)

    def start(self, call: BackendCall, listener: ReplyListener) -> None:
        """Record a call."""
        self.started.append((call, listener))

    def cancel(self, call: BackendCall) -> None:
        """Do nothing: a cancelled call is still answered."""

    async def close(self) -> None:
        """Do nothing: there is nothing to close."""

    def answer_all(self) -> None:
        """Answer calls until none is in flight."""
        while self.started:
            started, self.started = self.started, []
            for call, listener in started:
                listener(call, Answered(SearchAnswer(call.call_id, 1, ())))


class Subject:
    """A dispatcher over ``backends`` back ends, with calls of ``tenants`` tenants."""

    def __init__(self, backends: int, tenants: int) -> None:
        """Build the dispatcher and its back ends outside the measurement."""
        self.transport = InstantTransport()
        self.queue = StartTimeFairQueue(lambda: 0.0)
        self.dispatcher = Dispatcher(
            StoppedTimers(),
            self.transport,
            self.queue,
            LeastLoadedReplica(),
            AdaptiveLimit(),
            TenantUsageTable(),
        )
        self.records = [
            BackendRecord(f"b{n}", "127.0.0.1", 1, "z", SLOTS, SLOTS, latency_s=0.004)
            for n in range(backends)
        ]
        self.tenants = [f"t{n}" for n in range(tenants)]

    def replicas(self, number: int) -> tuple[BackendRecord, ...]:
        """Return two back ends."""
        count = len(self.records)
        return (self.records[number % count], self.records[(number + 1) % count])

    def calls(self, count: int) -> list[PendingCall]:
        """Return calls ready to be submitted, ordered by query."""
        return [self._call(number) for number in range(count)]

    def _call(self, number: int) -> PendingCall:
        tenant = self.tenants[number // FAN_OUT % len(self.tenants)]
        return PendingCall(
            tenant, 1, Priority.INTERACTIVE, 1.0, self.replicas(number), 9.0, self._send
        )

    def _send(self, backend: BackendRecord) -> None:
        self.dispatcher.send(backend, REQUEST, 9.0, _ignore_reply)

    def run(self, batch: int) -> float:
        """Return microseconds per call; ``batch`` calls are submitted before any is answered."""
        calls = self.calls(CALLS)
        started = time.process_time()
        for first in range(0, CALLS, batch):
            for call in calls[first : first + batch]:
                self.dispatcher.submit(call)
            self.transport.answer_all()
        return (time.process_time() - started) / CALLS * 1e6

    def run_admission(self) -> float:
        """Return microseconds of admission per call while calls of every tenant are queued."""
        for call in self.calls(max(FAN_OUT, len(self.tenants)) * FAN_OUT):
            self.queue.push(call)
        admission = ExpectedWaitAdmission(self.queue, random.Random(1))
        replicas = [self.replicas(number) for number in range(FAN_OUT)]
        demand = QueryDemand("t0", 1, Priority.INTERACTIVE, replicas, FAN_OUT, 1e9)
        rounds = CALLS // FAN_OUT
        started = time.process_time()
        for _ in range(rounds):
            admission.check(demand, 0.0)
        return (time.process_time() - started) / (rounds * FAN_OUT) * 1e6


def _ignore_reply(sent: SentCall, reply: BackendReply) -> None:
    """Ignore the reply: the query's own work is not measured."""


def measure(backends: int, tenants: int) -> dict[str, float]:
    """Return the median costs at one size, microseconds per call."""
    in_flight = SLOTS * backends
    free = [Subject(backends, tenants).run(max(1, in_flight // 2)) for _ in range(REPEATS)]
    contended = [Subject(backends, tenants).run(4 * in_flight) for _ in range(REPEATS)]
    admission = [Subject(backends, tenants).run_admission() for _ in range(REPEATS)]
    return {
        "free_us": round(statistics.median(free), 3),
        "contended_us": round(statistics.median(contended), 3),
        "admission_us": round(statistics.median(admission), 3),
    }


def main() -> None:
    """Measure every size without the garbage collector, which the daemon also runs rarely."""
    gc.disable()
    results = {}
    for backends in BACKENDS:
        for tenants in TENANTS:
            figures = measure(backends, tenants)
            gc.collect()
            results[f"{backends}_backends_{tenants}_tenants"] = figures
            row = "  ".join(f"{name} {value:7.3f}" for name, value in figures.items())
            print(f"{backends:5} back ends {tenants:4} tenants  {row}", flush=True)
    worst = max(max(f["free_us"], f["contended_us"]) + f["admission_us"] for f in results.values())
    print(json.dumps({"decision_us": round(worst, 3), "sizes": results}))


if __name__ == "__main__":
    main()
