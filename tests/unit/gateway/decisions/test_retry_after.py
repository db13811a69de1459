"""When refused callers are told to come back."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from tinrudder.gateway.decisions.admission.retry_after import (
    MAX_RESERVED_WAIT_SHARE,
    MAX_WAIT_SHARE,
    is_retry_in_time,
    retry_after_by_position_s,
    retry_after_by_share_s,
)


@given(st.floats(0.0, 5.0), st.floats(0.0, 5.0), st.floats(0.0, 1.0))
def test_an_announced_retry_time_is_one_that_the_caller_waits_for(
    room_in_s: float, left_s: float, draw: float
) -> None:
    announced_s = retry_after_by_position_s(room_in_s, left_s, draw)
    assert 0.0 <= announced_s <= left_s
    if is_retry_in_time(room_in_s, left_s):
        assert room_in_s <= announced_s <= MAX_RESERVED_WAIT_SHARE * left_s + 1e-9


@given(
    wait_s=st.floats(0.0, 5.0),
    admitted=st.floats(0.0, 1.0),
    left_s=st.floats(-1.0, 20.0),
    chance=st.floats(0.0, 1.0),
)
def test_a_pause_is_never_longer_than_clients_honour(
    wait_s: float, admitted: float, left_s: float, chance: float
) -> None:
    pause_s = retry_after_by_share_s(wait_s, admitted, left_s, chance)
    assert 0.0 <= pause_s <= max(0.0, left_s) * MAX_WAIT_SHARE
