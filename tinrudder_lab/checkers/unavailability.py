"""Spans in which a node could not receive updates: paused, isolated or not running."""

from __future__ import annotations

from dataclasses import dataclass

from tinrudder_lab.history import History, NodeStage

FOREVER = float("inf")
_END_OF = {
    NodeStage.PAUSED: NodeStage.WOKEN,
    NodeStage.ISOLATED: NodeStage.REJOINED,
}
_ENDED = frozenset({NodeStage.CRASHED, NodeStage.STOPPED})
_CRASHED = frozenset({NodeStage.CRASHED})


@dataclass(frozen=True, slots=True)
class Span:
    """An interval of time, seconds."""

    start: float
    end: float

    def overlaps(self, start: float, end: float) -> bool:
        """Return whether the two intervals overlap."""
        return self.start <= end and start <= self.end


def unavailable_spans(
    history: History, node: str, end_stages: frozenset[NodeStage] = _ENDED
) -> list[Span]:
    """Return the spans in which a node was paused, isolated or not running.

    :param end_stages: stages that count as the end of its process.
    """
    spans: list[Span] = []
    open_since: dict[NodeStage, float] = {}
    ended_at: float | None = None
    for event in history.nodes:
        if event.node != node:
            continue
        if event.stage in end_stages:
            ended_at = event.at
        elif event.stage is NodeStage.STARTED and ended_at is not None:
            spans.append(Span(ended_at, event.at))
            ended_at = None
        for begin, end in _END_OF.items():
            if event.stage is begin:
                open_since.setdefault(begin, event.at)
            elif event.stage is end and begin in open_since:
                spans.append(Span(open_since.pop(begin), event.at))
    starts = list(open_since.values())
    if ended_at is not None:
        starts.append(ended_at)
    return spans + [Span(start, FOREVER) for start in starts]


def is_unavailable(history: History, node: str, start: float, end: float) -> bool:
    """Return whether a node was unavailable at any time between ``start`` and ``end``."""
    return any(span.overlaps(start, end) for span in unavailable_spans(history, node))


def is_disturbed(history: History, start: float, end: float) -> bool:
    """Return whether any node was crashed, paused or isolated between ``start`` and ``end``."""
    nodes = sorted({event.node for event in history.nodes})
    spans = (span for node in nodes for span in unavailable_spans(history, node, _CRASHED))
    return any(span.overlaps(start, end) for span in spans)
