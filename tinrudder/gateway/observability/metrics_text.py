"""Renders a gateway's metrics in the Prometheus text format.

Owns no state.  It is imported on the first scrape, because the Prometheus library would take a
fifth of a process's start-up time to load.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from tinrudder.gateway.observability.gateway_metrics import PREFIX, GatewayMetrics, TenantSample
from tinrudder.gateway.observability.latency_histograms import (
    LATENCY_BUCKETS_S,
    LatencyCounts,
    LatencyLabels,
)

INFINITE_BOUND = "+Inf"
"""The upper bound of a histogram's last bucket, as the text format writes it."""


class _GatewayCollector(Collector):
    """Collects a gateway's metrics for the Prometheus library."""

    def __init__(self, metrics: GatewayMetrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterable[Metric]:
        """Yield every metric with its current value."""
        metrics = self._metrics
        for scalar in metrics.scalars:
            family = CounterMetricFamily if scalar.is_counter else GaugeMetricFamily
            yield family(scalar.name, scalar.help, value=scalar.read())
        yield _latencies(metrics.latencies)
        yield _tenant_requests(metrics.tenant_requests())
        yield _tenant_tokens(metrics.tenant_tokens())
        traffic = metrics.traffic
        yield _by_label("peer_bytes", "Bytes sent to other gateways.", "kind", traffic.bytes)
        yield _by_label(
            "peer_messages", "Messages sent to other gateways.", "kind", traffic.messages
        )
        yield _by_label(
            "task_failures",
            "Failures of long-lived tasks, which are restarted.",
            "task",
            metrics.task_failures,
        )
        yield _by_label(
            "listen_failures",
            "Attempts to listen on an address that was unavailable.",
            "listener",
            metrics.listen_failures,
        )


def metrics_text(metrics: GatewayMetrics) -> bytes:
    """Return the response body of a scrape."""
    registry = CollectorRegistry()
    registry.register(_GatewayCollector(metrics))
    return generate_latest(registry)


def _latencies(latencies: Mapping[LatencyLabels, LatencyCounts]) -> Metric:
    """Return the latency histograms of finished requests."""
    family = HistogramMetricFamily(
        f"{PREFIX}_request_seconds",
        "Time from a client's whole request to its outcome.",
        labels=["priority", "outcome"],
    )
    for labels, counts in latencies.items():
        buckets = list(_cumulative(counts))
        family.add_metric([labels.priority, labels.outcome], buckets, counts.total_s)
    return family


def _tenant_requests(samples: Iterable[TenantSample]) -> Metric:
    """Return a counter labelled by tenant and decision."""
    family = CounterMetricFamily(
        f"{PREFIX}_tenant_requests",
        "Requests with a tenant's key, by what its limit said.",
        labels=["tenant", "decision"],
    )
    for sample in samples:
        family.add_metric([sample.tenant, sample.kind], sample.value)
    return family


def _tenant_tokens(samples: Iterable[TenantSample]) -> Metric:
    """Return a gauge labelled by tenant."""
    family = GaugeMetricFamily(
        f"{PREFIX}_tenant_tokens",
        "Requests that a tenant may ask now, where this gateway keeps its bucket.",
        labels=["tenant"],
    )
    for sample in samples:
        family.add_metric([sample.tenant], sample.value)
    return family


def _by_label(name: str, text: str, label: str, counts: Mapping[str, int]) -> Metric:
    """Return a counter with one label."""
    family = CounterMetricFamily(f"{PREFIX}_{name}", text, labels=[label])
    for value, count in counts.items():
        family.add_metric([value], count)
    return family


def _cumulative(counts: LatencyCounts) -> Iterator[tuple[str, float]]:
    """Yield each bucket's upper bound with the cumulative number of requests."""
    bounds = [str(bound) for bound in LATENCY_BUCKETS_S] + [INFINITE_BOUND]
    cumulative = 0
    for bound, count in zip(bounds, counts.counts, strict=True):
        cumulative += count
        yield bound, float(cumulative)
