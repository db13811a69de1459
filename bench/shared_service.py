"""A service of four back ends, called by 113 gateways at loads up to four times its capacity.

    python -m bench.shared_service [--seeds 3] [--seconds 20]

Back ends, network and clients are simple models in virtual time; the gateways' observations, load
reports, admission and choice of back ends are the product's code.  Prints a table, then one JSON
array.
"""

from __future__ import annotations

import argparse
import json
import random
import statistics
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial

from bench.fair_queue import VirtualTime
from tinrudder.common.latency_window import LatencyWindow
from tinrudder.gateway.decisions.admission.retry_after import retry_after_by_share_s
from tinrudder.gateway.decisions.admission.shared_service import (
    AdmittedShare,
    decide_admission,
    draw_candidates,
    extra_cost,
    has_room,
    mean_service_time_s,
    min_service_time_s,
)
from tinrudder.gateway.decisions.attempts.fleet_retry_budget import FleetRetryBudget
from tinrudder.gateway.decisions.attempts.hedge_delay import MINIMUM_OBSERVATIONS, typical_latency_s
from tinrudder.gateway.decisions.fleet.peer_load_reports import (
    BATCH_DELAY_S,
    DATAGRAM_BYTES,
    LOAD_BYTES,
    MAX_REPORT_AGE_S,
    RETRY_INTERVAL_S,
    PendingReport,
    PendingReports,
    ReportedLoad,
    apply_report,
    is_long,
    prepare_report,
)
from tinrudder.gateway.decisions.placement.backend_observations import (
    BackendObservations,
    RunningCall,
)

BACKENDS = 4
SLOTS = 4
QUEUE_CAPACITY = 12
"""Most calls that queue at one back end; it sheds further ones."""
WORK_S = 0.251
"""Mean time in seconds for which a call occupies a slot."""
WORK_SIGMA = 0.5
"""Standard deviation of the logarithm of work."""
OBJECTIVE_S = 0.908
DEADLINE_S = 15.0
ONE_WAY_DELAY_S = 0.001
"""Network delay in seconds between a gateway and a back end or another gateway."""
QUIET_S = 20.0
QUIET_LOAD = 0.08
"""Load during the first :data:`QUIET_S`, as a fraction of :data:`CAPACITY`."""
CAPACITY = BACKENDS * SLOTS / WORK_S
"""Calls per second that the back ends can complete."""
LOADS = (0.08, 0.5, 1.0, 1.4, 2.0, 4.0)
"""Offered loads, as fractions of :data:`CAPACITY`."""
MAX_CALLS = 4
"""Most calls for one try of a request."""
RETRY_BACKOFF_S = 0.03
"""Back-off in seconds after a shed call, multiplied by the calls made so far."""
OWN_RETRY_AFTER_S = 0.1
"""Expected wait in seconds that a refusal reports when the retry budget allows no further call."""
ANSWER_MARGIN_S = 0.015
"""Time in seconds before the objective at which an answer leaves."""


@dataclass(eq=False)
class Request:
    """One client request, over both of its tries."""

    sent_at: float
    counted: bool
    tries: int = 0


@dataclass(eq=False)
class ModelBackend:
    """Model of a back end: slots and a first-in, first-out queue."""

    clock: VirtualTime
    source: random.Random
    slowdown: float = 1.0
    running: int = 0
    queue: deque[Callable[[], None]] = field(default_factory=deque)

    def arrive(self, answer: Callable[[tuple[int, int] | None], None]) -> bool:
        """Run, queue or shed a call.

        :param answer: receives the running and the queued calls, or ``None`` if the call is shed.
        """
        if len(self.queue) >= QUEUE_CAPACITY:
            answer(None)
            return False

        def begin() -> None:
            self.running += 1
            spread = self.source.lognormvariate(-(WORK_SIGMA**2) / 2, WORK_SIGMA)
            work_s = WORK_S * self.slowdown * spread
            self.clock.call_at(self.clock.now + work_s, lambda: self._finish(answer))

        self.queue.append(begin)
        self._run()
        return True

    def _finish(self, answer: Callable[[tuple[int, int] | None], None]) -> None:
        self.running -= 1
        answer((self.running, len(self.queue)))
        self._run()

    def _run(self) -> None:
        while self.queue and self.running < SLOTS:
            self.queue.popleft()()


