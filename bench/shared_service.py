"""A service of four back ends that 113 gateways call, at loads up to four times what it can do.

    python -m bench.shared_service [--seeds 3] [--seconds 20]

Virtual time on a plain model of back ends, network and clients; what gateways know, tell, admit and
choose is the product's own code.  Prints a table, then one JSON object.
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
    mean_work_s,
    min_work_s,
)
from tinrudder.gateway.decisions.attempts.fleet_retry_budget import FleetRetryBudget
from tinrudder.gateway.decisions.attempts.hedge_delay import MINIMUM_OBSERVATIONS, typical_latency_s
from tinrudder.gateway.decisions.fleet.load_news import (
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
QUEUE_PLACES = 12
"""Calls that wait at one back end at most; it turns further ones away."""
WORK_S = 0.251
"""How long a call holds a slot in the mean."""
WORK_SIGMA = 0.5
"""Spread of the logarithm of work."""
OBJECTIVE_S = 0.908
DEADLINE_S = 15.0
ONE_WAY_S = 0.001
"""What the way between a gateway and a back end takes."""
QUIET_S = 20.0
QUIET_LOAD = 0.08
"""Load of the first :data:`QUIET_S`, as a part of what the back ends can do."""
CAPACITY = BACKENDS * SLOTS / WORK_S
"""Calls a second that the back ends can do."""
LOADS = (0.08, 0.5, 1.0, 1.4, 2.0, 4.0)
"""Calls that come, as a part of :data:`CAPACITY`."""
MOST_SENDS = 4
"""Calls of one request at most."""
RETRY_PAUSE_S = 0.03
"""Pause after a call that was turned away, times the calls of its request until then."""
OWN_RETRY_AFTER_S = 0.1
"""Wait that a pause is reckoned from where the budget allows no other call."""
ANSWER_MARGIN_S = 0.015
"""How long before its objective an answer leaves."""


@dataclass(eq=False)
class Request:
    """One request of a client, over both of its tries."""

    sent_at: float
    counted: bool
    tries: int = 0


@dataclass(eq=False)
class ModelBackend:
    """Slots and a queue, first in, first out."""

    clock: VirtualTime
    source: random.Random
    slowdown: float = 1.0
    running: int = 0
    queue: deque[Callable[[], None]] = field(default_factory=deque)

    def arrive(self, answer: Callable[[tuple[int, int] | None], None]) -> bool:
        """Run, queue or shed a call; ``answer`` gets running and waiting, ``None`` if shed."""
        if len(self.queue) >= QUEUE_PLACES:
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
    """What one gateway knows, with the product's code for every decision."""

    fleet: Fleet
    budget: FleetRetryBudget
    pending: PendingReports
    unloaded: LatencyWindow = field(default_factory=LatencyWindow)
    pressed_at: float = -MAX_REPORT_AGE_S
    timer_set: bool = False

    def __post_init__(self) -> None:
        """Know every back end, and nothing of its load."""
        self.known = [BackendObservations(slots=SLOTS) for _ in range(BACKENDS)]
        self.order = self.fleet.source.sample(range(BACKENDS), BACKENDS)

    def usual_s(self) -> float:
        """Return how long calls work."""
        if len(self.unloaded) >= MINIMUM_OBSERVATIONS:
            return self.unloaded.quantile(0.5)
        guess_s = typical_latency_s(LatencyWindow(), self.fleet.objective_s)
        return mean_work_s(self.known) or guess_s

    def decide_admission(
        self, now: float, left_s: float, *, returning: bool, late: bool
    ) -> AdmittedShare:
        """Judge a request."""
        usual_s = self.usual_s()
        return decide_admission(
            self.known,
            now,
            usual_s,
            left_s,
            priority_steps=0,
            returning=returning,
            late=late,
        )

    def choose(self, now: float, avoided: set[int]) -> int:
        """Choose a back end."""
        fresh = [index for index in range(BACKENDS) if index not in avoided]
        candidates: Sequence[int] = fresh or list(range(BACKENDS))
        candidates = draw_candidates(candidates, self.known.__getitem__, now, self.fleet.source)
        extra = {index: 0.0 for index in candidates}
        if len(candidates) == 2:
            least_s = min_work_s(self.known)
            extra = {index: extra_cost(self.known[index], least_s, now) for index in candidates}
        return min(
            candidates,
            key=lambda index: (self.known[index].cost(now) + extra[index], self.order[index]),
        )

    def heard(self, index: int, waiting: int, *, shed: bool) -> None:
        """Tell others of a back end that has just been heard, while there is pressure."""
        now = self.fleet.clock.now
        if shed or is_long(waiting, SLOTS):
            self.pressed_at = now
        if now - self.pressed_at < MAX_REPORT_AGE_S:
            heard_at = self.known[index].reported_at
            self.pending.note(PendingReport(index, shed, self.unloaded.quantile(0.5), heard_at))
            self._tell_after(BATCH_DELAY_S)

    def _tell_after(self, seconds: float) -> None:
        if not self.timer_set:
            self.timer_set = True
            self.fleet.clock.call_at(self.fleet.clock.now + seconds, self._tell)

    def _tell(self) -> None:
        self.timer_set = False
        now = self.fleet.clock.now
        peers = [one for one in self.fleet.gateways if one is not self]
        told, copies = self.pending.take(now, len(peers))
        loads = (prepare_report(one, self.known[one.backend], now) for one in told)
        news = tuple(one for one in loads if one is not None)
        self.fleet.count["copies"] += copies
        self.fleet.count["bytes"] += copies * (DATAGRAM_BYTES + LOAD_BYTES * len(news))
        for peer in self.fleet.source.sample(peers, copies):
            self.fleet.clock.call_at(now + ONE_WAY_S, partial(peer.take, news))
        if self.pending:
            self._tell_after(RETRY_INTERVAL_S)

    def take(self, news: tuple[ReportedLoad, ...]) -> None:
        """Take what another gateway tells."""
        now = self.fleet.clock.now
        for one in news:
            if one.is_credible:
                apply_report(one, self.known[one.backend], now)
                if one.is_long:
                    self.pressed_at = max(self.pressed_at, now - one.age_s)


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
        """Make everything."""
        self.source = random.Random(self.seed)
        self.backends = [ModelBackend(self.clock, self.source) for _ in range(BACKENDS)]
        self.backends[0].slowdown = self.slowdown
        self.gateways = [
            ModelGateway(self, FleetRetryBudget(0.2, 290.0, 10.0, 0.0), PendingReports())
            for _ in range(self.size)
        ]

    def run(self) -> dict[str, float]:
        """Run a quiet time and the load, and return figures of the load."""
        self._next_arrival()
        self.clock.run_until(QUIET_S + self.seconds + DEADLINE_S)
        asked = max(1, self.count["asked"])
        arrivals = max(1, self.count["arrivals"])
        gateway_s = self.size * self.seconds
        return {
            "in_time_per_s": self.count["in time"] / self.seconds,
            "in_time": self.count["in time"] / asked,
            "late": self.count["late"] / asked,
            "refused": self.count["refused"] / asked,
            "refused_twice": self.count["refused twice"] / asked,
            "shed": self.count["shed"] / arrivals,
            "repeats": self.count["repeats"] / asked,
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
        """Let a client try, at any gateway."""
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
        """Answer that a request has not run; its client comes back once."""
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
        """Count an answer."""
        took_s = self.clock.now - request.sent_at
        kind = "in time" if took_s <= self.objective_s else "late"
        self.count[kind] += request.counted
        if request.counted:
            self.latencies.append(took_s)


@dataclass(eq=False)
class Call:
    """The tries of one request at one gateway."""

    fleet: Fleet
    gateway: ModelGateway
    request: Request
    objective_at: float
    avoided: set[int] = field(default_factory=set)
    tries: int = 0

    def send(self) -> None:
        """Send it to one back end."""
        fleet, gateway = self.fleet, self.gateway
        now = fleet.clock.now
        if self.tries and not gateway.budget.may_repeat(now, fleet.size, hedge=False):
            fleet.refuse(self.request, AdmittedShare(0.0, OWN_RETRY_AFTER_S))
            return
        fleet.count["repeats"] += self.request.counted and self.tries > 0
        self.tries += 1
        index = gateway.choose(now, self.avoided)
        self.avoided.add(index)
        running = gateway.known[index].begin(now, gateway.usual_s())

        def answer(load: tuple[int, int] | None) -> None:
            fleet.clock.call_at(
                fleet.clock.now + ONE_WAY_S, lambda: self._end(index, running, load)
            )

        def arrive() -> None:
            fleet.count["arrivals"] += self.request.counted
            fleet.backends[index].arrive(answer)

        fleet.clock.call_at(now + ONE_WAY_S, arrive)

    def _end(self, index: int, running: RunningCall, load: tuple[int, int] | None) -> None:
        fleet, gateway = self.fleet, self.gateway
        now = fleet.clock.now
        known = gateway.known[index]
        if load is None:
            fleet.count["shed"] += self.request.counted
            known.failed(running, now)
            if known.shed(now):
                gateway.heard(index, 0, shed=True)
            self._rejected(now)
            return
        busy, waiting = load
        latency_s = now - running.sent_at
        known.reported(busy, waiting, SLOTS, now)
        if not waiting:
            gateway.unloaded.observe(latency_s)
            known.record_service_time(latency_s)
        known.answered(running, now)
        gateway.heard(index, waiting, shed=False)
        fleet.served(self.request)

    def _rejected(self, now: float) -> None:
        fleet, gateway = self.fleet, self.gateway
        usual_s = gateway.usual_s()
        left_s = self.objective_at - now
        room = has_room(gateway.known, now, usual_s, left_s)
        if not room or self.tries >= MOST_SENDS:
            admitted = gateway.decide_admission(now, left_s, returning=True, late=False)
            fleet.refuse(self.request, admitted)
        elif self.tries < 2:
            self.send()
        else:
            fleet.clock.call_at(now + RETRY_PAUSE_S * self.tries, self.send)


def main() -> None:
    """Run all loads."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--size", type=int, default=113)
    parser.add_argument("--objective", type=float, default=OBJECTIVE_S)
    parser.add_argument("--slowdown", type=float, default=1.0, help="of the first back end")
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
