"""Requests are divided by weight, at each gateway and over all gateways."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tinrudder.gateway.decisions.placement.weighted_rotation import WeightedRotation
from tinrudder.gateway.requests.routes_in_force import INITIAL_TURNS


@given(st.dictionaries(st.sampled_from("abcd"), st.integers(1, 9), min_size=1))
def test_shares_stay_near_their_weights_at_every_moment(weights: dict[str, int]) -> None:
    rotation = WeightedRotation(weights)
    seen: Counter[str] = Counter()
    total = sum(weights.values())
    for turn in range(1, 101):
        seen[rotation.next()] += 1
        for name, weight in weights.items():
            assert abs(seen[name] - turn * weight / total) < len(weights)


def test_a_choice_without_weight_gets_nothing() -> None:
    rotation = WeightedRotation({"a": 1, "b": 0})
    assert {rotation.next() for _ in range(10)} == {"a"}
    with pytest.raises(ValueError, match="weights"):
        WeightedRotation({"b": 0})


@given(
    weights=st.dictionaries(st.sampled_from("abc"), st.integers(1, 9), min_size=2),
    seed=st.integers(0, 1000),
)
def test_shares_hold_over_many_gateways_that_see_few_requests_each(
    weights: dict[str, int], seed: int
) -> None:
    """Each gateway starts at a random turn.

    With a common start, gateways that see few requests would all choose the same services.
    """
    source = random.Random(seed)
    seen: Counter[str] = Counter()
    for _ in range(400):
        rotation = WeightedRotation(weights, source.randrange(INITIAL_TURNS))
        seen.update(rotation.next() for _ in range(2))
    for name, weight in weights.items():
        assert abs(seen[name] / 800 - weight / sum(weights.values())) < 0.1
