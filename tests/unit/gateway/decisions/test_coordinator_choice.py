"""Choice of the gateways that coordinate an index, and the order in which others ask them."""

from __future__ import annotations

import math
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from tinrudder.gateway.decisions.placement.coordinator_choice import (
    DIVIDED_CONNECTION_SHARE,
    MIN_COORDINATORS_PER_ZONE,
    Candidate,
    IndexDemand,
    choose_coordinators,
    choose_readers,
    coordinators_needed,
    order_coordinators,
    strong_candidates,
)

ZONES = ("zone-a", "zone-b", "zone-c")
CANDIDATES = st.lists(
    st.builds(
        Candidate,
        name=st.integers(1, 400).map(lambda number: f"10.0.0.{number}:1"),
        zone=st.sampled_from(ZONES),
        capacity=st.sampled_from([0.5, 1.0, 2.0]),
    ),
    max_size=40,
    unique_by=lambda candidate: candidate.name,
)


def fleet(each: int, capacity: float = 1.0) -> list[Candidate]:
    return [
        Candidate(f"{zone}-{number}", zone, capacity) for zone in ZONES for number in range(each)
    ]


@given(replicas=st.integers(1, 20), max_connections=st.integers(1, 500), nodes=st.integers(1, 1000))
def test_every_caller_gets_enough_connections(
    replicas: int, max_connections: int, nodes: int
) -> None:
    demand = IndexDemand(replicas, max_connections)
    needed = coordinators_needed(demand, nodes)
    callers = nodes if needed is None else needed
    assert callers >= 1
    assert needed is None or needed == 1 or needed * 8 <= demand.connections
    if needed is None:
        assert callers <= DIVIDED_CONNECTION_SHARE * max_connections * replicas / 4


@given(candidates=CANDIDATES, count=st.integers(1, 12))
def test_every_zone_has_coordinators_of_its_own(candidates: list[Candidate], count: int) -> None:
    chosen = choose_coordinators("index", candidates, count)
    assert set(chosen) <= set(candidates)
    candidates_in_zone = Counter(candidate.zone for candidate in candidates)
    chosen_in_zone = Counter(candidate.zone for candidate in chosen)
    for zone, available in candidates_in_zone.items():
        wanted = max(MIN_COORDINATORS_PER_ZONE, math.ceil(count / len(candidates_in_zone)))
        assert chosen_in_zone[zone] == min(available, wanted)


@given(candidates=CANDIDATES, count=st.integers(1, 12))
def test_the_order_of_candidates_does_not_matter(candidates: list[Candidate], count: int) -> None:
    chosen = choose_coordinators("index", candidates, count)
    assert choose_coordinators("index", reversed(candidates), count) == chosen


@given(candidates=CANDIDATES, count=st.integers(1, 12), data=st.data())
def test_the_loss_of_a_gateway_replaces_only_that_gateway(
    candidates: list[Candidate], count: int, data: st.DataObject
) -> None:
    if not candidates:
        return
    gone = data.draw(st.sampled_from(candidates))
    rest = [candidate for candidate in candidates if candidate != gone]
    if {candidate.zone for candidate in rest} != {candidate.zone for candidate in candidates}:
        return
    before = set(choose_coordinators("index", candidates, count))
    after = set(choose_coordinators("index", rest, count))
    assert len(after - before) <= (1 if gone in before else 0)


def test_stronger_machines_are_chosen_before_weaker_ones() -> None:
    strong = [
        Candidate(f"strong-{zone}-{number}", zone, 2.15) for zone in ZONES for number in (1, 2)
    ]
    weak = fleet(13, 0.516)
    chosen = [choose_coordinators(f"index-{number}", strong + weak, 6) for number in range(50)]
    taken = Counter(candidate.capacity for one in chosen for candidate in one)
    assert taken[2.15] >= 0.95 * sum(taken.values())


def test_indexes_spread_over_equal_machines() -> None:
    chosen = [choose_coordinators(f"index-{number}", fleet(10), 6) for number in range(200)]
    busy = Counter(candidate.name for one in chosen for candidate in one)
    assert len(busy) == 30
    assert max(busy.values()) <= 2 * min(busy.values())


def test_a_gateway_asks_its_own_zone_first_and_always_the_same_coordinator() -> None:
    coordinators = choose_coordinators("index", fleet(4), 6)
    for number in range(30):
        order = order_coordinators(f"gateway-{number}", "zone-b", coordinators)
        assert [one.zone for one in order[:2]] == ["zone-b", "zone-b"]
        assert set(order) == set(coordinators)
    first = Counter(
        order_coordinators(f"g-{number}", "zone-b", coordinators)[0] for number in range(300)
    )
    assert len(first) == 2
    assert min(first.values()) >= 100


@given(st.integers(1, 12), st.integers(1, 40), st.integers(1, 20))
def test_readers_are_no_more_than_wanted_but_one_in_each_zone(
    zones: int, in_each: int, max_readers: int
) -> None:
    candidates = [
        Candidate(f"{zone}-{i}", f"z{zone}", 1.0) for zone in range(zones) for i in range(in_each)
    ]
    chosen = choose_readers("reader", candidates, max_readers)
    assert len(chosen) <= max(max_readers, zones)
    assert {one.zone for one in chosen} == {one.zone for one in candidates}


def test_weak_coordinators_are_asked_after_the_strong_ones_of_their_zone() -> None:
    strong = [Candidate(f"s{number}", "z1", 2.15) for number in range(2)]
    weak = [Candidate("w0", "z1", 0.5)]
    elsewhere = [Candidate("e0", "z2", 2.15)]
    for number in range(50):
        order = order_coordinators(f"gateway-{number}", "z1", strong + weak + elsewhere)
        assert set(order[:2]) == set(strong)
        assert order[2:] == (*weak, *elsewhere)


def test_candidates_of_equal_capacity_are_all_strong() -> None:
    assert set(strong_candidates(fleet(4, 0.5))) == set(fleet(4, 0.5))
    assert strong_candidates([]) == ()
