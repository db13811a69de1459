"""Promise: a request that is told "not run" did not run, before or after the answer.

For a request submitted again, "not run" speaks for its earlier submissions too.
"""

from __future__ import annotations

from collections.abc import Iterator

from tinrudder_lab.checkers.index import HistoryIndex
from tinrudder_lab.checkers.violation import Promise, Violation
from tinrudder_lab.history import CallStage, History

NOT_RUN = "not_run"


def check(history: History, index: HistoryIndex) -> Iterator[Violation]:
    """Find queries told "not run" of which a back end started a call."""
    for ended in history.ended.values():
        if ended.outcome != NOT_RUN:
            continue
        calls = index.calls_of(ended.query_id)
        started = tuple(call for call in calls if call.stage is CallStage.STARTED)
        if started:
            detail = f"told not run ({ended.reason}), yet {len(started)} calls were started"
            events = (history.sent[ended.query], started[0], ended)
            yield Violation(Promise.TRUE_NOT_RUN, detail, events)
        sent = history.sent[ended.query]
        if not sent.resubmission:
            continue
        calls = index.calls_for(sent, ended)
        earlier = next((call for call in calls if call.stage is CallStage.STARTED), None)
        if earlier is not None and earlier.at <= ended.at:
            detail = "told not run, yet an earlier submission was started"
            yield Violation(Promise.TRUE_NOT_RUN, detail, (sent, earlier, ended))
