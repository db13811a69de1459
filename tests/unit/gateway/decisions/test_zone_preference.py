"""How much a replica in the gateway's own zone is preferred."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from tinrudder.gateway.decisions.placement.backend_observations import BackendObservations
from tinrudder.gateway.decisions.placement.zone_preference import (
    MAX_ADVANTAGE,
    MIN_ADVANTAGE,
    is_slow,
    zone_advantage,
)


@given(
    typical_time_s=st.floats(0.001, 1.0),
    longer=st.floats(1.0, 10.0),
    hedge=st.floats(0.004, 0.5),
    objective_s=st.floats(0.02, 2.0),
)
def test_the_preference_of_the_own_zone_falls_as_calls_take_longer(
    typical_time_s: float, longer: float, hedge: float, objective_s: float
) -> None:
    usual = zone_advantage(typical_time_s, hedge, objective_s)
    loaded = zone_advantage(typical_time_s * longer, hedge * longer, objective_s)
    assert MIN_ADVANTAGE <= loaded <= usual <= MAX_ADVANTAGE


def test_one_stall_is_not_slowness_but_two_slow_answers_are() -> None:
    backend = BackendObservations()
    backend.answered(backend.begin(0.0, 0.033), 0.2)
    assert not is_slow(backend.expected_relative_latency(0.2))
    slow = BackendObservations()
    for sent_at in (0.0, 0.4):
        slow.answered(slow.begin(sent_at, 0.033), sent_at + 0.33)
    assert is_slow(slow.expected_relative_latency(0.8))
