"""Coordinator sets: same result on all nodes, spread over zones, shares, and churn."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from tinrudder.cluster.view import Member, MemberStatus, build_view
from tinrudder.node.decisions.backend_table import BackendTable
from tinrudder.node.decisions.coordinator_set import choose_coordinators
from tinrudder.node.query.coordinator_sets import CoordinatorSets
from tinrudder.node.resources.configuration import Configuration
from tinrudder.node.resources.model import BackendSpec, ServiceSpec
from tinrudder.peers import PeerAddress

ZONES = ("z1", "z2", "z3")


def member(number: int, status: MemberStatus = MemberStatus.ALIVE) -> Member:
    address = PeerAddress("127.0.0.1", number + 1)
    return Member(f"n{number}", 1, ZONES[number % len(ZONES)], "r", address, status)


@given(st.integers(1, 40), st.integers(1, 12), st.integers(1, 12), st.text(max_size=8))
def test_shares_add_up_to_the_slots(nodes: int, count: int, slots: int, backend: str) -> None:
    members = [member(number) for number in range(nodes)]
    chosen = choose_coordinators("service", members, min(count, slots))
    shares = [chosen.share(entry.name, backend, slots) for entry in chosen.members]
    assert sum(shares) == slots
    assert max(shares) - min(shares) <= 1


@given(st.sets(st.integers(0, 60), min_size=1), st.integers(1, 10), st.randoms())
def test_order_of_the_view_does_not_matter(numbers: set[int], count: int, source: object) -> None:
    members = [member(number) for number in sorted(numbers)]
    shuffled = list(members)
    source.shuffle(shuffled)
    expected = choose_coordinators("service", members, count)
    assert choose_coordinators("service", shuffled, count) == expected


@given(st.integers(6, 60), st.integers(1, 9), st.data())
def test_one_node_less_moves_at_most_two_places(
    nodes: int, count: int, data: st.DataObject
) -> None:
    members = [member(number) for number in range(nodes)]
    departed = data.draw(st.sampled_from(members))
    before = choose_coordinators("service", members, count)
    after = choose_coordinators("service", [m for m in members if m is not departed], count)
    joined = after.names - before.names
    assert len(joined) <= 2
    if departed.name not in before.names:
        assert not joined


def test_zones_are_used_evenly_and_leaving_members_not_at_all() -> None:
    members = [member(number) for number in range(12)]
    members[0] = member(0, MemberStatus.LEAVING)
    members[1] = member(1, MemberStatus.SUSPECT)
    for number in range(50):
        chosen = choose_coordinators(f"service-{number}", members, 3)
        assert {entry.zone for entry in chosen.members} == set(ZONES)
        assert "n0" not in chosen.names
    every = choose_coordinators("service", members, 99)
    assert "n1" in every.names


def test_connections_of_all_coordinators_stay_within_the_service_maximum() -> None:
    backend = BackendSpec(service="service", host="127.0.0.1", port=1, zone="zone-0", slots=5)
    service = ServiceSpec(region="r", tenants=(), max_connections_per_backend=7, coordinators=5)
    configuration = Configuration(services={"service": service}, backends={"backend": backend})
    view = build_view(tuple(member(number) for number in range(9)), 1)
    shares = []
    for name in view.by_name:
        sets = CoordinatorSets(name)
        sets.update(view, configuration)
        table = BackendTable()
        table.update({"backend": backend})
        table.share_connections({"backend": backend}, sets.connections)
        record = table.get("backend")
        assert record is not None
        if name in sets.of("service").names:
            shares.append(record.max_connections)
        else:
            assert record.max_connections == 1
    assert len(shares) == 5 and sum(shares) == 7
