"""What back-end processes saw, one JSON line an event, in files that outlive a killed process.

Every line is written before the answer it belongs to, unbuffered: a SIGKILL loses none.  Times
are the machine's monotonic clock, which all processes of a run share.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from tinrudder.node.backends.messages import SearchRequest
from tinrudder_lab.checkers.draining import GRACE_S
from tinrudder_lab.checkers.excuses import Span, excused_spans
from tinrudder_lab.history import CallSeen, CallStage, History
from tinrudder_lab.sightings import calls_seen

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(CallSeen)


class CallLog:
    """Appends to one process's file."""

    def __init__(self, path: Path) -> None:
        """Append to ``path``: a process that is started again goes on in it."""
        self._file = path.open("ab", buffering=0)

    def observer_of(self, backend: str) -> Callable[[CallStage, SearchRequest, str], None]:
        """Return what writes the events of one back end."""

        def observe(stage: CallStage, request: SearchRequest, node: str) -> None:
            at = time.monotonic()
            lines = [
                _encoder.encode(event) + b"\n"
                for event in calls_seen(at, backend, stage, request, node)
            ]
            self._file.write(b"".join(lines))

        return observe


def read_calls(paths: list[Path], started_at: float) -> list[CallSeen]:
    """Return all events of a run in the order of time, as seconds since ``started_at``."""
    calls = []
    for path in paths:
        for line in path.read_bytes().splitlines():
            call = _decoder.decode(line)
            calls.append(msgspec.structs.replace(call, at=round(call.at - started_at, 6)))
    calls.sort(key=lambda call: call.at)
    return calls


def name_absent_nodes(history: History) -> None:
    """Name a node that was away shortly before a call as its sender.

    A back end does not learn which node called it.  The checker of leaving back ends excuses
    nodes that slept or were not there; so that it can, a call which such a node may have sent
    counts as its own.
    """
    away: list[tuple[str, Span]] = []
    for node in sorted({event.node for event in history.nodes}):
        away.extend((node, span) for span in excused_spans(history, node))
    history.calls = [
        msgspec.structs.replace(call, node=_absent_node(away, call.at)) if away else call
        for call in history.calls
    ]


def _absent_node(away: list[tuple[str, Span]], at: float) -> str:
    """Return a node that was away within the grace before ``at``, empty for none."""
    for node, span in away:
        if span.touches(at - GRACE_S, at):
            return node
    return ""
