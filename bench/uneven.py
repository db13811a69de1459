"""Benefit of replica choice and hedging when back ends differ in speed, in virtual time.

Callers send scatters over 90 shards with three replicas each, whose speed changes over time.  The
product's code chooses replicas and the times of hedges.  An oracle, which knows the state of each
replica when a call is sent, and a random choice show the upper and lower bound::

    python -m bench.uneven --seeds 3 --loads moments,pauses

Prints one line per load, way and kind of scatter: the share of shards included when the answer
leaves at its objective (mean, mean of squares), the share of complete answers, the median time
until they leave, and the calls beyond the first and calls across zones per first call.

Not modelled: the time spent in gateways and connections, and shards delegated to other gateways.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import math
import random
import statistics
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from functools import partial

from tinrudder.common.latency_window import LatencyWindow
from tinrudder.gateway.decisions.attempts.fleet_retry_budget import FleetRetryBudget
from tinrudder.gateway.decisions.attempts.hedge_delay import hedge_delay_s, typical_latency_s
from tinrudder.gateway.decisions.attempts.hedge_gain import HedgeAges
from tinrudder.gateway.decisions.placement.backend_observations import (
    BackendObservations,
    RunningCall,
)
from tinrudder.gateway.decisions.placement.zone_preference import (
    MIN_ADVANTAGE,
    is_slow,
    zone_advantage,
)

SHARDS = 90
REPLICAS = 3
SLOTS = 2
SLOW_PERIOD_S = 0.6
"""Seconds for which a replica is slow, or is not."""
IN_ZONE_S = 0.0002
"""Network delay in seconds within a zone, one way."""
CROSS_ZONE_S = 0.0005
"""Network delay in seconds between zones, one way."""
SEND_S = 0.00006
"""Seconds between the calls of a scatter: 90 leave in 5 ms."""
ANSWER_MARGIN_S = 0.015
"""Seconds before its objective at which an answer leaves."""
SWING = 0.55
"""Relative amplitude of the sinusoidal arrival rate."""
SWING_PERIOD_S = 13.0
BUDGET_RATIO = 0.2
"""Repeats per request that the retry budget allows."""
BUDGET_WINDOW_S = 10.0
CALLERS_SHARE = 0.75
"""Fraction of the fleet's repeats that the callers share."""
DENIED_PAUSE_S = 0.02
"""Seconds until a hedge is tried again that the budget denied."""
WARM_UP_S = 6.0
"""Scatters that begin before this time in seconds are not counted."""
WORK_SIGMA = 0.35
"""Standard deviation of the logarithm of work."""
TAIL_SHARE = 0.01
"""Fraction of calls whose work is longer by :data:`TAIL_FACTOR`."""
TAIL_FACTOR = 5.0
MAX_WORK = 7.5
"""Most work of a call, in multiples of the mean."""
REMEMBERED_S = 1.0
"""Seconds for which ended calls are kept."""
MILLISECONDS = 1000.0


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of scatter."""

    name: str
    per_s: float
    work_s: float
    objective_s: float


@dataclass(frozen=True, slots=True)
class Load:
    """Behaviour of back ends and callers.

    :param slow_share: fraction of the time in which a replica is slow.
    :param long_share: fraction of the replicas that are slower by ``long_factor`` for ``long_s``.
    """

    name: str
    kinds: tuple[Kind, ...]
    callers: int
    pause_s: float
    pause_every_s: float
    extra: float
    slow_share: float = 0.0
    slow_factor: float = 2.5
    long_share: float = 0.0
    long_factor: float = 6.0
    long_from_s: float = 12.0
    long_s: float = 8.0


SEARCH = Kind("table-search", 15.8, 0.042, 0.350)
SUGGEST = Kind("quick-suggest", 5.27, 0.0138, 0.0981)
SWEEP = Kind("transect-sweep", 12.6, 0.030, 0.236)
ALERT = Kind("rare-alert", 7.27, 0.0101, 0.0629)
LOADS = (
    Load("moments", (SEARCH, SUGGEST), 6, 0.25, 6.0, 290.0, slow_share=0.15),
    Load("pauses", (SWEEP, ALERT), 6, 0.2, 4.5, 178.0),
    Load("moments-12", (SEARCH, SUGGEST), 12, 0.25, 6.0, 290.0, slow_share=0.15),
    Load("long", (SEARCH, SUGGEST), 6, 0.25, 6.0, 290.0, slow_share=0.15, long_share=0.15),
    Load("long-pauses", (SWEEP, ALERT), 6, 0.2, 4.5, 178.0, long_share=0.15),
)


class Replica:
    """Model of a back end with slow periods, pauses and slots; computes a call's end on arrival."""

    def __init__(self, load: Load, source: random.Random) -> None:
        """Draw the phases of slow periods and pauses."""
        self._load = load
        self._shift = source.random()
        self._phase = source.random() * load.pause_every_s
        self._is_long = source.random() < load.long_share
        self._free = [0.0] * SLOTS
        self._ends: list[tuple[float, float]] = []
        self._slow_factors: dict[int, float] = {}
        self._source = random.Random(self._shift)

    def slowdown(self, now: float) -> float:
        """Return the factor by which work takes longer now; 1 is normal."""
        load = self._load
        moment = int(now / SLOW_PERIOD_S + self._shift)
        if moment not in self._slow_factors:
            slow = self._source.random() < load.slow_share
            self._slow_factors[moment] = load.slow_factor if slow else 1.0
        factor = self._slow_factors[moment]
        if self._is_long and load.long_from_s <= now < load.long_from_s + load.long_s:
            factor *= load.long_factor
        return factor

    def _after_pauses(self, start: float, work_s: float) -> float:
        """Return when work ends that stops during pauses."""
        load = self._load
        now, left = start, work_s
        while True:
            into = (now + self._phase) % load.pause_every_s
            if into < load.pause_s:
                now += load.pause_s - into
                into = load.pause_s
            until_pause = load.pause_every_s - into
            if left <= until_pause:
                return now + left
            now += until_pause
            left -= until_pause

    def begin(self, now: float) -> float:
        """Return when a call that arrives now would get a slot."""
        return max(now, min(self._free))

    def run(self, now: float, work_s: float) -> float:
        """Run a call; return when it ends."""
        start = self.begin(now)
        slot = self._free.index(min(self._free))
        end = self._after_pauses(start, work_s * self.slowdown(start))
        self._free[slot] = end
        self._ends = [(begun, ended) for begun, ended in self._ends if ended > now - REMEMBERED_S]
        self._ends.append((start, end))
        return end

    def expected_end(self, now: float, work_s: float) -> float:
        """Return when a call of mean work would end."""
        start = self.begin(now)
        return self._after_pauses(start, work_s * self.slowdown(start))

    def report(self, now: float) -> tuple[int, int]:
        """Return the numbers of running and queued calls."""
        running = sum(1 for begun, ended in self._ends if begun <= now < ended)
        waiting = sum(1 for begun, ended in self._ends if begun > now)
        return running, waiting


