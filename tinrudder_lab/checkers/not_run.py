"""Promise: a request answered "not run" did not run, neither before nor after the answer.

For a resubmitted request this covers its earlier submissions too, up to the answer.
"""

from __future__ import annotations

from collections.abc import Iterator

from tinrudder_lab.checkers.index import HistoryIndex
from tinrudder_lab.checkers.violation import Promise, Violation
from tinrudder_lab.history import CallStage, History

NOT_RUN = "not_run"


def check(history: History, index: HistoryIndex) -> Iterator[Violation]:
    """Find queries answered "not run" for which a back end started a call."""
    for ended in history.ended.values():
        if ended.outcome != NOT_RUN:
            continue
        calls = index.calls_of(ended.query_id)
        started = tuple(call for call in calls if call.stage is CallStage.STARTED)
        if started:
            detail = f"answered not run ({ended.reason}), but {len(started)} calls were started"
            events = (history.sent[ended.query], started[0], ended)
            yield Violation(Promise.TRUE_NOT_RUN, detail, events)
        sent = history.sent[ended.query]
        if not sent.resubmission:
            continue
        calls = index.calls_for(sent, ended)
        earlier = next((call for call in calls if call.stage is CallStage.STARTED), None)
        if earlier is not None and earlier.at <= ended.at:
            detail = "answered not run, but an earlier submission was started"
            yield Violation(Promise.TRUE_NOT_RUN, detail, (sent, earlier, ended))
