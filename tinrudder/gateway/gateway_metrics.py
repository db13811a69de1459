"""Counters and latency histograms of a gateway, with bounded labels."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest

from tinrudder.gateway.request_log import FinishedRequest
from tinrudder.metrics import LATENCY_BUCKETS_S, ReadCollector, ReadMetric

if TYPE_CHECKING:
    from tinrudder.gateway.node import GatewayNode


class GatewayMetrics:
    """Everything the metrics address shows.

    Labels are an outcome's tag and a route's priority, so that their number stays small however
    many routes there are.
    """

    def __init__(self, node: GatewayNode) -> None:
        """Read what the node's parts count anyway at every scrape."""
        self._registry = CollectorRegistry()
        self._latency = Histogram(
            "tinrudder_gateway_request_seconds",
            "Time from a client's whole request to its outcome.",
            ["priority", "outcome"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._missing = Counter(
            "tinrudder_gateway_missing_shards",
            "Shards left out of merged answers.",
            registry=self._registry,
        )
        counters = node.counters
        figures = ReadCollector()
        figures.metrics.extend(
            ReadMetric(
                f"tinrudder_gateway_{name}", text, functools.partial(getattr, counters, name)
            )
            for name, text in _COUNTED.items()
        )
        figures.metrics.append(
            ReadMetric(
                "tinrudder_gateway_store_calls", "Calls to the store.", lambda: node.store_calls
            )
        )
        figures.metrics.extend(_gauges(node))
        self._registry.register(figures)

    def observe(self, request: FinishedRequest) -> None:
        """Count one finished request."""
        priority = str(request.route.priority) if request.route is not None else "none"
        self._latency.labels(priority, request.outcome_name).observe(request.elapsed_s)
        missing = len(request.missing_shards)
        if missing:
            self._missing.inc(missing)

    def render(self) -> bytes:
        """Return the text format."""
        return generate_latest(self._registry)


_COUNTED = {
    "requests": "Requests read.",
    "calls": "Calls sent to back ends.",
    "hedges": "Calls sent beside one that was overdue.",
    "retries": "Calls sent after one that failed.",
    "repeats_denied": "Hedges and retries that the budget did not allow.",
    "rejections": "Calls that back ends rejected.",
    "broken": "Calls without a usable answer.",
    "connections_opened": "Connections opened to back ends.",
    "refused": "Requests refused because queues at the back ends were too long.",
    "relayed": "Scatters handed to coordinators.",
    "delegated": "Groups of shards handed to gateways beside their replicas.",
    "delegations_run_here": "Groups of shards asked from here since the other gateway did not.",
    "relays_failed": "Coordinators that did not serve a scatter.",
    "relays_run_here": "Scatters run here because no coordinator served them.",
    "coordinated": "Scatters run for other gateways.",
    "clients_left": "Requests whose client left before the answer.",
}


def _gauges(node: GatewayNode) -> list[ReadMetric]:
    """Return what is as it is now."""
    return [
        ReadMetric(
            "tinrudder_gateway_configuration_revision",
            "Revision of the configuration in force.",
            lambda: node.state.configuration_revision,
            is_counter=False,
        ),
        ReadMetric(
            "tinrudder_gateway_nodes",
            "Gateways that share budgets, this one included.",
            node.nodes,
            is_counter=False,
        ),
        ReadMetric(
            "tinrudder_gateway_backends",
            "Back ends known.",
            lambda: len(node.directory),
            is_counter=False,
        ),
        ReadMetric(
            "tinrudder_gateway_in_progress",
            "Requests being served.",
            lambda: node.handler.in_progress,
            is_counter=False,
        ),
    ]
