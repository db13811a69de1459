"""Each checker accepts a correct small history and reports one that breaks its promise."""

from __future__ import annotations

import msgspec
import pytest

from tinrudder_lab.checkers.all import check_history
from tinrudder_lab.checkers.oracle import expected_rows
from tinrudder_lab.checkers.violation import Promise
from tinrudder_lab.history import (
    CallSeen,
    CallStage,
    DrainSigned,
    History,
    NodeSeen,
    NodeStage,
    QueryEnded,
    QuerySent,
    RevisionSeen,
    VersionPublished,
)

INDEX = "gate.orders"
SHARDS = ("s000", "s001")
LIMIT = 5


def _call(stage: CallStage, at: float, shard: str = "s000", **fields: object) -> CallSeen:
    call = CallSeen(at, "gate-b0", "n0", stage, "q1", INDEX, 1, shard)
    return msgspec.structs.replace(call, **fields)


def _answered() -> History:
    """Return a correct history of one complete query."""
    history = History(finished_at=100.0)
    history.versions.append(VersionPublished(0.0, INDEX, 1, SHARDS, ("gate",)))
    history.sent[1] = QuerySent(1.0, 1, "gate", INDEX, "gate", "n0", LIMIT, session=1)
    history.calls += [_call(CallStage.COMPLETED, 1.1, shard) for shard in SHARDS]
    rows = expected_rows(INDEX, 1, SHARDS, {}, None, LIMIT)
    history.end_query(QueryEnded(1.2, 1, "q1", "complete", "", "", 1, rows, SHARDS))
    return history


def _change_end(history: History, **fields: object) -> None:
    history.ended[1] = msgspec.structs.replace(history.ended[1], **fields)


def _promises(history: History) -> set[Promise]:
    return {violation.promise for violation in check_history(history)}


def test_a_true_history_has_no_violation() -> None:
    assert check_history(_answered()) == ()


def test_rows_of_another_version_break_the_snapshot() -> None:
    history = _answered()
    first, *rest = history.ended[1].rows
    other = msgspec.structs.replace(first, version=2)
    _change_end(history, rows=(other, *rest))
    assert Promise.SINGLE_SNAPSHOT in _promises(history)


def test_a_shard_completed_only_at_another_version_breaks_the_snapshot() -> None:
    history = _answered()
    history.calls[1] = _call(CallStage.COMPLETED, 1.1, "s001", version=2)
    assert _promises(history) == {Promise.SINGLE_SNAPSHOT}


def test_pages_of_two_versions_break_the_snapshot() -> None:
    history = _answered()
    history.versions.append(VersionPublished(0.0, INDEX, 2, SHARDS, ("gate",)))
    after = (history.ended[1].rows[-1].time, history.ended[1].rows[-1].row_id)
    sent = msgspec.structs.replace(history.sent[1], query=2, after=after)
    history.sent[2] = sent
    rows = expected_rows(INDEX, 2, SHARDS, {}, after, LIMIT)
    calls = [_call(CallStage.COMPLETED, 1.3, s, query_id="q2", version=2) for s in SHARDS]
    history.calls += calls
    history.end_query(QueryEnded(1.4, 2, "q2", "complete", "", "", 2, rows, SHARDS))
    assert _promises(history) == {Promise.SINGLE_SNAPSHOT}


@pytest.mark.parametrize(
    "change",
    [
        {"included": ("s000",)},
        {"included": ("s000",), "missing": ("s001",)},
        {"rows": ()},
    ],
)
def test_a_false_coverage_is_found(change: dict[str, object]) -> None:
    history = _answered()
    _change_end(history, **change)
    assert Promise.TRUE_COVERAGE in _promises(history)


def test_a_shard_included_before_any_back_end_completed_it_is_found() -> None:
    history = _answered()
    history.calls[1] = _call(CallStage.COMPLETED, 1.3, "s001")
    assert _promises(history) == {Promise.TRUE_COVERAGE}


def test_rows_that_match_another_request_are_found() -> None:
    history = _answered()
    history.sent[1] = msgspec.structs.replace(history.sent[1], match={"entity": "nobody"})
    assert Promise.OWN_ANSWER in _promises(history)