@dataclass(eq=False, slots=True)
class Call:
    """One call in flight."""

    shard: Shard
    replica: int
    running: RunningCall


@dataclass(eq=False, slots=True)
class Shard:
    """One shard of a scatter."""

    scatter: Scatter
    number: int
    done: bool = False
    tried: list[int] = field(default_factory=list)


@dataclass(eq=False, slots=True)
class Scatter:
    """One scatter in flight."""

    caller: Caller
    kind: Kind
    began_at: float
    leaves_at: float
    included: int = 0
    left_at: float = 0.0
    repeats: int = 0
    across: int = 0


class Caller:
    """One gateway that calls back ends: its observations and its part of the retry budget."""

    def __init__(self, load: Load, zone: int) -> None:
        """Start without observations."""
        self.zone = zone
        self.load = load
        self.observations = [
            [BackendObservations(slots=SLOTS) for _ in range(REPLICAS)] for _ in range(SHARDS)
        ]
        self.latencies = {kind.name: LatencyWindow() for kind in load.kinds}
        self.hedges = {name: HedgeAges(window) for name, window in self.latencies.items()}
        self.budgets = [
            FleetRetryBudget(BUDGET_RATIO, load.extra, BUDGET_WINDOW_S, -BUDGET_WINDOW_S)
            for _ in range(SHARDS)
        ]

    def fill(self, shard: int, now: float) -> float:
        """Return how full the budget for hedges is."""
        return self.budgets[shard].fill(now, self.load.callers / CALLERS_SHARE)

    def may_repeat(self, shard: int, now: float) -> bool:
        """Count one more call if the budget has room for it; return whether it has."""
        return self.budgets[shard].may_repeat(now, self.load.callers / CALLERS_SHARE, hedge=True)


