"""Adaptive limits of back ends with right or wrong configured slots, or that slow down.

    python -m bench.limits [--seeds 5]

Simulates one node and eight back ends in virtual time, with a noisy tenant that always has calls
queued and light tenants whose latency shows the cost of queues at the back ends.  Prints a table,
then one JSON object.
"""

from __future__ import annotations

import argparse
import json
import random
import statistics
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from bench.fair_queue import VirtualTime, quantile
from tinrudder.node.decisions.backend_record import BackendRecord
from tinrudder.node.decisions.load.backend_limit import AdaptiveLimit
from tinrudder.node.decisions.load.fair_queue import StartTimeFairQueue
from tinrudder.node.decisions.load.pending_calls import PendingCall
from tinrudder.node.resources.model import Priority

BACKENDS = 8
SERVICE_S = 0.01
"""Median service time of a call, in seconds."""
SIGMA = 0.4
"""Standard deviation of the logarithm of service times."""
ONE_WAY_DELAY_S = 0.001
FAN_OUT = 16
"""Calls per query of a light tenant."""
DURATION_S = 20.0
LIGHT_SHARE = 0.5
"""Load of all light tenants, as a fraction of the back ends' capacity."""
HEADROOM = 2.0
"""Multiple of its limit up to which a back end serves tenants well below their share."""


@dataclass(frozen=True, slots=True)
class Case:
    """Configuration and actual behaviour of the back ends.

    :param configured_slots: the node may use all of them and, for tenants well below their
        share, twice as many.
    :param actual_slots: calls that a back end actually runs at once.
    :param queue_capacity: calls that queue at a back end before it sheds.
    :param slow_from_s: time from which every call takes ``slow_factor`` times longer.
    """

    name: str
    configured_slots: int
    actual_slots: int
    queue_capacity: int = 40
    slow_from_s: float = DURATION_S
    slow_factor: float = 1.0


CASES = (
    Case("five as configured", 5, 5),
    Case("two as configured", 2, 2),
    Case("two instead of six", 6, 2),
    Case("same, sheds early", 6, 2, queue_capacity=2),
    Case("5 times slower", 5, 5, slow_from_s=10.0, slow_factor=5.0),
)


@dataclass(eq=False)
class ModelBackend:
    """Model of a back end with slots and a bounded queue."""

    record: BackendRecord
    case: Case
    busy: int = 0
    queue: deque[Callable[[], None]] = field(default_factory=deque)


@dataclass
class Simulation:
    """One simulation run."""

    case: Case
    source: random.Random
    clock: VirtualTime = field(default_factory=VirtualTime)
    latencies: list[float] = field(default_factory=list)
    answered: int = 0
    shed: int = 0

    def __post_init__(self) -> None:
        """Create the back ends."""
        self.queue = StartTimeFairQueue(self.clock.time)
        self.limit = AdaptiveLimit()
        configured_slots = self.case.configured_slots
        self.backends = {}
        for number in range(BACKENDS):
            record = BackendRecord(
                f"b{number}", "127.0.0.1", 1, "z", configured_slots, configured_slots
            )
            record.headroom = HEADROOM
            self.backends[record] = ModelBackend(record, self.case)
        self.records = list(self.backends)

    def run(self) -> None:
        """Simulate ``DURATION_S`` seconds."""
        for _ in range(40 * BACKENDS):
            self._submit_noisy()
        for tenant in ("light-0", "light-1", "light-2"):
            self._light_query(tenant)
        self.clock.run_until(DURATION_S)

    def _submit_noisy(self) -> None:
        self._submit("noisy", self.source.randrange(BACKENDS), self._submit_noisy)

    def _light_query(self, tenant: str) -> None:
        started = self.clock.now
        left = FAN_OUT

        def done() -> None:
            nonlocal left
            left -= 1
            if left == 0:
                self.latencies.append(self.clock.now - started)

        for shard in range(FAN_OUT):
            self._submit(tenant, shard, done)
        capacity = BACKENDS * self.case.actual_slots / SERVICE_S / FAN_OUT
        gap = self.source.expovariate(capacity * LIGHT_SHARE / 3)
        self.clock.call_at(self.clock.now + gap, lambda: self._light_query(tenant))

    def _submit(self, tenant: str, shard: int, done: Callable[[], None]) -> None:
        candidates = (
            self.records[shard % BACKENDS],
            self.records[(shard + 1) % BACKENDS],
        )
        call = PendingCall(
            tenant,
            1,
            Priority.INTERACTIVE,
            1.0,
            candidates,
            0.0,
            lambda backend: self._send(backend, tenant, shard, done),
        )
        self.queue.push(call)
        for backend in candidates:
            self._fill(backend)

    def _fill(self, backend: BackendRecord) -> None:
        while backend.waiting:
            call = None
            if backend.may_send():
                call = self.queue.pop(backend)
            elif backend.may_exceed_limit():
                call = self.queue.pop_above_limit(backend)
            if call is None:
                return
            call.on_dispatch(backend)

    def _send(
        self, record: BackendRecord, tenant: str, shard: int, done: Callable[[], None]
    ) -> None:
        sent_at = self.clock.now
        record.in_flight += 1
        backend = self.backends[record]

        def arrive() -> None:
            if backend.busy < self.case.actual_slots:
                serve()
            elif len(backend.queue) < self.case.queue_capacity:
                backend.queue.append(serve)
            else:
                self.clock.call_at(self.clock.now + ONE_WAY_DELAY_S, rejected)

        def serve() -> None:
            backend.busy += 1
            self.clock.call_at(self.clock.now + self._service_s(), completed)

        def completed() -> None:
            backend.busy -= 1
            self.clock.call_at(self.clock.now + ONE_WAY_DELAY_S, answered)
            if backend.queue:
                backend.queue.popleft()()

        def answered() -> None:
            self.answered += 1
            self.limit.on_answer(record)
            record.in_flight -= 1
            done()
            self._fill(record)

        def rejected() -> None:
            self.shed += 1
            self.limit.on_shed(record, sent_at, self.clock.now)
            record.in_flight -= 1
            self._submit(tenant, shard, done)

        self.clock.call_at(self.clock.now + ONE_WAY_DELAY_S, arrive)

    def _service_s(self) -> float:
        factor = self.case.slow_factor if self.clock.now >= self.case.slow_from_s else 1.0
        return SERVICE_S * factor * self.source.lognormvariate(0.0, SIGMA)


def measure(case: Case, seeds: range) -> dict[str, float]:
    """Return medians over the seeds."""
    runs = [Simulation(case, random.Random(seed)) for seed in seeds]
    for run in runs:
        run.run()
    limits = [statistics.mean(record.limit for record in run.records) for run in runs]
    return {
        "answers_per_s": statistics.median(run.answered / DURATION_S for run in runs),
        "light_p99_ms": statistics.median(quantile(run.latencies, 0.99) * 1e3 for run in runs),
        "shed_share": statistics.median(run.shed / (run.answered + run.shed) for run in runs),
        "last_limit": statistics.median(limits),
    }


def main() -> None:
    """Measure every case."""
    parser = argparse.ArgumentParser(description="Limits of back ends, in virtual time.")
    parser.add_argument("--seeds", type=int, default=5)
    seeds = range(parser.parse_args().seeds)
    results: dict[str, dict[str, float]] = {}
    for case in CASES:
        figures = measure(case, seeds)
        results[case.name] = figures
        row = "  ".join(f"{name} {value:9.3f}" for name, value in figures.items())
        print(f"{case.name:18} {row}", flush=True)
    print(json.dumps(results))


if __name__ == "__main__":
    main()
