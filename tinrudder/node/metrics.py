"""Prometheus metrics of one node, with bounded label sets.

Owns the node's metric registry.  Values that other parts of the node already count are read at
scrape time; only the latency histogram and the refusal counter are updated per query.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from tinrudder.node.api.finished_query import FinishedQuery
from tinrudder.node.outcomes import NotRun, reason_of

LATENCY_BUCKETS_S = (0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0)
MAX_SERVICE_LABELS = 1000
OTHER_SERVICES = "other"

ValueCallback = Callable[[], float]


@dataclass(frozen=True, slots=True)
class CallbackMetric:
    """A metric whose value is read from another part of the node at scrape time.

    :param is_counter: the value never decreases during the life of the process.
    """

    name: str
    help: str
    read: ValueCallback
    is_counter: bool = True


class CallbackCollector(Collector):
    """Reads the current values at every scrape."""

    def __init__(self) -> None:
        self.metrics: list[CallbackMetric] = []

    def collect(self) -> Iterable[Metric]:
        """Return the current value of every metric."""
        for metric in self.metrics:
            family = CounterMetricFamily if metric.is_counter else GaugeMetricFamily
            yield family(metric.name, metric.help, value=metric.read())


class NodeMetrics:
    """All metrics that ``/metrics`` exposes."""

    def __init__(self) -> None:
        """Create a registry with the per-query metrics."""
        self.registry = CollectorRegistry()
        self._callbacks = CallbackCollector()
        self.registry.register(self._callbacks)
        self._latency = Histogram(
            "tinrudder_query_seconds",
            "Time from a caller's whole body to its outcome.",
            ["service", "outcome"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._refusals = Counter(
            "tinrudder_refusals",
            "Queries that did not run, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self._services: set[str] = set()

    def add(self, *metrics: CallbackMetric) -> None:
        """Expose more metrics."""
        self._callbacks.metrics.extend(metrics)

    def __call__(self, query: FinishedQuery) -> None:
        """Record one finished query; registered as an observer of the callers' application."""
        service = self._service_label(query.service)
        outcome = type(query.outcome).__name__
        self._latency.labels(service, outcome).observe(query.elapsed_s)
        if isinstance(query.outcome, NotRun):
            self._refusals.labels(reason_of(query.outcome)).inc()

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _service_label(self, service: str) -> str:
        """Return the label of a service; services beyond ``MAX_SERVICE_LABELS`` share one label."""
        if service in self._services:
            return service
        if len(self._services) >= MAX_SERVICE_LABELS:
            return OTHER_SERVICES
        self._services.add(service)
        return service
