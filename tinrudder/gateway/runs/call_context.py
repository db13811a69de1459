"""State shared by all requests of a gateway: back ends, budgets, latencies, header names, clock.

Owns the statistics of routes and services, and drops them once the configuration no longer names
the route or service.  The statistics of each back end belong to the directory.
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
    MIN_OBSERVED_CALLS,
    has_room,
    mean_service_time_s,
)
from tinrudder.gateway.decisions.attempts.fleet_retry_budget import FleetRetryBudget
from tinrudder.gateway.decisions.attempts.hedge_delay import (
    MINIMUM_OBSERVATIONS,
    typical_latency_s,
)
from tinrudder.gateway.decisions.attempts.hedge_gain import HedgeAges
from tinrudder.gateway.decisions.placement.backend_observations import BackendObservations
from tinrudder.gateway.decisions.placement.shard_placement import ScatterSizes
from tinrudder.gateway.model.configuration import HeaderNames, RepeatBounds, Route
from tinrudder.gateway.runs.run_guard import CrashEvidence

MEDIAN_QUANTILE = 0.5
"""The quantile used as the latency of calls that did not queue.  Unlike a mean or a high quantile,
it stays stable while some of the back ends are slow."""
SHORT_QUANTILE = 0.1
"""The quantile used as the shortest time of a single call: nine of ten calls take longer."""
SIZE_GAIN = 0.1
"""Weight of the latest answer in the moving average of answer sizes, a share.  The average covers
about ten answers, so that a single outlier hardly moves it."""


class CallCounters(Struct):
    """Counters since the start of the process; each is exported as a metric with its own help text.

    :param repeats_denied: hedges and retries that the retry budget denied.
    :param relayed: scatters that this gateway asked a coordinator to run.
    :param relays_failed: delegated scatters or groups of shards that the other gateway did not
        serve.
    :param relays_run_here: scatters run by this gateway because no coordinator served them.
    :param coordinated: scatters merged for other gateways.
    :param delegated: groups of shards that this gateway asked another one to call.
    :param delegations_run_here: delegated groups that this gateway called after all.
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
    """By how much a back end of another zone must be faster, in typical latencies of the route.

    :param at: when it was computed, by the loop's clock; it holds for this route and time only.
    """

    route: Route
    at: float
    advantage: float


class LoadListener(Protocol):
    """Receives the load reports of back ends that many gateways call."""

    def on_load(self, backend: Backend, *, shed: bool, service_time_s: float) -> None:
        """Handle an answer or a shed call, after the back end's observations were updated.

        :param shed: the back end rejected the call because its queue was full.
        :param service_time_s: median time of calls that did not queue, seconds.
        """


class NoLoadListener:
    """Ignores load reports, for a gateway without peers."""

    def on_load(self, backend: Backend, *, shed: bool, service_time_s: float) -> None:
        """Do nothing."""


