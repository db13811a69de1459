"""Resources accepted by a newer release, on a node of an older one during a rolling upgrade."""

from __future__ import annotations

import random

from tests.support.fakes import ManualTimers
from tinrudder.node.decisions.service_routing import RoutingTable
from tinrudder.node.resources.accepted import (
    AcceptedResource,
    DocumentVersion,
    ResourceKey,
    make_state,
)
from tinrudder.node.resources.status import NodeRevision, StatusReporter
from tinrudder.node.resources.store import ConfigurationStore


def test_a_policy_this_release_does_not_have_gives_way_to_the_default() -> None:
    table = RoutingTable(ManualTimers().time, random.Random(1))
    newer = table.routing_of("service", {"hedge": "clairvoyant"})
    assert newer.hedge is table.routing_of("service", {}).hedge


def test_a_specification_this_release_cannot_read_is_left_out_and_reported() -> None:
    store = ConfigurationStore()
    key = ResourceKey("Tenant", "a")
    newer = AcceptedResource(key, 1, 1, b'{"weight":1,"colour":"red"}')
    store.merge(make_state(DocumentVersion(1, b"d"), [newer]))
    assert store.current.tenants == {}
    reporter = StatusReporter(store, lambda: [NodeRevision("n", "z", "alive", 1)])
    assert reporter.conditions_of(newer, reporter.count())[0].reason == "Unreadable"
