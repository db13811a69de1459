"""Promise: a request that must not be repeated runs at most once."""

from __future__ import annotations

from collections.abc import Iterator

from tinrudder_lab.checkers.violation import Promise, Violation
from tinrudder_lab.history import CallSeen, CallStage, History


def check(history: History) -> Iterator[Violation]:
    """Find operations that back ends started more than once."""
    starts: dict[str, list[CallSeen]] = {}
    for call in history.calls:
        if call.operation is not None and call.stage is CallStage.STARTED:
            starts.setdefault(call.operation, []).append(call)
    for operation, calls in starts.items():
        if len(calls) > 1:
            detail = f"{operation} was started {len(calls)} times"
            sent = (s for s in history.sent.values() if s.request_key in operation.split("/"))
            yield Violation(Promise.AT_MOST_ONCE, detail, (*sent, *calls))