class CallContext(Struct):
    """Shared state and dependencies of all requests.

    :param budget_parts: returns the number of equal parts into which the fleet's retry budget of a
        service is divided.
    :param started_at: when the process started, by the loop's clock.
    :param evidence: crashes of back ends, by the request that they were running.
    :param own_name: name of this gateway; it breaks ties between back ends, so that gateways do not
        all prefer the same one.
    :param random: source of randomness for sampling back ends and for partial admission.
    :param load_listener: receives the load reports of back ends that many gateways call.
    :param memory: counts the buffered bytes, and refuses requests when they exceed the bound.
    :param zone_answered: called with the zone of each answer.
    :param zone_unanswered: called with the zone of an overdue call and the time at which it was
        sent.
    :param latest_advantage: cached, as it is the same for all shards that a scatter calls at once.
    """

    loop: asyncio.AbstractEventLoop
    names: HeaderNames
    zone: str
    directory: BackendDirectory
    bounds: RepeatBounds
    budget_parts: Callable[[str], float]
    started_at: float
    load_reports: LoadReports
    evidence: CrashEvidence
    counters: CallCounters = field(default_factory=CallCounters)
    own_name: str = ""
    load_listener: LoadListener = field(default_factory=NoLoadListener)
    random: random.Random = field(default_factory=lambda: random.Random(0))
    memory: MemoryAccount = field(default_factory=MemoryAccount)
    zone_answered: Callable[[str], None] = lambda zone: None
    zone_unanswered: Callable[[str, float], None] = lambda zone, sent_at: None
    _budgets: dict[str, FleetRetryBudget] = field(default_factory=dict)
    _latencies: dict[str, LatencyWindow] = field(default_factory=dict)
    _unloaded: dict[str, LatencyWindow] = field(default_factory=dict)
    _hedges: dict[str, HedgeAges] = field(default_factory=dict)
    _sizes: dict[tuple[str, ...], ScatterSizes] = field(default_factory=dict)
    latest_advantage: ZoneAdvantage | None = None

    def budget(self, service: str) -> FleetRetryBudget:
        """Return the retry budget of a service, which also pays for hedges."""
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

    def hedge_ages(self, route: Route) -> HedgeAges:
        """Return the statistics that give the ages at which calls of a route are hedged."""
        ages = self._hedges.get(route.name)
        if ages is None:
            ages = HedgeAges(self.latency(route))
            self._hedges[route.name] = ages
        return ages

    def unloaded_latency(self, route: Route) -> LatencyWindow:
        """Return the latencies of a route's calls after which the back end reported no queue."""
        window = self._unloaded.get(route.name)
        if window is None:
            window = LatencyWindow()
            self._unloaded[route.name] = window
        return window

    def unloaded_median_s(self, route: Route) -> float:
        """Return the median of :meth:`unloaded_latency`, seconds."""
        return self.unloaded_latency(route).quantile(MEDIAN_QUANTILE)

    def sizes(self, index: tuple[str, ...]) -> ScatterSizes:
        """Return the mean sizes of the answers of an index, bytes."""
        return self._sizes.get(index, ScatterSizes())

    def observe_sizes(self, index: tuple[str, ...], merged: int, parts: Sequence[int]) -> None:
        """Add a merged answer to the mean sizes of an index.

        :param merged: size of the merged answer, bytes.
        :param parts: sizes of the shard answers that this gateway received, bytes.
        """
        known = self.sizes(index)
        part = known.part
        if parts:
            part = _moving_average(part, sum(parts) / len(parts))
        self._sizes[index] = ScatterSizes(part, _moving_average(known.merged, merged))

    def forget_unused(self, services: frozenset[str], routes: frozenset[str]) -> None:
        """Drop the state of services and routes that are no longer configured.

        :param services: names of the configured services.
        :param routes: names of the configured routes.
        """
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
        """Return the observations of the back ends of a service that accept new calls."""
        return [backend.observations for backend in self.directory.usable(service)]

    def typical_time_s(self, route: Route, backends: Sequence[BackendObservations]) -> float:
        """Return how long a call of a route takes without queueing, seconds.

        Until this gateway has seen enough calls, the service times that other gateways reported are
        used.  A gateway with one call in twenty seconds would otherwise need minutes to learn the
        latency, and admit everything until then.
        """
        unloaded = self.unloaded_latency(route)
        if len(unloaded) >= MINIMUM_OBSERVATIONS:
            return unloaded.quantile(MEDIAN_QUANTILE)
        return mean_service_time_s(backends) or typical_latency_s(
            self.latency(route), route.objective_s
        )

    def shortest_time_s(self, route: Route) -> float:
        """Return the time in which a request of a route can end at best, seconds.

        A scatter needs the answers of most shards, and so at least the median of its calls.
        0 while too few calls were observed.
        """
        latency = self.latency(route)
        if len(latency) < MIN_OBSERVED_CALLS:
            return 0.0
        return latency.quantile(MEDIAN_QUANTILE if route.shards else SHORT_QUANTILE)

    def median_time_s(self, route: Route) -> float:
        """Return the median time of a route's calls, seconds; 0 while too few were observed."""
        latency = self.latency(route)
        return latency.quantile(MEDIAN_QUANTILE) if len(latency) >= MIN_OBSERVED_CALLS else 0.0

    def has_room(self, service: str, route: Route, left_s: float, now: float) -> bool:
        """Return whether some back end of a service is expected to answer within ``left_s``."""
        backends = self.observations(service)
        return has_room(backends, now, self.typical_time_s(route, backends), left_s)


def _moving_average(average: float, value: float) -> float:
    """Return the exponential moving average after one more value; starts with the first."""
    return average + SIZE_GAIN * (value - average) if average else float(value)