def test_an_answer_for_a_strange_tenant_is_found() -> None:
    history = _answered()
    history.sent[1] = msgspec.structs.replace(history.sent[1], tenant="rival")
    assert _promises(history) == {Promise.OWN_ANSWER}


def test_a_second_answer_is_found() -> None:
    history = _answered()
    history.end_query(history.ended[1])
    assert _promises(history) == {Promise.OWN_ANSWER}


def test_not_run_is_false_once_a_back_end_started_even_later() -> None:
    history = _answered()
    _change_end(history, outcome="not_run", version=None, rows=(), included=())
    assert _promises(history) == set()
    history.calls.append(_call(CallStage.STARTED, 9.0))
    assert _promises(history) == {Promise.TRUE_NOT_RUN}


def test_an_operation_started_twice_is_found() -> None:
    history = History(finished_at=9.0)
    history.calls.append(_call(CallStage.STARTED, 1.0, operation="buy/k1"))
    history.calls.append(_call(CallStage.STARTED, 2.0, operation="buy/k2"))
    assert _promises(history) == set()
    history.calls.append(_call(CallStage.STARTED, 3.0, operation="buy/k1"))
    assert _promises(history) == {Promise.AT_MOST_ONCE}


def test_late_work_to_a_leaving_back_end_is_found_unless_the_node_slept() -> None:
    history = History(finished_at=20.0)
    history.drains.append(DrainSigned(1.0, "gate-b0"))
    history.calls.append(_call(CallStage.RECEIVED, 3.9))
    assert _promises(history) == set()
    history.calls.append(_call(CallStage.RECEIVED, 10.0))
    assert _promises(history) == {Promise.NO_WORK_TO_LEAVING}
    history.nodes.append(NodeSeen(2.0, "n0", NodeStage.PAUSED))
    history.nodes.append(NodeSeen(9.9, "n0", NodeStage.WOKEN))
    assert _promises(history) == set()


def test_a_request_lost_to_a_planned_stop_is_found() -> None:
    history = _answered()
    _change_end(history, outcome="lost", version=None, rows=(), included=())
    assert _promises(history) == set()
    history.nodes.append(NodeSeen(1.05, "n0", NodeStage.STOP_BEGUN))
    history.nodes.append(NodeSeen(1.15, "n0", NodeStage.STOPPED))
    assert _promises(history) == {Promise.STOP_CUTS_NOTHING}


def test_a_relay_lost_at_the_stopping_node_is_found_and_one_elsewhere_is_not() -> None:
    history = _answered()
    lost = {"outcome": "may_have_run", "reason": "relay_lost", "version": None}
    _change_end(history, detail="10.0.0.2:8081: no answer in 0.2 s", rows=(), included=(), **lost)
    history.nodes.append(NodeSeen(1.05, "n9", NodeStage.STOP_BEGUN, address="10.0.0.9:8081"))
    history.nodes.append(NodeSeen(1.15, "n9", NodeStage.STOPPED, address="10.0.0.9:8081"))
    assert _promises(history) == set()
    _change_end(history, detail="10.0.0.9:8081: no answer in 0.2 s")
    assert _promises(history) == {Promise.STOP_CUTS_NOTHING}


def _revisions(*seen: tuple[float, str, int]) -> History:
    history = History(finished_at=20.0)
    for node in ("n0", "n1"):
        history.nodes.append(NodeSeen(0.0, node, NodeStage.STARTED))
        history.revisions.append(RevisionSeen(0.1, node, 1, 1))
    history.revisions += [RevisionSeen(at, node, 1, revision) for at, node, revision in seen]
    return history


def test_a_revision_must_be_in_force_within_seconds_and_never_lowered() -> None:
    assert _promises(_revisions((1.0, "n0", 2), (5.9, "n1", 2))) == set()
    late = _revisions((1.0, "n0", 2), (6.1, "n1", 2))
    lowered = _revisions((1.0, "n0", 2), (1.0, "n1", 2), (2.0, "n1", 1))
    assert _promises(late) == {Promise.CONFIGURATION_HOLDS}
    assert _promises(lowered) == {Promise.CONFIGURATION_HOLDS}