@dataclass(eq=False)
class ModelGateway:
    """State of one gateway, with the product's code for every decision."""

    fleet: Fleet
    budget: FleetRetryBudget
    pending: PendingReports
    unloaded_latencies: LatencyWindow = field(default_factory=LatencyWindow)
    congested_at: float = -MAX_REPORT_AGE_S
    timer_set: bool = False

    def __post_init__(self) -> None:
        """Create the observations of every back end, without any load."""
        self.observations = [BackendObservations(slots=SLOTS) for _ in range(BACKENDS)]
        self.order = self.fleet.source.sample(range(BACKENDS), BACKENDS)

    def typical_service_s(self) -> float:
        """Return the usual service time of a call, in seconds."""
        if len(self.unloaded_latencies) >= MINIMUM_OBSERVATIONS:
            return self.unloaded_latencies.quantile(0.5)
        prior_s = typical_latency_s(LatencyWindow(), self.fleet.objective_s)
        return mean_service_time_s(self.observations) or prior_s

    def decide_admission(
        self, now: float, left_s: float, *, returning: bool, late: bool
    ) -> AdmittedShare:
        """Return the share of such requests to admit."""
        typical_service_s = self.typical_service_s()
        return decide_admission(
            self.observations,
            now,
            typical_service_s,
            left_s,
            priority_steps=0,
            returning=returning,
            late=late,
        )

    def choose(self, now: float, avoided: set[int]) -> int:
        """Return the index of the back end for the next call."""
        fresh = [index for index in range(BACKENDS) if index not in avoided]
        candidates: Sequence[int] = fresh or list(range(BACKENDS))
        candidates = draw_candidates(
            candidates, self.observations.__getitem__, now, self.fleet.source
        )
        extra = {index: 0.0 for index in candidates}
        if len(candidates) == 2:
            least_s = min_service_time_s(self.observations)
            extra = {
                index: extra_cost(self.observations[index], least_s, now) for index in candidates
            }
        return min(
            candidates,
            key=lambda index: (
                self.observations[index].cost(now) + extra[index],
                self.order[index],
            ),
        )

    def announce_load(self, index: int, waiting: int, *, shed: bool) -> None:
        """Queue a back end's new load for the other gateways, if there was pressure recently."""
        now = self.fleet.clock.now
        if shed or is_long(waiting, SLOTS):
            self.congested_at = now
        if now - self.congested_at < MAX_REPORT_AGE_S:
            load_reported_at = self.observations[index].reported_at
            self.pending.note(
                PendingReport(index, shed, self.unloaded_latencies.quantile(0.5), load_reported_at)
            )
            self._schedule_announcement(BATCH_DELAY_S)

    def _schedule_announcement(self, seconds: float) -> None:
        if not self.timer_set:
            self.timer_set = True
            self.fleet.clock.call_at(self.fleet.clock.now + seconds, self._send_announcement)

    def _send_announcement(self) -> None:
        self.timer_set = False
        now = self.fleet.clock.now
        peers = [one for one in self.fleet.gateways if one is not self]
        noted, copies = self.pending.take(now, len(peers))
        loads = (prepare_report(one, self.observations[one.backend], now) for one in noted)
        reported_loads = tuple(one for one in loads if one is not None)
        self.fleet.count["copies"] += copies
        self.fleet.count["bytes"] += copies * (DATAGRAM_BYTES + LOAD_BYTES * len(reported_loads))
        for peer in self.fleet.source.sample(peers, copies):
            self.fleet.clock.call_at(
                now + ONE_WAY_DELAY_S, partial(peer.apply_reports, reported_loads)
            )
        if self.pending:
            self._schedule_announcement(RETRY_INTERVAL_S)

    def apply_reports(self, reported_loads: tuple[ReportedLoad, ...]) -> None:
        """Apply the load reports of another gateway."""
        now = self.fleet.clock.now
        for one in reported_loads:
            if one.is_credible:
                apply_report(one, self.observations[one.backend], now)
                if one.is_long:
                    self.congested_at = max(self.congested_at, now - one.age_s)


