"""One node's observation of a draining back end reaches all nodes, without the platform.

Guards against nodes that keep sending to a draining back end, and against drain marks that stay
after the back end has recovered.
"""

from __future__ import annotations

import random

import pytest

from tests.support.datagram_network import Cluster
from tinrudder.node.decisions.backend_table import BackendTable
from tinrudder.node.decisions.drain_notices import MAX_NOTICE_LIFETIME_S
from tinrudder.node.node_observations import NodeObservations
from tinrudder.node.resources.model import BackendSpec, BackendState

SPECS = {"b1": BackendSpec(service="s", host="10.0.0.2", port=1, zone="z", slots=2)}


class Fleet:
    def __init__(self, count: int = 30, loss: float = 0.05) -> None:
        self.cluster = Cluster(loss=loss).start(count)
        self.tables = {name: BackendTable() for name in self.cluster.nodes}
        self.observers = {name: self.observe(name) for name in self.cluster.nodes}

    def observe(self, name: str) -> NodeObservations:
        self.tables[name].update(SPECS)
        node, endpoint = self.cluster.nodes[name], self.cluster.endpoints[name]
        return NodeObservations(endpoint, random.Random(name), self.tables[name], node)

    def leaving_states(self) -> set[bool]:
        return {table.get("b1").leaving for table in self.tables.values()}

    def see_draining(self, name: str) -> None:
        self.observers[name].on_draining_reply(self.tables[name].get("b1"))

    def see_non_draining_answer(self, name: str, sent_at: float) -> None:
        record = self.tables[name].get("b1")
        record.non_draining_sent_at = sent_at
        self.observers[name].on_non_draining_answer(record, sent_at)


@pytest.fixture
def fleet() -> Fleet:
    return Fleet()


def test_all_nodes_mark_a_draining_back_end_within_three_seconds(fleet):
    fleet.see_draining("n003")
    fleet.cluster.timers.advance(3)
    assert fleet.leaving_states() == {True}


def test_a_new_configuration_does_not_make_it_usable_again(fleet):
    fleet.see_draining("n003")
    fleet.cluster.timers.advance(3)
    for table in fleet.tables.values():
        table.update(SPECS)
    assert fleet.leaving_states() == {True}


def test_a_node_that_joins_later_learns_of_a_draining_back_end(fleet):
    fleet.see_draining("n003")
    fleet.cluster.timers.advance(20)
    fleet.cluster.add("late").start([fleet.cluster.address("n001")])
    fleet.tables["late"] = BackendTable()
    fleet.observers["late"] = fleet.observe("late")
    fleet.cluster.timers.advance(3)
    assert fleet.leaving_states() == {True}


def test_an_answer_to_an_earlier_call_keeps_the_mark(fleet):
    fleet.see_draining("n003")
    fleet.see_non_draining_answer("n003", fleet.cluster.timers.now - 0.01)
    fleet.cluster.timers.advance(3)
    assert fleet.leaving_states() == {True}


def test_an_answer_to_a_later_call_clears_the_mark_on_all_nodes(fleet):
    fleet.see_draining("n003")
    fleet.cluster.timers.advance(3)
    fleet.see_non_draining_answer("n011", fleet.cluster.timers.now - 1)
    fleet.cluster.timers.advance(3)
    assert fleet.leaving_states() == {False}


def test_own_newer_observation_overrides_a_received_one():
    fleet = Fleet(4, loss=0.0)
    fleet.tables["n000"].get("b1").non_draining_sent_at = fleet.cluster.timers.now + 1
    fleet.see_draining("n003")
    fleet.cluster.timers.advance(3)
    assert fleet.leaving_states() == {False}


def test_a_drain_sign_expires_unless_renewed(fleet):
    fleet.see_draining("n003")
    fleet.cluster.timers.advance(MAX_NOTICE_LIFETIME_S + 2)
    assert fleet.leaving_states() == {False}


def test_a_configured_draining_state_outlasts_a_drain_sign(fleet):
    fleet.see_draining("n003")
    spec = BackendSpec(
        service="s", host="10.0.0.2", port=1, zone="z", slots=2, state=BackendState.DRAINING
    )
    for table in fleet.tables.values():
        table.update({"b1": spec})
    fleet.cluster.timers.advance(MAX_NOTICE_LIFETIME_S + 2)
    assert fleet.leaving_states() == {True}