class Way:
    """The product's policy: own zone first, hedges by gain and no later than by medians."""

    name = "product"

    def choose(self, world: World, shard: Shard, candidates: list[int]) -> int:
        """Return the replica for the next call."""
        caller, kind = shard.scatter.caller, shard.scatter.kind
        observations = caller.observations[shard.number]
        local = [one for one in candidates if one == caller.zone]
        advantage = self.advantage(caller, kind, [observations[one] for one in local], world.now)

        def cost(one: int) -> float:
            return observations[one].cost(world.now) + (0.0 if one == caller.zone else advantage)

        return min(candidates, key=cost)

    def advantage(
        self, caller: Caller, kind: Kind, local: Sequence[BackendObservations], now: float
    ) -> float:
        """Return how many usual latencies sooner a replica in another zone must answer."""
        if any(is_slow(observations.expected_relative_latency(now)) for observations in local):
            return MIN_ADVANTAGE
        window = caller.latencies[kind.name]
        typical_time_s = typical_latency_s(window, kind.objective_s)
        hedged_s = hedge_delay_s(window, kind.objective_s, budget_fill=1.0)
        return zone_advantage(typical_time_s, hedged_s, kind.objective_s)

    def hedge_at(self, shard: Shard, now: float) -> float:
        """Return when a call that is sent now is hedged."""
        caller, kind = shard.scatter.caller, shard.scatter.kind
        fill = caller.fill(shard.number, now)
        hedge_ages = caller.hedges[kind.name]
        overdue_at = now + hedge_delay_s(caller.latencies[kind.name], kind.objective_s, fill)
        if not hedge_ages.is_known:
            return overdue_at
        age_s = hedge_ages.age_s(shard.scatter.leaves_at - now, fill)
        return math.inf if age_s is None else min(overdue_at, now + age_s)


class ByMedians(Way):
    """Hedges every call after a number of medians that depends on how full the budget is."""

    name = "hedged by medians"

    def hedge_at(self, shard: Shard, now: float) -> float:
        """Return when a call that is sent now is hedged."""
        caller, kind = shard.scatter.caller, shard.scatter.kind
        fill = caller.fill(shard.number, now)
        return now + hedge_delay_s(caller.latencies[kind.name], kind.objective_s, fill)


class RandomReplica(Way):
    """Chooses replicas at random."""

    name = "random replica"

    def choose(self, world: World, shard: Shard, candidates: list[int]) -> int:
        """Return a random replica."""
        return world.source.choice(candidates)


class Oracle(Way):
    """Knows the slowdown, pauses and queue of each replica when a call is sent."""

    name = "oracle"

    def choose(self, world: World, shard: Shard, candidates: list[int]) -> int:
        """Return the replica that would be first to answer a call of mean work."""
        caller, kind = shard.scatter.caller, shard.scatter.kind
        replicas = world.replicas[shard.number]

        def answered_at(one: int) -> float:
            path_s = IN_ZONE_S if one == caller.zone else CROSS_ZONE_S
            return path_s + replicas[one].expected_end(world.now + path_s, kind.work_s)

        return min(candidates, key=answered_at)


