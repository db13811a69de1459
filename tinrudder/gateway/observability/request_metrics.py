"""Counts finished requests for the metrics.

Owns a latency histogram for each priority and outcome, and the count of missing shards; the request
handler must report each request exactly once.  Needs no metrics library.
"""

from __future__ import annotations

from collections import defaultdict

from msgspec import Struct, field

from tinrudder.gateway.observability.latency_histograms import LatencyCounts, LatencyLabels
from tinrudder.gateway.observability.request_log import FinishedRequest


class RequestMetrics(Struct):
    """Metrics of finished requests.

    :ivar missing_shards: shards left out of merged answers since the process started.
    """

    latencies: defaultdict[LatencyLabels, LatencyCounts] = field(
        default_factory=lambda: defaultdict(LatencyCounts)
    )
    missing_shards: int = 0

    def observe(self, request: FinishedRequest) -> None:
        """Count one finished request."""
        priority = str(request.route.priority) if request.route is not None else "none"
        self.latencies[LatencyLabels(priority, request.outcome_name)].observe(request.elapsed_s)
        self.missing_shards += len(request.missing_shards)
