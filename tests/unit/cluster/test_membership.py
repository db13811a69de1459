"""Membership of whole clusters in virtual time."""

from __future__ import annotations

import pytest

from tests.support.datagram_network import KEY, Cluster
from tinrudder.cluster.membership_list import ListedMember
from tinrudder.cluster.membership_messages import ObservationKind, same_start
from tinrudder.cluster.view import MemberStatus

ALIVE, SUSPECT = MemberStatus.ALIVE, MemberStatus.SUSPECT
LEAVING, DEAD = MemberStatus.LEAVING, MemberStatus.DEAD


def advance_until(cluster: Cluster, condition, limit_s: float) -> float:
    """Advance time in steps until the condition holds; return the seconds that passed."""
    started = cluster.timers.now
    while not condition():
        assert cluster.timers.now - started < limit_s, f"not within {limit_s} s"
        cluster.timers.advance(0.1)
    return cluster.timers.now - started


@pytest.mark.parametrize("loss", [0.0, 0.05])
def test_nodes_listed_by_the_platform_find_each_other(loss):
    assert Cluster(loss=loss).start(30).agreed()


def test_a_listed_address_that_never_answered_is_no_member():
    cluster = Cluster().start(5)
    cluster.list_everywhere([*cluster.nodes, "ghost"])
    cluster.timers.advance(5)
    assert cluster.statuses("ghost") == {None}


def test_a_node_that_is_not_listed_is_accepted():
    cluster = Cluster().start(5)
    newcomer = cluster.add("newcomer")
    newcomer.start([cluster.address("n000")])
    cluster.timers.advance(3)
    assert cluster.agreed()


@pytest.mark.parametrize("seed", range(3))
def test_a_killed_node_is_detected_and_nobody_else_is(seed):
    cluster = Cluster(seed=seed, loss=0.05).start(20)
    wrongly_dead = []
    cluster.nodes["n001"].on_member_changed(
        lambda change: (
            wrongly_dead.append(change.member)
            if change.member.status is DEAD and change.member.name != "n007"
            else None
        )
    )
    cluster.kill("n007")
    advance_until(cluster, lambda: cluster.statuses("n007") == {DEAD}, 12)
    cluster.timers.advance(60)
    assert wrongly_dead == []
    assert cluster.agreed()


def test_after_a_short_pause_nothing_is_announced():
    cluster = Cluster().start(10)
    node = cluster.nodes["n003"]
    before = node.own().incarnation
    cluster.endpoints["n003"].paused = True
    cluster.timers.advance(1.1)
    cluster.endpoints["n003"].resume()
    advance_until(cluster, cluster.agreed, 3)
    assert node.own().incarnation == before


@pytest.mark.parametrize("pause_s", [2.5, 30.0])
def test_a_paused_node_comes_back_under_a_raised_incarnation(pause_s):
    cluster = Cluster().start(10)
    node = cluster.nodes["n003"]
    before = node.own().incarnation
    cluster.endpoints["n003"].paused = True
    cluster.timers.advance(pause_s)
    cluster.endpoints["n003"].resume()
    assert node.own().incarnation > before
    assert same_start(node.own().incarnation, before)
    advance_until(cluster, cluster.agreed, 3)


def test_a_resumed_node_does_not_declare_the_others_dead():
    cluster = Cluster().start(10)
    cluster.kill("n009")
    cluster.timers.advance(2.5)
    resumed_node = cluster.nodes["n003"]
    declared_dead = []
    resumed_node.on_member_changed(
        lambda change: declared_dead.append(change.member.status is DEAD)
    )
    cluster.endpoints["n003"].paused = True
    cluster.timers.advance(40)
    cluster.endpoints["n003"].waiting.clear()
    cluster.endpoints["n003"].paused = False
    resumed_node.pause_detector.check()
    assert not any(declared_dead)


def test_both_sides_of_a_cut_go_on_and_converge_when_it_heals():
    cluster = Cluster(loss=0.02).start(20)
    names = sorted(cluster.nodes)
    near, far = names[:6], names[6:]
    cluster.network.partition = frozenset(cluster.address(name) for name in near)
    cluster.timers.advance(40)
    usable = [member.name for member in cluster.nodes[near[0]].view().usable()]
    assert usable == near
    cluster.network.partition = frozenset()
    advance_until(cluster, cluster.agreed, 15)
    assert cluster.nodes[far[0]].view().by_name[near[0]].status is ALIVE


def test_leaving_spreads_within_three_seconds():
    cluster = Cluster(loss=0.05).start(40)
    cluster.nodes["n004"].announce_leaving()
    assert advance_until(cluster, lambda: cluster.statuses("n004") == {LEAVING}, 3) <= 3


def test_a_node_that_stopped_is_gone_without_suspicion():
    cluster = Cluster().start(10)
    cluster.nodes["n004"].announce_leaving()
    cluster.nodes["n004"].stop()
    cluster.kill("n004")
    advance_until(cluster, lambda: cluster.statuses("n004") == {DEAD}, 3)


