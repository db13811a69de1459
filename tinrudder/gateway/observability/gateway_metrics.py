"""What the metrics address of a gateway shows, with bounded labels.

Owns nothing that is counted: it reads the figures of the gateway's parts at every scrape.  Relies
on no library, which a start would have to load: ``metrics_text`` writes the text format.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable
from functools import partial

from msgspec import Struct

from tinrudder.gateway.observability.metric_figures import (
    COUNTERS,
    GAUGES,
    FigureRow,
    MetricSources,
)
from tinrudder.gateway.observability.request_latencies import LatencyCounts, LatencyLabels
from tinrudder.gateway.peers.peer_traffic import PeerTraffic

PREFIX = "tinrudder_gateway"
"""Begins the name of every metric."""
MOST_TENANTS = 100
"""Tenants with figures of their own, those that asked most; a scrape of 100 takes 2 ms."""
OTHER_TENANTS = "other"
"""The label of all other tenants together."""


class Figure(Struct, frozen=True):
    """A figure that some part of the gateway keeps.

    :param is_counter: it only grows while the process lives.
    """

    name: str
    help: str
    read: Callable[[], float]
    is_counter: bool


class TenantFigure(Struct, frozen=True):
    """What was decided on a tenant's requests, or is held for it."""

    tenant: str
    kind: str
    value: float


class GatewayMetrics:
    """Everything the metrics address shows.

    Labels are an outcome's tag, a route's priority and the busiest tenants, so that their number
    stays small however many routes and tenants there are.
    """

    def __init__(self, sources: MetricSources) -> None:
        """Read ``sources`` at every scrape."""
        self._sources = sources
        self.figures = [
            *(_figure(row, sources, is_counter=True) for row in COUNTERS),
            *(_figure(row, sources, is_counter=False) for row in GAUGES),
        ]

    @property
    def latencies(self) -> defaultdict[LatencyLabels, LatencyCounts]:
        """Return the histograms of finished requests."""
        return self._sources.requests.latencies

    @property
    def traffic(self) -> PeerTraffic:
        """Return what was sent to other gateways."""
        return self._sources.datagrams.traffic

    def tenant_requests(self) -> list[TenantFigure]:
        """Return the decisions on requests of the busiest tenants, and of all others together."""
        counted = self._sources.quotas.counts.items()
        busiest = sorted(counted, key=lambda one: one[1].asked, reverse=True)
        totals: Counter[tuple[str, str]] = Counter()
        for place, (name, counts) in enumerate(busiest):
            tenant = name if place < MOST_TENANTS else OTHER_TENANTS
            totals[tenant, "admitted"] += counts.admitted
            totals[tenant, "over_quota"] += counts.over_quota
            totals[tenant, "home_unknown"] += counts.unknown
        return [TenantFigure(tenant, kind, value) for (tenant, kind), value in totals.items()]

    def tenant_tokens(self) -> list[TenantFigure]:
        """Return what the emptiest buckets hold, of tenants whose bucket this gateway owns."""
        buckets = self._sources.quotas.bucket_owner.buckets.held()
        held = sorted(buckets.items(), key=lambda one: one[1])[:MOST_TENANTS]
        return [TenantFigure(tenant, "held", tokens) for tenant, tokens in held]


def _figure(row: FigureRow, sources: MetricSources, *, is_counter: bool) -> Figure:
    """Return a row of a table as a figure of one gateway."""
    return Figure(f"{PREFIX}_{row.name}", row.help, partial(row.read, sources), is_counter)
