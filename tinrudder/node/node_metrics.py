"""The metrics of a node other than those of callers' queries.

Owns the list of metrics that are read from the node's parts at scrape time.
"""

from __future__ import annotations

from tinrudder.node.metrics import CallbackMetric, NodeMetrics, ValueCallback
from tinrudder.node.node import Node


def add_node_metrics(metrics: NodeMetrics, node: Node) -> None:
    """Add the node's metrics; docs/NODE_OPERATIONS.md explains each of them."""
    dispatcher = node.dispatcher
    counters = node.entry.counters
    calls = node.coordinator.counters
    claims = node.claims.service
    metrics.add(
        CallbackMetric("tinrudder_backend_calls", "Calls sent.", lambda: dispatcher.sent_calls),
        CallbackMetric(
            "tinrudder_needed_shards",
            "Calls that one per needed shard would take; extra load is calls sent over these.",
            lambda: calls.needed_shards + node.operations.needed_calls,
        ),
        CallbackMetric("tinrudder_retries", "Sent again elsewhere.", lambda: calls.retries),
        CallbackMetric("tinrudder_hedges", "Sent beside a slow one.", lambda: calls.hedges),
        CallbackMetric("tinrudder_queries_local", "Coordinated here.", lambda: counters.local),
        CallbackMetric("tinrudder_queries_relayed", "Relayed.", lambda: counters.relayed),
        CallbackMetric("tinrudder_relays_lost", "Relays without reply.", lambda: counters.lost),
        CallbackMetric(
            "tinrudder_queries_fallback", "Without coordinator.", lambda: counters.fallback
        ),
        CallbackMetric("tinrudder_claims", "Keys asked for.", lambda: claims.counters.claims),
        CallbackMetric("tinrudder_claims_won", "Keys claimed.", lambda: claims.counters.won),
        _gauge("tinrudder_held_votes", "Votes given and remembered.", lambda: claims.held),
        _gauge("tinrudder_queued_calls", "Waiting for room.", lambda: dispatcher.queue_length),
        _gauge("tinrudder_queries_in_progress", "Not finished.", lambda: node.in_progress),
        _gauge(
            "tinrudder_configuration_revision", "In force.", lambda: node.configuration().revision
        ),
        _gauge("tinrudder_members", "Usable nodes.", lambda: len(node.view().usable())),
    )


def _gauge(name: str, text: str, read: ValueCallback) -> CallbackMetric:
    return CallbackMetric(name, text, read, is_counter=False)