def test_the_same_name_started_again_is_a_new_incarnation():
    cluster = Cluster().start(8)
    node = cluster.nodes["n002"]
    node.set_enforced_revision(9)
    before = node.own().incarnation
    cluster.timers.advance(5)
    cluster.kill("n002")
    cluster.add("n002").start([cluster.address("n001")])
    advance_until(cluster, cluster.agreed, 3)
    for other in cluster.nodes.values():
        assert not same_start(other.view().by_name["n002"].incarnation, before)
        revisions = {entry.name: entry.revision for entry in other.enforced_revisions()}
        assert revisions["n002"] == 0


def test_the_incarnation_grows_even_when_the_clock_went_back():
    cluster = Cluster().start(5)
    before = cluster.nodes["n002"].own().incarnation
    cluster.kill("n002")
    cluster.timers.advance(0.5)
    wall_clock = cluster.wall_clock
    cluster.wall_clock = lambda: wall_clock() - 30
    cluster.add("n002").start([cluster.address("n001")])
    advance_until(cluster, cluster.agreed, 15)
    assert cluster.nodes["n002"].own().incarnation > before


def test_a_node_without_the_key_stays_outside():
    cluster = Cluster().start(5)
    stranger = cluster.add("stranger", keys=(b"another key",))
    stranger.start([cluster.address("n000")])
    cluster.timers.advance(10)
    del cluster.nodes["stranger"]
    assert cluster.agreed()
    assert cluster.nodes["n000"].counters.refused > 0


def test_keys_change_without_a_stop():
    cluster = Cluster().start(5)
    cluster.add("newer", keys=(b"next key", KEY)).start([cluster.address("n000")])
    cluster.timers.advance(2)
    assert cluster.nodes["n000"].counters.refused > 0
    assert cluster.statuses("newer") == {None}
    cluster.add("later", keys=(KEY, b"next key")).start([cluster.address("n000")])
    advance_until(cluster, lambda: cluster.statuses("later") >= {ALIVE}, 5)


def test_every_node_learns_who_enforces_a_revision():
    cluster = Cluster(loss=0.05).start(40)
    pulled = []
    for name, node in cluster.nodes.items():

        def pull(member, revision, node=node, name=name):
            pulled.append(name)
            node.set_enforced_revision(revision)

        node.on_newer_revision(pull)
    cluster.nodes["n000"].set_enforced_revision(7)

    def all_known() -> bool:
        return all(
            {entry.revision for entry in node.enforced_revisions()} == {7}
            for node in cluster.nodes.values()
        )

    advance_until(cluster, all_known, 5)
    assert sorted(set(pulled)) == sorted(cluster.nodes)[1:]


def test_an_observation_reaches_everyone_and_is_taken_back():
    cluster = Cluster(loss=0.05).start(40)
    cluster.nodes["n005"].publish_observation("backend-1", ObservationKind.DRAINING)

    def known(expected: set[str]) -> bool:
        return all(
            {hint.backend for hint in node.heard_observations()} == expected
            for node in cluster.nodes.values()
        )

    advance_until(cluster, lambda: known({"backend-1"}), 3)
    cluster.nodes["n017"].publish_observation("backend-1", ObservationKind.RECOVERED)
    advance_until(cluster, lambda: known(set()), 3)


def offer_leaving(cluster: Cluster, to: str, leaving: str | None) -> None:
    names = sorted(cluster.nodes)
    listed = [ListedMember(name, cluster.address(name), name == leaving) for name in names]
    cluster.nodes[to].offer_list(2, tuple(listed))


def test_a_member_leaving_on_one_nodes_list_leaves_everywhere_at_once():
    cluster = Cluster(loss=0.05).start(20)
    offer_leaving(cluster, "n000", "n001")
    advance_until(cluster, lambda: cluster.statuses("n001") == {LEAVING}, 1.5)
    assert cluster.nodes["n001"].own().status is LEAVING
    cluster.kill("n001")
    cluster.timers.advance(1)
    cluster.add("n001").start([cluster.address("n002")])
    advance_until(cluster, cluster.agreed, 5)


def test_a_node_returns_when_the_list_no_longer_marks_it_leaving():
    cluster = Cluster(loss=0.05).start(20)
    offer_leaving(cluster, "n000", "n001")
    cluster.timers.advance(2)
    offer_leaving(cluster, "n001", None)
    advance_until(cluster, cluster.agreed, 2)


def test_a_planned_stop_is_not_taken_back_by_the_list():
    cluster = Cluster().start(5)
    cluster.nodes["n001"].announce_leaving()
    offer_leaving(cluster, "n001", None)
    cluster.timers.advance(2)
    assert cluster.statuses("n001") == {LEAVING}


def test_runs_with_one_seed_are_equal():
    def run() -> list[tuple[int, int]]:
        cluster = Cluster(seed=5, loss=0.1).start(12)
        cluster.kill("n003")
        cluster.timers.advance(20)
        counters = [node.counters for node in cluster.nodes.values()]
        return [(counter.sent, counter.sent_bytes) for counter in counters]

    assert run() == run()
