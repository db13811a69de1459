"""Choice of the shards that are delegated to a gateway in another zone."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from tinrudder.gateway.decisions.placement.shard_placement import (
    ScatterSizes,
    group_shards_by_zones,
    is_delegation_worthwhile,
)

ZONES = ("a", "b", "c", "d")
REPLICAS = st.dictionaries(
    st.integers(0, 40).map(lambda number: f"shard-{number}"),
    st.frozensets(st.sampled_from(ZONES), max_size=3),
    max_size=30,
)
SIZES = st.builds(ScatterSizes, part=st.floats(0, 5000), merged=st.floats(0, 20000))


@given(
    own=st.sampled_from(ZONES),
    zones=st.frozensets(st.sampled_from(ZONES)),
    replicas=REPLICAS,
    sizes=SIZES,
)
def test_only_shards_without_a_local_replica_go_and_only_to_their_zones(
    own: str, zones: frozenset[str], replicas: dict[str, frozenset[str]], sizes: ScatterSizes
) -> None:
    groups = group_shards_by_zones(own, zones, replicas, sizes)
    delegated = [shard for group in groups for shard in group.shards]
    assert len(delegated) == len(set(delegated))
    for group in groups:
        assert group.zones <= zones - {own}
        assert group.zones
        assert is_delegation_worthwhile(len(group.shards), sizes)
        for shard in group.shards:
            assert own not in replicas[shard]
            assert group.zones <= replicas[shard]


@given(part=st.floats(0, 5000), merged=st.floats(0, 20000), shards=st.integers(1, 200))
def test_delegation_stays_worthwhile_with_more_shards(
    part: float, merged: float, shards: int
) -> None:
    sizes = ScatterSizes(part, merged)
    if is_delegation_worthwhile(shards, sizes):
        assert is_delegation_worthwhile(shards + 1, sizes)


def test_a_large_merged_answer_is_fetched_part_by_part() -> None:
    replicas = {f"shard-{number}": ("b",) for number in range(10)}
    assert group_shards_by_zones("a", "ab", replicas, ScatterSizes(part=1000.0, merged=800.0))
    assert not group_shards_by_zones("a", "ab", replicas, ScatterSizes(part=1000.0, merged=9000.0))


def test_shards_of_several_places_make_several_groups() -> None:
    replicas = {f"b-{number}": ("b",) for number in range(10)}
    replicas |= {f"c-{number}": ("c",) for number in range(8)}
    replicas |= {"lost": ()}
    groups = group_shards_by_zones("a", "abc", replicas, ScatterSizes(part=1000.0, merged=800.0))
    assert [(len(group.shards), set(group.zones)) for group in groups] == [(10, {"b"}), (8, {"c"})]
