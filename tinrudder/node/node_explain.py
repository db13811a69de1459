"""Wires query explanations into a node.

Owns the node's two explanation rings: queries received from callers and queries coordinated here.
"""

from __future__ import annotations

from tinrudder.node.api.finished_query import FinishedQuery
from tinrudder.node.node import Node
from tinrudder.node.outcomes import Complete, Partial, reason_of
from tinrudder.node.query.explanations.explain import ExplanationRing, QueryExplanation
from tinrudder.node.query.explanations.explain_lookup import ExplainLookup
from tinrudder.node.query.explanations.explain_recorder import (
    OUTCOME_NAMES,
    FanOutRecorder,
    milliseconds,
)
from tinrudder.node.wire.channels import Channel


class NodeExplanations:
    """One node's explanation rings, their recorders and the lookup over them."""

    def __init__(self, node: Node) -> None:
        """Start recording the queries that ``node`` coordinates."""
        self._node_name = node.settings.name
        self._received = ExplanationRing()
        coordinated = ExplanationRing()
        node.coordinator.recorder = FanOutRecorder(self._node_name, coordinated)
        self.lookup = ExplainLookup(
            self._node_name,
            node.channels.channel(Channel.EXPLAIN),
            coordinated,
            self._received,
            node.coordinator_sets.of,
        )

    def on_finished(self, query: FinishedQuery) -> None:
        """Record a caller's query; registered as an observer of the callers' application."""
        outcome = query.outcome
        version = outcome.answer.version if isinstance(outcome, Complete | Partial) else 0
        self._received.add(
            QueryExplanation(
                query.query_id,
                query.tenant,
                self._node_name,
                query.service,
                query.index,
                query.rule,
                version,
                OUTCOME_NAMES[type(outcome)],
                reason_of(outcome),
                milliseconds(query.elapsed_s),
                "",
                (),
            )
        )
