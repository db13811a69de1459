"""Promise: an accepted configuration is in force on all nodes within seconds and never reverts.

A revision is accepted once a node enforces it that stays available for long enough to propagate it.
Nodes that were paused, isolated or down at any time in between are not checked.
"""

from __future__ import annotations

from collections.abc import Iterator

from tinrudder_lab.checkers.unavailability import is_unavailable
from tinrudder_lab.checkers.violation import Promise, Violation
from tinrudder_lab.history import History, RevisionSeen

IN_FORCE_S = 5.0


def check(history: History) -> Iterator[Violation]:
    """Find nodes that reverted to an older revision or enforced a revision too late."""
    yield from _check_reverted(history)
    yield from _check_late(history)


def _check_reverted(history: History) -> Iterator[Violation]:
    last: dict[tuple[str, int], RevisionSeen] = {}
    for seen in history.revisions:
        before = last.get((seen.node, seen.start))
        if before is not None and seen.revision < before.revision:
            detail = f"{seen.node} went from revision {before.revision} to {seen.revision}"
            yield Violation(Promise.CONFIGURATION_HOLDS, detail, (before, seen))
        last[seen.node, seen.start] = seen


def _check_late(history: History) -> Iterator[Violation]:
    for revision, accepted in accepted_revisions(history).items():
        for node in sorted({event.node for event in history.nodes}):
            seconds = _seconds_to_force(history, node, revision, accepted)
            if seconds is not None and seconds > IN_FORCE_S:
                detail = f"{node} enforces revision {revision} only after {seconds:.2f} s"
                seen = [event for event in history.revisions if event.node == node]
                yield Violation(Promise.CONFIGURATION_HOLDS, detail, (accepted, *seen))


def accepted_revisions(history: History) -> dict[int, RevisionSeen]:
    """Return the first enforcement of each revision by a node that could propagate it."""
    accepted: dict[int, RevisionSeen] = {}
    for seen in history.revisions:
        if seen.revision in accepted or seen.revision == 0:
            continue
        if not is_unavailable(history, seen.node, seen.at, seen.at + IN_FORCE_S):
            accepted[seen.revision] = seen
    return accepted


def _seconds_to_force(
    history: History, node: str, revision: int, accepted: RevisionSeen
) -> float | None:
    """Return the time from acceptance until a node enforced a revision.

    If it never did, the time until the end of the run; ``None`` if it was unavailable meanwhile.
    """
    for seen in history.revisions:
        if seen.node == node and seen.revision >= revision:
            at = max(seen.at, accepted.at)
            break
    else:
        at = history.finished_at
    if is_unavailable(history, node, accepted.at, at):
        return None
    return at - accepted.at


def seconds_in_force(history: History) -> float | None:
    """Return the longest time until a node enforced an accepted revision after the first one."""
    times = [
        seconds
        for revision, accepted in accepted_revisions(history).items()
        for node in {event.node for event in history.nodes}
        if revision > 1
        and (seconds := _seconds_to_force(history, node, revision, accepted)) is not None
    ]
    return max(times, default=None)
