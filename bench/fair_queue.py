"""Tenant shares, isolation and cost of the fair queue, by burst size.

Runs in virtual time on a simple model of back ends.

    python -m bench.fair_queue [--seeds 5]

Prints a table, then one JSON object.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import json
import random
import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from tinrudder.node.decisions.backend_record import BackendRecord
from tinrudder.node.decisions.load.call_queue import CallQueue
from tinrudder.node.decisions.load.fair_queue import StartTimeFairQueue
from tinrudder.node.decisions.load.pending_calls import PendingCall
from tinrudder.node.resources.model import Priority

SERVICE_MEDIAN_S = 0.004
SERVICE_SIGMA = 0.4
"""Standard deviation of the logarithm of service times."""
FAN_OUT = 16
"""Calls per query."""
LIGHT_QUERIES_PER_S = 10.0
NOISY_CALLS_PER_S = 3500.0
NOISY_QUEUE_PLACES = 512
"""Unfinished calls from which on the noisy tenant submits no further query."""
SHARES = (1, 2, 4, 8)
"""Weights of the tenants."""


@dataclass
class VirtualTime:
    """Virtual clock with an event queue."""

    now: float = 0.0
    events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    order: itertools.count[int] = field(default_factory=itertools.count)

    def time(self) -> float:
        """Return virtual seconds."""
        return self.now

    def call_at(self, when: float, callback: Callable[[], None]) -> None:
        """Schedule a callback."""
        heapq.heappush(self.events, (when, next(self.order), callback))

    def run_until(self, end: float) -> None:
        """Run the events up to ``end`` in order of time."""
        while self.events and self.events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self.events)
            callback()
        self.now = end


BURSTS = (0.0, 16.0, 32.0, 64.0, 128.0)
"""Calls by which a tenant may be served ahead of its share after being idle."""


@dataclass
class Service:
    """Back ends with slots, served from one queue."""

    clock: VirtualTime
    queue: CallQueue
    source: random.Random
    backend_count: int = 2
    slots: int = 3
    served: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Create the back ends."""
        self.backends = [
            BackendRecord(f"b{number}", "127.0.0.1", 1, "z", self.slots, self.slots)
            for number in range(self.backend_count)
        ]

    def submit(self, tenant: str, weight: int, shard: int, on_done: Callable[[], None]) -> None:
        """Send one call to a back end with a free slot, or queue it."""
        candidates = tuple(
            self.backends[(shard + step) % self.backend_count]
            for step in range(min(2, self.backend_count))
        )
        call = PendingCall(
            tenant,
            weight,
            Priority.INTERACTIVE,
            1.0,
            candidates,
            0.0,
            lambda backend: self._run(backend, tenant, on_done),
        )
        for backend in candidates:
            if backend.may_send():
                self.queue.charge_unqueued(call, backend)
                call.on_dispatch(backend)
                return
        self.queue.push(call)

    def _run(self, backend: BackendRecord, tenant: str, on_done: Callable[[], None]) -> None:
        backend.in_flight += 1
        seconds = SERVICE_MEDIAN_S * self.source.lognormvariate(0.0, SERVICE_SIGMA)
        self.clock.call_at(
            self.clock.now + seconds, lambda: self._complete(backend, tenant, on_done)
        )

    def _complete(self, backend: BackendRecord, tenant: str, on_done: Callable[[], None]) -> None:
        backend.in_flight -= 1
        self.served[tenant] = self.served.get(tenant, 0) + 1
        while backend.may_send():
            call = self.queue.pop(backend)
            if call is None:
                break
            call.on_dispatch(backend)
        on_done()


def measure_shares(burst: float, seed: int) -> float:
    """Return the largest relative error of the shares 1:2:4:8, all tenants backlogged for 60 s."""
    clock = VirtualTime()
    service = Service(clock, StartTimeFairQueue(clock.time, burst), random.Random(seed))

    def resubmit(tenant: str, weight: int) -> None:
        service.submit(tenant, weight, 0, lambda: resubmit(tenant, weight))

    for weight in SHARES:
        for _ in range(64):
            resubmit(f"t{weight}", weight)
    clock.run_until(60.0)
    total = sum(service.served.values())
    errors = [
        abs(service.served[f"t{weight}"] / total / (weight / sum(SHARES)) - 1) for weight in SHARES
    ]
    return max(errors)


