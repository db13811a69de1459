"""Promise: a draining back end receives no new calls after a few seconds.

A call does not count if its node was paused, isolated or down within the grace period before it, as
that node could not learn of the drain.
"""

from __future__ import annotations

from collections.abc import Iterator

from tinrudder_lab.checkers.unavailability import is_unavailable
from tinrudder_lab.checkers.violation import Promise, Violation
from tinrudder_lab.history import CallSeen, CallStage, DrainSigned, History

GRACE_S = 3.0


def check(history: History) -> Iterator[Violation]:
    """Find calls that reached a draining back end after the grace period."""
    for drain in history.drains:
        late = [
            call
            for call in calls_after(history, drain)
            if call.at > drain.at + GRACE_S
            and not is_unavailable(history, call.node, call.at - GRACE_S, call.at)
        ]
        if late:
            detail = f"{drain.backend} received {len(late)} calls {GRACE_S} s after its first sign"
            yield Violation(Promise.NO_WORK_TO_LEAVING, detail, (drain, *late[:3]))


def calls_after(history: History, drain: DrainSigned) -> list[CallSeen]:
    """Return the calls that reached a back end after it began to drain."""
    return [
        call
        for call in history.calls
        if call.backend == drain.backend
        and call.stage is CallStage.RECEIVED
        and call.at >= drain.at
    ]


def drain_seconds(history: History) -> float | None:
    """Return the longest time from a drain's start to its last call, ``None`` without drains."""
    if not history.drains:
        return None
    last = [
        max((call.at - drain.at for call in calls_after(history, drain)), default=0.0)
        for drain in history.drains
    ]
    return max(last)