WAYS: tuple[Way, ...] = (RandomReplica(), ByMedians(), Way(), Oracle())


class World:
    """One simulation run.

    :ivar now: virtual time, seconds.
    """

    def __init__(self, load: Load, way: Way, seed: int) -> None:
        """Create replicas and callers."""
        self.source = random.Random(f"{load.name}:{seed}")
        self.load = load
        self.way = way
        self.now = 0.0
        self.replicas = [
            [Replica(load, self.source) for _ in range(REPLICAS)] for _ in range(SHARDS)
        ]
        self.callers = [Caller(load, number % REPLICAS) for number in range(load.callers)]
        self.scatters: list[Scatter] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def schedule(self, when: float, callback: Callable[[], None]) -> None:
        """Schedule a callback."""
        heapq.heappush(self._events, (when, next(self._numbers), callback))

    def play(self, length_s: float) -> None:
        """Run the scatters that arrive within ``length_s`` seconds."""
        for kind in self.load.kinds:
            for when in self._arrivals(kind, length_s):
                self.schedule(when, partial(self._start_scatter, kind))
        while self._events:
            self.now, _, callback = heapq.heappop(self._events)
            callback()

    def _arrivals(self, kind: Kind, length_s: float) -> Iterable[float]:
        """Yield the arrival times of one kind, by thinning a Poisson process."""
        now = 0.0
        while now < length_s:
            now += self.source.expovariate(kind.per_s * (1.0 + SWING))
            rate = 1.0 + SWING * math.sin(2.0 * math.pi * now / SWING_PERIOD_S)
            if self.source.random() < rate / (1.0 + SWING):
                yield now

    def _start_scatter(self, kind: Kind) -> None:
        """Start a scatter at a random caller."""
        caller = self.source.choice(self.callers)
        scatter = Scatter(caller, kind, self.now, self.now + kind.objective_s - ANSWER_MARGIN_S)
        self.scatters.append(scatter)
        self.schedule(scatter.leaves_at, partial(self._send_answer, scatter))
        for number in range(SHARDS):
            self.schedule(
                self.now + number * SEND_S, partial(self._send_first, Shard(scatter, number))
            )

    def _send_first(self, shard: Shard) -> None:
        """Send a shard's first call."""
        shard.scatter.caller.budgets[shard.number].note_request(self.now)
        self._send(shard, list(range(REPLICAS)))

    def _send(self, shard: Shard, candidates: list[int]) -> None:
        """Send a call to one of the candidate replicas."""
        scatter = shard.scatter
        caller, kind = scatter.caller, scatter.kind
        chosen = self.way.choose(self, shard, candidates)
        shard.tried.append(chosen)
        replica = self.replicas[shard.number][chosen]
        across = chosen != caller.zone
        scatter.across += across
        path_s = CROSS_ZONE_S if across else IN_ZONE_S
        typical_time_s = typical_latency_s(caller.latencies[kind.name], kind.objective_s)
        running = caller.observations[shard.number][chosen].begin(self.now, typical_time_s)
        call = Call(shard, chosen, running)
        end = replica.run(self.now + path_s, self._work_s(kind))
        self.schedule(end + path_s, partial(self._answer, call, end))
        self._schedule_hedge(shard)

    def _schedule_hedge(self, shard: Shard) -> None:
        """Schedule the hedge of the call that was sent last."""
        when = self.way.hedge_at(shard, self.now)
        if when < math.inf and len(shard.tried) < REPLICAS:
            self.schedule(max(when, self.now), partial(self._hedge, shard))

    def _hedge(self, shard: Shard) -> None:
        """Send another call if the shard is not done yet and the budget has room."""
        scatter = shard.scatter
        if shard.done or scatter.left_at or len(shard.tried) >= REPLICAS:
            return
        if not scatter.caller.may_repeat(shard.number, self.now):
            self.schedule(self.now + DENIED_PAUSE_S, partial(self._hedge, shard))
            return
        scatter.repeats += 1
        self._send(shard, [one for one in range(REPLICAS) if one not in shard.tried])

    def _answer(self, call: Call, end: float) -> None:
        """Record an answer, with its replica's load and slowdown when it was sent."""
        shard = call.shard
        scatter = shard.scatter
        replica = self.replicas[shard.number][call.replica]
        report = (*replica.report(end), SLOTS)
        slowdown = replica.slowdown(end)
        observations = scatter.caller.observations[shard.number][call.replica]
        observations.reported(*report, self.now, slowdown)
        observations.answered(call.running, self.now)
        scatter.caller.latencies[scatter.kind.name].observe(self.now - call.running.sent_at)
        if shard.done or scatter.left_at:
            return
        shard.done = True
        scatter.included += 1
        if scatter.included == SHARDS:
            scatter.left_at = self.now

    def _send_answer(self, scatter: Scatter) -> None:
        """Let the answer leave with the shards included so far."""
        if not scatter.left_at:
            scatter.left_at = self.now

    def _work_s(self, kind: Kind) -> float:
        """Draw the work of one call."""
        work = self.source.lognormvariate(-WORK_SIGMA * WORK_SIGMA / 2.0, WORK_SIGMA)
        if self.source.random() < TAIL_SHARE:
            work *= TAIL_FACTOR
        return kind.work_s * min(work, MAX_WORK)