@dataclass
class Isolation:
    """Queries of three light tenants, with or without a noisy tenant."""

    service: Service
    light_arrivals: random.Random
    noisy_arrivals: random.Random
    latencies: list[float] = field(default_factory=list)
    noisy_waiting: int = 0

    def light_query(self, tenant: str) -> None:
        """Submit one query of a light tenant and schedule the next."""
        clock = self.service.clock
        started = clock.now
        left = FAN_OUT

        def done() -> None:
            nonlocal left
            left -= 1
            if left == 0:
                self.latencies.append(clock.now - started)

        for shard in range(FAN_OUT):
            self.service.submit(tenant, 1, shard, done)
        gap = self.light_arrivals.expovariate(LIGHT_QUERIES_PER_S)
        clock.call_at(clock.now + gap, lambda: self.light_query(tenant))

    def noisy_query(self) -> None:
        """Submit one query of the noisy tenant, unless its queue is full, and schedule the next."""
        clock = self.service.clock
        if self.noisy_waiting < NOISY_QUEUE_PLACES:
            for shard in range(FAN_OUT):
                self.noisy_waiting += 1
                self.service.submit("noisy", 1, shard, self._noisy_done)
        gap = self.noisy_arrivals.expovariate(NOISY_CALLS_PER_S / FAN_OUT)
        clock.call_at(clock.now + gap, self.noisy_query)

    def _noisy_done(self) -> None:
        self.noisy_waiting -= 1


def measure_isolation(burst: float, seed: int, *, noisy: bool) -> list[float]:
    """Return the latencies of the light tenants' queries over 60 s, in seconds."""
    clock = VirtualTime()
    service = Service(clock, StartTimeFairQueue(clock.time, burst), random.Random(seed + 2000))
    isolation = Isolation(service, random.Random(seed), random.Random(seed + 1000))
    for number in range(3):
        tenant = f"light{number}"
        clock.call_at(0.01 * number, partial(isolation.light_query, tenant))
    if noisy:
        clock.call_at(0.0, isolation.noisy_query)
    clock.run_until(60.0)
    return isolation.latencies


def measure_stall(burst: float, seed: int) -> float:
    """Return the longest gap between a lone tenant's completions after an equal one arrives."""
    clock = VirtualTime()
    service = Service(clock, StartTimeFairQueue(clock.time, burst), random.Random(seed))
    completed_at: list[float] = []

    def resubmit(tenant: str) -> None:
        if tenant == "incumbent":
            completed_at.append(clock.now)
        service.submit(tenant, 1, 0, lambda: resubmit(tenant))

    def arrive(tenant: str) -> None:
        for _ in range(64):
            resubmit(tenant)

    arrive("incumbent")
    clock.call_at(5.0, lambda: arrive("newcomer"))
    clock.run_until(10.0)
    return max(after - before for before, after in itertools.pairwise(completed_at))


def measure_cost(burst: float, tenants: int, backends: int) -> float:
    """Return microseconds of one push and one pop, with eight calls queued per tenant."""
    queue = StartTimeFairQueue(lambda: 0.0, burst)
    records = [BackendRecord(f"b{n}", "127.0.0.1", 1, "z", 3, 3) for n in range(backends)]

    def call_of(number: int) -> PendingCall:
        candidates = (records[number % backends], records[(number + 1) % backends])
        tenant = f"t{number * 7919 % tenants}"
        return PendingCall(
            tenant, 1, Priority.INTERACTIVE, 1.0, candidates, 0, lambda backend: None
        )

    for number in range(tenants * 8):
        queue.push(call_of(number))
    rounds = 20_000
    calls = [call_of(number) for number in range(rounds)]
    started = time.process_time()
    for number, call in enumerate(calls):
        queue.push(call)
        queue.pop(records[number % backends])
    return (time.process_time() - started) / rounds * 1e6


def quantile(values: list[float], share: float) -> float:
    """Return the quantile ``share`` of the values, by rank."""
    return sorted(values)[min(len(values) - 1, int(len(values) * share))]


def main() -> None:
    """Measure every burst size."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=5)
    seeds = range(parser.parse_args().seeds)
    results: dict[str, dict[str, float]] = {}
    for burst in BURSTS:
        alone = [measure_isolation(burst, seed, noisy=False) for seed in seeds]
        with_noise = [measure_isolation(burst, seed, noisy=True) for seed in seeds]
        ratios = [
            quantile(b, 0.99) / quantile(a, 0.99) for a, b in zip(alone, with_noise, strict=True)
        ]
        results[f"{burst:g}"] = {
            "share_error": statistics.median(measure_shares(burst, seed) for seed in seeds),
            "alone_p99_ms": statistics.median(quantile(a, 0.99) * 1e3 for a in alone),
            "beside_p99_ms": statistics.median(quantile(b, 0.99) * 1e3 for b in with_noise),
            "p99_ratio": statistics.median(ratios),
            "stall_ms": statistics.median(measure_stall(burst, seed) * 1e3 for seed in seeds),
            "us_8_tenants_4_backends": measure_cost(burst, 8, 4),
            "us_500_tenants_4_backends": measure_cost(burst, 500, 4),
            "us_500_tenants_200_backends": measure_cost(burst, 500, 200),
        }
        row = "  ".join(f"{key} {value:8.4f}" for key, value in results[f"{burst:g}"].items())
        print(f"burst {burst:5g} {row}", flush=True)
    print(json.dumps(results))


if __name__ == "__main__":
    main()
