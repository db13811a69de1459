"""Entry nodes and coordinators under partitions, crashes, pauses and stops, in virtual time."""

from __future__ import annotations

from collections import Counter

import pytest

from tests.support.relay_world import (
    COORDINATOR_ZONE,
    CUT_ZONE,
    DEADLINE_S,
    DURATION_S,
    SLOTS,
    ended_queries,
    non_repeatable_rule,
    peak_calls,
    relayed_query_count,
    run,
    slowest_s,
)
from tinrudder.node.configuration_service.messages import MemberState
from tinrudder.node.decisions.coordinator_set import SLOT_HEADROOM
from tinrudder_lab import faults
from tinrudder_lab.checkers.all import check_history
from tinrudder_lab.faults import Step
from tinrudder_lab.history import CallStage
from tinrudder_lab.sim.world import World

FAULT_AT_S = 2.0
NODES = 8
ROUND_TRIP_S = 0.02
"""Seconds for the round trip between a caller and its node, and for scheduling."""


def outcomes(world: World, after: float = 0.0) -> Counter[str]:
    return Counter(ended.outcome for ended in ended_queries(world, after))


@pytest.mark.parametrize("both", [True, False])
def test_entry_and_coordinator_on_opposite_sides_of_a_cut(both: bool) -> None:
    sides = frozenset({CUT_ZONE}), frozenset({COORDINATOR_ZONE})
    world = run(lambda _: [Step(FAULT_AT_S, faults.cut(*sides, seconds=60.0, both=both))])
    assert slowest_s(world) <= DEADLINE_S + ROUND_TRIP_S
    assert set(outcomes(world)) <= {"complete", "partial"}
    assert check_history(world.history) == ()
    assert peak_calls(world) <= SLOTS * SLOT_HEADROOM + NODES


def test_cut_leaves_requests_that_must_not_repeat_unknown_but_never_not_run() -> None:
    sides = frozenset({CUT_ZONE}), frozenset({COORDINATOR_ZONE})
    steps = [Step(FAULT_AT_S, faults.cut(*sides, seconds=60.0, both=True))]
    world = run(lambda _: steps, non_repeatable_rule())
    assert slowest_s(world) <= DEADLINE_S + ROUND_TRIP_S
    counted = outcomes(world)
    assert set(counted) <= {"complete", "partial", "may_have_run"}
    assert 0 < counted["may_have_run"] <= 20, "only queries in flight when the partition began"


def test_coordinator_lost_in_the_middle_of_queries() -> None:
    world = run(lambda name: [Step(FAULT_AT_S, faults.crash_node(name, restart_after_s=None))])
    assert slowest_s(world) <= DEADLINE_S + ROUND_TRIP_S
    counted = outcomes(world)
    assert set(counted) <= {"complete", "lost"}
    lost_at = {
        world.history.sent[e.query].node for e in ended_queries(world) if e.outcome == "lost"
    }
    assert len(lost_at) <= 1, "only clients of the crashed node lose their connection"


def test_every_coordinator_lost_leaves_the_work_to_the_last_node() -> None:
    survivor = f"{CUT_ZONE}-n0"

    def crash_others(world: World) -> None:
        for name in tuple(world.hosts):
            if name != survivor:
                world.crash_node(name)

    world = run(lambda _: [Step(FAULT_AT_S, crash_others)])
    crashed_at = next(node.at for node in world.history.nodes if node.stage == "crashed")
    assert slowest_s(world) <= DEADLINE_S + ROUND_TRIP_S
    assert set(outcomes(world)) <= {"complete", "partial", "lost", "not_run", "failed"}
    last_second = outcomes(world, after=crashed_at + DURATION_S - FAULT_AT_S - 1.0)
    assert last_second["complete"] > 0
    assert set(last_second) <= {"complete", "partial", "not_run"}


def test_paused_coordinator_runs_nothing_stale_when_it_wakes() -> None:
    pause_s = 2.5
    world = run(lambda name: [Step(FAULT_AT_S, faults.pause_node(name, pause_s))])
    history = world.history
    woken_at = next(node.at for node in history.nodes if node.stage == "woken")
    ended_before = {e.query_id for e in ended_queries(world) if e.query_id and e.at < woken_at}
    started_late = [
        call
        for call in history.calls
        if call.stage is CallStage.RECEIVED
        and call.at >= woken_at
        and call.query_id in ended_before
    ]
    assert started_late == []
    paused = next(node.node for node in history.nodes if node.stage == "paused")
    others = [e for e in ended_queries(world) if history.sent[e.query].node != paused]
    assert {ended.outcome for ended in others} <= {"complete", "partial"}


def test_rolling_stop_of_every_node_under_load_cuts_off_nothing() -> None:
    def stop_all(world: World) -> None:
        for number, name in enumerate(tuple(world.hosts)):
            world.loop.call_later(0.6 * number, faults.stop_node(name), world)

    world = run(lambda _: [Step(0.2, stop_all)])
    assert outcomes(world) == {"complete": len(world.history.sent)}
    assert relayed_query_count(world) > 0
    stops = [node for node in world.history.nodes if node.stage == "stopped"]
    assert len(stops) == NODES
    assert all(node.unfinished == 0 for node in stops)
    assert peak_calls(world) <= 2 * SLOTS * SLOT_HEADROOM + NODES


def test_stop_announced_by_the_platforms_list_alone_moves_the_work() -> None:
    def list_as_leaving(world: World) -> None:
        world.set_member_state(f"{COORDINATOR_ZONE}-n0", MemberState.LEAVING)
        world.set_member_state(f"{COORDINATOR_ZONE}-n1", MemberState.LEAVING)

    world = run(lambda _: [Step(1.0, list_as_leaving)])
    assert outcomes(world) == {"complete": len(world.history.sent)}
