"""Promise: an unrepeatable request runs at most once, and not after its validity ends.

After the validity ends a caller may send the request again under another key, so a later start
could become a second execution.
"""

from __future__ import annotations

from collections.abc import Iterator

from tinrudder_lab.checkers.violation import Promise, Violation
from tinrudder_lab.history import CallSeen, CallStage, History, QuerySent

CLOCK_SKEW_S = 0.5


def check(history: History) -> Iterator[Violation]:
    """Find operations that back ends started more than once, or too late."""
    starts: dict[str, list[CallSeen]] = {}
    for call in history.calls:
        if call.operation is not None and call.stage is CallStage.STARTED:
            starts.setdefault(call.operation, []).append(call)
    submissions = submissions_by_key(history)
    for operation, calls in starts.items():
        sent = submissions.get(operation.rpartition("/")[2], [])
        if len(calls) > 1:
            detail = f"{operation} was started {len(calls)} times"
            yield Violation(Promise.AT_MOST_ONCE, detail, (*sent, *calls))
        until = sent[0].valid_until if sent else None
        if until is not None and calls[0].at > until + CLOCK_SKEW_S:
            detail = f"{operation} was started {calls[0].at - until:.2f} s after its validity"
            yield Violation(Promise.AT_MOST_ONCE, detail, (sent[0], calls[0]))


def submissions_by_key(history: History) -> dict[str, list[QuerySent]]:
    """Return all submissions by request key."""
    found: dict[str, list[QuerySent]] = {}
    for sent in history.sent.values():
        if sent.request_key is not None:
            found.setdefault(sent.request_key, []).append(sent)
    return found