@dataclass(frozen=True, slots=True)
class Figures:
    """Results of one kind of scatter.

    :param share: mean share of the shards that are included when the answer leaves.
    :param squares: mean of the squared share, which measures the value of an answer.
    :param whole: share of the answers that include all shards.
    :param left_ms: median time until an answer leaves.
    :param repeats: calls beyond the first, per first call.
    :param across: calls to another zone, per first call.
    """

    scatters: int
    share: float
    squares: float
    whole: float
    left_ms: float
    repeats: float
    across: float


def figures(scatters: Sequence[Scatter]) -> Figures:
    """Summarize the results of scatters."""
    shares = [one.included / SHARDS for one in scatters]
    first_calls = SHARDS * len(scatters)
    return Figures(
        len(scatters),
        statistics.mean(shares),
        statistics.mean(share * share for share in shares),
        statistics.mean(share == 1.0 for share in shares),
        MILLISECONDS * statistics.median(one.left_at - one.began_at for one in scatters),
        sum(one.repeats for one in scatters) / first_calls,
        sum(one.across for one in scatters) / first_calls,
    )


def play(load: Load, way: Way, seeds: Iterable[int], length_s: float) -> dict[str, Figures]:
    """Simulate one run per seed; return the figures of each kind of scatter."""
    scatters_by_kind: dict[str, list[Scatter]] = {kind.name: [] for kind in load.kinds}
    for seed in seeds:
        world = World(load, way, seed)
        world.play(length_s)
        for scatter in world.scatters:
            if scatter.began_at >= WARM_UP_S:
                scatters_by_kind[scatter.kind.name].append(scatter)
    return {name: figures(scatters) for name, scatters in scatters_by_kind.items()}


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=26.0)
    parser.add_argument("--loads", default=",".join(load.name for load in LOADS))
    parser.add_argument("--ways", default=",".join(way.name for way in WAYS))
    options = parser.parse_args()
    loads = [load for load in LOADS if load.name in options.loads.split(",")]
    ways = [way for way in WAYS if way.name in options.ways.split(",")]
    for load, way in itertools.product(loads, ways):
        for kind, mean in play(load, way, range(options.seeds), options.seconds).items():
            print(
                f"{load.name:12} {way.name:20} {kind:14} n {mean.scatters:4} "
                f"share {mean.share:.4f} squares {mean.squares:.4f} whole {mean.whole:.3f} "
                f"left {mean.left_ms:5.1f} ms repeats {mean.repeats:.3f} across {mean.across:.3f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
