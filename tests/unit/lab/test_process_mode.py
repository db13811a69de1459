"""Process mode's recording, without processes: what outlives a kill and whom a call counts for."""

from __future__ import annotations

import msgspec
import pytest

from tinrudder.node.backends.messages import SearchRequest
from tinrudder_lab.checkers.draining import check as check_draining
from tinrudder_lab.history import CallStage, DrainSigned, History, NodeSeen, NodeStage
from tinrudder_lab.main import main
from tinrudder_lab.process_mode.call_log import CallLog, name_absent_nodes, read_calls
from tinrudder_lab.sightings import calls_seen

REQUEST = SearchRequest(
    1, "gate.orders", 3, ("s001", "s002"), {}, "time", False, 9, 100, query_id="q1"
)


def late_call_history() -> History:
    """A call 5 s after the sign that its back end leaves, 2 s after a node woke."""
    history = History(drains=[DrainSigned(1.0, "gate-b0")])
    history.calls = calls_seen(6.0, "gate-b0", CallStage.RECEIVED, REQUEST, "")
    return history


def test_events_are_in_the_file_before_the_process_ends_and_a_restart_appends(tmp_path):
    path = tmp_path / "calls"
    for stage in (CallStage.STARTED, CallStage.COMPLETED):
        CallLog(path).observer_of("gate-b0")(stage, REQUEST, "")
    calls = read_calls([path], 0.0)
    expected = [(stage, shard) for stage in ("started", "completed") for shard in REQUEST.shards]
    assert [(call.stage, call.shard) for call in calls] == expected
    assert {(call.query_id, call.version) for call in calls} == {("q1", 3)}


def test_an_operation_is_named_by_what_all_its_submissions_share():
    submission = msgspec.structs.replace(REQUEST, operation="book", request_key="fans/k1")
    events = calls_seen(0.0, "gate-b0", CallStage.STARTED, submission, "")
    assert {event.operation for event in events} == {"book/fans/k1"}


def test_a_late_call_to_a_leaving_back_end_is_excused_only_while_a_node_was_away():
    awake = late_call_history()
    name_absent_nodes(awake)
    assert len(list(check_draining(awake))) == 1
    asleep = late_call_history()
    asleep.nodes = [
        NodeSeen(0.5, "mvd-a-n0", NodeStage.PAUSED),
        NodeSeen(4.0, "mvd-a-n0", NodeStage.WOKEN),
    ]
    name_absent_nodes(asleep)
    assert not list(check_draining(asleep))


@pytest.mark.parametrize("scenario", ["zone-cut", "region-cut"])
def test_a_cut_is_refused_in_process_mode(scenario, capsys):
    assert main(["run", scenario, "--mode", "process"]) == 2
    assert f"{scenario} runs in virtual time only" in capsys.readouterr().err


def test_the_list_tells_each_scenarios_modes(capsys):
    main(["list", "--json"])
    rows = msgspec.json.decode(capsys.readouterr().out)
    assert rows["rolling-stop"]["modes"] == ["sim", "process"]
    assert rows["zone-cut"]["modes"] == ["sim"]
