"""The metrics of a gateway, with a bounded number of labels.

Owns no counters: it reads those of the gateway's components at every scrape.  Imports no metrics
library, which would slow down the start of the process: ``metrics_text`` writes the text format.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable
from functools import partial

from msgspec import Struct

from tinrudder.gateway.observability.latency_histograms import LatencyCounts, LatencyLabels
from tinrudder.gateway.observability.metric_definitions import (
    COUNTERS,
    GAUGES,
    MetricDefinition,
    MetricSources,
)
from tinrudder.gateway.peers.peer_traffic import PeerTraffic

PREFIX = "tinrudder_gateway"
"""Prefix of every metric's name."""
MAX_LABELLED_TENANTS = 100
"""Number of tenants with their own labels, the busiest first; a scrape of 100 takes 2 ms."""
OTHER_TENANTS = "other"
"""Label under which all other tenants are added up."""


class ScalarMetric(Struct, frozen=True):
    """A metric without labels.

    :param is_counter: whether the value never decreases while the process runs.
    """

    name: str
    help: str
    read: Callable[[], float]
    is_counter: bool


class TenantSample(Struct, frozen=True):
    """A tenant's number of requests with one decision, or the tokens in its bucket."""

    tenant: str
    kind: str
    value: float


class GatewayMetrics:
    """All metrics of one gateway.

    Labels are an outcome's tag, a route's priority and the busiest tenants, so their number stays
    small regardless of how many routes and tenants there are.
    """

    def __init__(self, sources: MetricSources) -> None:
        """Read ``sources`` at every scrape."""
        self._sources = sources
        self.scalars = [
            *(_bind(row, sources, is_counter=True) for row in COUNTERS),
            *(_bind(row, sources, is_counter=False) for row in GAUGES),
        ]

    @property
    def latencies(self) -> defaultdict[LatencyLabels, LatencyCounts]:
        """Return the histograms of finished requests."""
        return self._sources.requests.latencies

    @property
    def traffic(self) -> PeerTraffic:
        """Return the counts of traffic sent to other gateways."""
        return self._sources.datagrams.traffic

    @property
    def task_failures(self) -> Counter[str]:
        """Return the failures of long-lived tasks, by the name of the task."""
        return self._sources.task_failures()

    @property
    def listen_failures(self) -> Counter[str]:
        """Return the failed attempts to listen, by the name of the listener."""
        return self._sources.listen_failures()

    def tenant_requests(self) -> list[TenantSample]:
        """Return quota decisions per tenant: the busiest tenants, and all others added up."""
        counted = self._sources.quotas.counts.items()
        busiest = sorted(counted, key=lambda entry: entry[1].asked, reverse=True)
        totals: Counter[tuple[str, str]] = Counter()
        for rank, (name, counts) in enumerate(busiest):
            tenant = name if rank < MAX_LABELLED_TENANTS else OTHER_TENANTS
            totals[tenant, "admitted"] += counts.admitted
            totals[tenant, "over_quota"] += counts.over_quota
            totals[tenant, "home_unknown"] += counts.unknown
        return [TenantSample(tenant, kind, value) for (tenant, kind), value in totals.items()]

    def tenant_tokens(self) -> list[TenantSample]:
        """Return the tokens in the emptiest of the token buckets that this gateway owns."""
        buckets = self._sources.quotas.bucket_owner.buckets.held()
        held = sorted(buckets.items(), key=lambda entry: entry[1])[:MAX_LABELLED_TENANTS]
        return [TenantSample(tenant, "held", tokens) for tenant, tokens in held]


def _bind(row: MetricDefinition, sources: MetricSources, *, is_counter: bool) -> ScalarMetric:
    """Bind a row of a table to one gateway's components."""
    return ScalarMetric(f"{PREFIX}_{row.name}", row.help, partial(row.read, sources), is_counter)
