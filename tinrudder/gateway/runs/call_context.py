"""What all requests of a gateway share: back ends, budgets, latencies, names, clock.

Owns what is learnt of routes and services while the process runs, and drops it when no
configuration names them any more.  Relies on the directory for what is known of each back end.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Protocol

from msgspec import Struct, field

from tinrudder.common.latency_window import LatencyWindow
from tinrudder.gateway.backends.backend import Backend
from tinrudder.gateway.backends.backend_directory import BackendDirectory
from tinrudder.gateway.backends.load_reports import LoadReports
from tinrudder.gateway.clients.memory_account import MemoryAccount
from tinrudder.gateway.decisions.admission.shared_service import (
    has_room,
    work_s_of,
)
from tinrudder.gateway.decisions.attempts.fleet_retry_budget import FleetRetryBudget
from tinrudder.gateway.decisions.attempts.hedge_delay import (
    MINIMUM_OBSERVATIONS,
    usual_latency_s,
)
from tinrudder.gateway.decisions.attempts.hedge_gain import HedgeMoments
from tinrudder.gateway.decisions.placement.backend_observations import BackendObservations
from tinrudder.gateway.decisions.placement.shard_placement import ScatterSizes
from tinrudder.gateway.model.configuration import HeaderNames, RepeatBounds, Route
from tinrudder.gateway.runs.run_guard import CrashEvidence

MEDIAN = 0.5
"""The quantile that stands for how long calls without a queue take.  Chosen, not measured: unlike a
mean, or a high quantile, it stays put while a part of the back ends is slow."""
SIZE_GAIN = 0.1
"""Weight of the latest answer in the mean size of answers, a share.  Chosen, not measured: some ten
answers make the mean, so that a single odd one hardly moves it."""


class CallCounters(Struct):
    """Counts since the start of the process; each is a metric, see its text there.

    :param repeats_denied: repeats that the budget did not allow.
    :param relayed: scatters handed to a coordinator; ``relays_failed``: coordinators that did not
        serve one; ``relays_run_here``: scatters run here since none did.
    :param coordinated: scatters merged for other gateways.
    :param delegated: groups of shards that another gateway was to ask; ``delegations_run_here``:
        that were asked from here after it did not.
    """

    requests: int = 0
    calls: int = 0
    hedges: int = 0
    retries: int = 0
    repeats_denied: int = 0
    rejections: int = 0
    broken: int = 0
    connections_opened: int = 0
    clients_left: int = 0
    refused: int = 0
    relayed: int = 0
    relays_failed: int = 0
    relays_run_here: int = 0
    coordinated: int = 0
    delegated: int = 0
    delegations_run_here: int = 0


class ZoneAdvantage(Struct, frozen=True):
    """By how much back ends of other zones must be faster, in usual latencies.

    :param at: when this was worked out, by the loop's clock; other routes and times differ.
    """

    route: Route
    at: float
    advantage: float


class LoadListener(Protocol):
    """Is told of the load of back ends that many gateways may call."""

    def heard(self, backend: Backend, *, shed: bool, work_s: float) -> None:
        """Take note that a back end has answered, and what it reported is known."""


class NoLoadListener:
    """Passes on nothing, where there are no other gateways."""

    def heard(self, backend: Backend, *, shed: bool, work_s: float) -> None:
        """Do nothing."""


class CallContext(Struct):
    """Everything a request needs besides its own state.

    :param sharers: tells in how many equal parts the fleet's repeats of a service are divided.
    :param started_at: when the process started, by the loop's clock.
    :param evidence: what is held against requests since back ends were lost under them.
    :param own_name: differs between gateways, so that they do not all prefer the same back end.
    :param random: draws back ends, and the share of requests that is admitted.
    :param load_listener: is told of long queues.
    :param memory: counts what is held for others, and says who finds no room.
    :param zone_answered: is told of each answer from a zone.
    :param zone_doubted: is told of a call to a zone that is overdue, and when it was sent.
    :param latest_advantage: is the same for all shards that one scatter asks at one time.
    """

    loop: asyncio.AbstractEventLoop
    names: HeaderNames
    zone: str
    directory: BackendDirectory
    bounds: RepeatBounds
    sharers: Callable[[str], float]
    started_at: float
    load_reports: LoadReports
    evidence: CrashEvidence
    counters: CallCounters = field(default_factory=CallCounters)
    own_name: str = ""
    load_listener: LoadListener = field(default_factory=NoLoadListener)
    random: random.Random = field(default_factory=lambda: random.Random(0))
    memory: MemoryAccount = field(default_factory=MemoryAccount)
    zone_answered: Callable[[str], None] = lambda zone: None
    zone_doubted: Callable[[str, float], None] = lambda zone, sent_at: None
    _budgets: dict[str, FleetRetryBudget] = field(default_factory=dict)
    _latencies: dict[str, LatencyWindow] = field(default_factory=dict)
    _unloaded: dict[str, LatencyWindow] = field(default_factory=dict)
    _hedges: dict[str, HedgeMoments] = field(default_factory=dict)
    _sizes: dict[tuple[str, ...], ScatterSizes] = field(default_factory=dict)
    latest_advantage: ZoneAdvantage | None = None

    def budget(self, service: str) -> FleetRetryBudget:
        """Return a service's repeat budget."""
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self.bounds
            budget = FleetRetryBudget(bounds.ratio, bounds.extra, bounds.window_s, self.started_at)
            self._budgets[service] = budget
        return budget

    def latency(self, route: Route) -> LatencyWindow:
        """Return the latencies of a route's calls."""
        window = self._latencies.get(route.name)
        if window is None:
            window = LatencyWindow()
            self._latencies[route.name] = window
        return window

    def hedge_ages(self, route: Route) -> HedgeMoments:
        """Return the ages at which calls of a route are hedged."""
        ages = self._hedges.get(route.name)
        if ages is None:
            ages = HedgeMoments(self.latency(route))
            self._hedges[route.name] = ages
        return ages

    def unloaded_latency(self, route: Route) -> LatencyWindow:
        """Return the latencies of a route's calls that left no queue behind."""
        window = self._unloaded.get(route.name)
        if window is None:
            window = LatencyWindow()
            self._unloaded[route.name] = window
        return window

    def unloaded_median_s(self, route: Route) -> float:
        """Return the median time of a route's calls that left no queue behind, seconds."""
        return self.unloaded_latency(route).quantile(MEDIAN)

    def sizes(self, index: tuple[str, ...]) -> ScatterSizes:
        """Return how large answers of an index have been."""
        return self._sizes.get(index, ScatterSizes())

    def observe_sizes(self, index: tuple[str, ...], merged: int, parts: Sequence[int]) -> None:
        """Learn from one merged answer, and from the parts that came here."""
        known = self.sizes(index)
        part = known.part
        if parts:
            part = _smoothed(part, sum(parts) / len(parts))
        self._sizes[index] = ScatterSizes(part, _smoothed(known.merged, merged))

    def forget_unused(self, services: frozenset[str], routes: frozenset[str]) -> None:
        """Drop what belongs to services and routes that no configuration names any more."""
        self._sizes = {
            index: sizes for index, sizes in self._sizes.items() if services.issuperset(index)
        }
        for service in self._budgets.keys() - services:
            del self._budgets[service]
        for route in self._latencies.keys() - routes:
            del self._latencies[route]
            self._hedges.pop(route, None)
        for route in self._unloaded.keys() - routes:
            del self._unloaded[route]

    def observations(self, service: str) -> list[BackendObservations]:
        """Return what is known of the back ends of a service that may get new work."""
        return [backend.observations for backend in self.directory.usable(service)]

    def usual_s(self, route: Route, backends: Sequence[BackendObservations]) -> float:
        """Return how long a call of a route takes without waiting.

        A gateway that sees a call in twenty seconds goes by what others saw: with its own calls
        alone, it would know after minutes, and admit everything until then.
        """
        unloaded = self.unloaded_latency(route)
        if len(unloaded) >= MINIMUM_OBSERVATIONS:
            return unloaded.quantile(MEDIAN)
        return work_s_of(backends) or usual_latency_s(self.latency(route), route.objective_s)

    def has_room(self, service: str, route: Route, left_s: float, now: float) -> bool:
        """Tell whether some back end of a service would answer a call in time."""
        backends = self.observations(service)
        return has_room(backends, now, self.usual_s(route, backends), left_s)


def _smoothed(former: float, seen: float) -> float:
    """Return a mean in which the latest value weighs a little; the first one counts whole."""
    return former + SIZE_GAIN * (seen - former) if former else float(seen)