@dataclass(eq=False)
class Fleet:
    """Gateways, back ends and clients."""

    load: float
    seconds: float
    seed: int
    size: int = 113
    objective_s: float = OBJECTIVE_S
    slowdown: float = 1.0
    clock: VirtualTime = field(default_factory=VirtualTime)
    count: Counter[str] = field(default_factory=Counter)
    latencies: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Create back ends and gateways."""
        self.source = random.Random(self.seed)
        self.backends = [ModelBackend(self.clock, self.source) for _ in range(BACKENDS)]
        self.backends[0].slowdown = self.slowdown
        self.gateways = [
            ModelGateway(self, FleetRetryBudget(0.2, 290.0, 10.0, 0.0), PendingReports())
            for _ in range(self.size)
        ]

    def run(self) -> dict[str, float]:
        """Run a quiet period, then the load, and return the figures of the load."""
        self._next_arrival()
        self.clock.run_until(QUIET_S + self.seconds + DEADLINE_S)
        requests = max(1, self.count["asked"])
        arrivals = max(1, self.count["arrivals"])
        gateway_s = self.size * self.seconds
        return {
            "in_time_per_s": self.count["in time"] / self.seconds,
            "in_time": self.count["in time"] / requests,
            "late": self.count["late"] / requests,
            "refused": self.count["refused"] / requests,
            "refused_twice": self.count["refused twice"] / requests,
            "shed": self.count["shed"] / arrivals,
            "repeats": self.count["repeats"] / requests,
            "median_s": statistics.median(self.latencies) if self.latencies else 0.0,
            "copies_per_s": self.count["copies"] / gateway_s,
            "bytes_per_s": self.count["bytes"] / gateway_s,
        }

    def _next_arrival(self) -> None:
        now = self.clock.now
        load = self.load if now >= QUIET_S else QUIET_LOAD
        when = now + self.source.expovariate(load * CAPACITY)
        if when < QUIET_S + self.seconds:
            self.clock.call_at(when, self._arrive)

    def _arrive(self) -> None:
        now = self.clock.now
        request = Request(now, counted=now >= QUIET_S)
        self.count["asked"] += request.counted
        self._enter(request)
        self._next_arrival()

    def _enter(self, request: Request) -> None:
        """Let a client try a random gateway."""
        now = self.clock.now
        request.tries += 1
        gateway = self.source.choice(self.gateways)
        left_s = request.sent_at + self.objective_s - ANSWER_MARGIN_S - now
        late = left_s <= 0.0
        if late:
            left_s = self.objective_s - ANSWER_MARGIN_S
        admitted = gateway.decide_admission(now, left_s, returning=request.tries > 1, late=late)
        if self.source.random() >= admitted.share:
            self.refuse(request, admitted)
            return
        gateway.budget.note_request(now)
        Call(self, gateway, request, now + left_s).send()

    def refuse(self, request: Request, admitted: AdmittedShare) -> None:
        """Refuse a request; its client retries once."""
        now = self.clock.now
        left_s = request.sent_at + DEADLINE_S - now
        self.count["refused"] += request.counted
        if request.tries > 1:
            self.count["refused twice"] += request.counted
            return
        chance = self.source.random()
        pause_s = retry_after_by_share_s(admitted.wait_s, admitted.share, left_s, chance)
        self.clock.call_at(now + min(pause_s, left_s / 3), lambda: self._enter(request))

    def served(self, request: Request) -> None:
        """Record an answer."""
        took_s = self.clock.now - request.sent_at
        kind = "in time" if took_s <= self.objective_s else "late"
        self.count[kind] += request.counted
        if request.counted:
            self.latencies.append(took_s)


@dataclass(eq=False)
class Call:
    """The calls for one try of a request, at one gateway."""

    fleet: Fleet
    gateway: ModelGateway
    request: Request
    objective_at: float
    avoided: set[int] = field(default_factory=set)
    tries: int = 0

    def send(self) -> None:
        """Send the next call, or refuse the request if the retry budget is exhausted."""
        fleet, gateway = self.fleet, self.gateway
        now = fleet.clock.now
        if self.tries and not gateway.budget.may_repeat(now, fleet.size, hedge=False):
            fleet.refuse(self.request, AdmittedShare(0.0, OWN_RETRY_AFTER_S))
            return
        fleet.count["repeats"] += self.request.counted and self.tries > 0
        self.tries += 1
        index = gateway.choose(now, self.avoided)
        self.avoided.add(index)
        running = gateway.observations[index].begin(now, gateway.typical_service_s())

        def answer(load: tuple[int, int] | None) -> None:
            fleet.clock.call_at(
                fleet.clock.now + ONE_WAY_DELAY_S, lambda: self._end(index, running, load)
            )

        def arrive() -> None:
            fleet.count["arrivals"] += self.request.counted
            fleet.backends[index].arrive(answer)

        fleet.clock.call_at(now + ONE_WAY_DELAY_S, arrive)

    def _end(self, index: int, running: RunningCall, load: tuple[int, int] | None) -> None:
        fleet, gateway = self.fleet, self.gateway
        now = fleet.clock.now
        observations = gateway.observations[index]
        if load is None:
            fleet.count["shed"] += self.request.counted
            observations.failed(running, now)
            if observations.shed(now):
                gateway.announce_load(index, 0, shed=True)
            self._rejected(now)
            return
        busy, waiting = load
        latency_s = now - running.sent_at
        observations.reported(busy, waiting, SLOTS, now)
        if not waiting:
            gateway.unloaded_latencies.observe(latency_s)
            observations.record_service_time(latency_s)
        observations.answered(running, now)
        gateway.announce_load(index, waiting, shed=False)
        fleet.served(self.request)

    def _rejected(self, now: float) -> None:
        fleet, gateway = self.fleet, self.gateway
        typical_service_s = gateway.typical_service_s()
        left_s = self.objective_at - now
        room = has_room(gateway.observations, now, typical_service_s, left_s)
        if not room or self.tries >= MAX_CALLS:
            admitted = gateway.decide_admission(now, left_s, returning=True, late=False)
            fleet.refuse(self.request, admitted)
        elif self.tries < 2:
            self.send()
        else:
            fleet.clock.call_at(now + RETRY_BACKOFF_S * self.tries, self.send)


def main() -> None:
    """Run all loads."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--size", type=int, default=113)
    parser.add_argument("--objective", type=float, default=OBJECTIVE_S)
    parser.add_argument(
        "--slowdown",
        type=float,
        default=1.0,
        help="factor by which work takes longer at the first back end",
    )
    arguments = parser.parse_args()
    results = []
    print(f"{arguments.size} gateways, {CAPACITY:.1f} requests a second can be done")
    for load in LOADS:
        runs = [
            Fleet(
                load,
                arguments.seconds,
                seed,
                arguments.size,
                arguments.objective,
                arguments.slowdown,
            ).run()
            for seed in range(arguments.seeds)
        ]
        mean = {key: statistics.mean(run[key] for run in runs) for key in runs[0]}
        results.append({"load": load} | mean)
        shown = " ".join(f"{key} {value:.3f}" for key, value in mean.items())
        print(f"{load:4} {shown}", flush=True)
    print(json.dumps(results))


if __name__ == "__main__":
    main()
