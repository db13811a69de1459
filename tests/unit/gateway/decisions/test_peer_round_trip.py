"""The allowance for a peer's answer follows the observed round-trip times."""

from __future__ import annotations

import random

from hypothesis import example, given
from hypothesis import strategies as st

from tinrudder.gateway.decisions.attempts.peer_round_trip import MAX_SAMPLE_S, PeerRoundTrip


def seen(values: list[float]) -> PeerRoundTrip:
    path = PeerRoundTrip()
    for value in values:
        path.observe(value)
    return path


@given(st.floats(0.0005, 0.04), st.integers(0, 1000))
@example(0.001, 33)
@example(0.001, 527)
@example(0.001, 956)
def test_nearly_all_later_answers_stay_within_the_allowance(usual_s: float, seed: int) -> None:
    source = random.Random(seed)
    path = seen([usual_s * source.uniform(0.8, 1.2) for _ in range(60)])
    late = sum(usual_s * source.uniform(0.8, 1.2) > path.allowance_s for _ in range(100))
    assert late <= 5
    assert path.allowance_s <= 2.0 * usual_s


@given(st.floats(0.0005, 0.04), st.integers(0, 1000))
def test_the_allowance_is_at_most_twice_what_is_usual(usual_s: float, seed: int) -> None:
    source = random.Random(seed)
    path = seen([usual_s * source.uniform(0.8, 1.2) for _ in range(60)])
    assert path.allowance_s <= 2.0 * usual_s


def test_a_single_stall_asks_for_little_more_and_is_soon_forgotten() -> None:
    path = seen([0.004] * 60)
    path.observe(5.0)
    assert path.allowance_s <= 2.0 * MAX_SAMPLE_S
    for _ in range(30):
        path.observe(0.004)
    assert path.allowance_s < 0.008
