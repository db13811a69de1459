"""How many scatters of one index may run at a gateway."""

from __future__ import annotations

import pytest

from tinrudder.gateway.decisions.admission.scatter_concurrency import (
    OVER_COMMITMENT,
    QUEUE_HIGH,
    QUEUE_LOW,
    ScatterConcurrency,
)

HOLD_S = 0.05


def test_the_room_follows_reports_and_stays_at_or_above_the_own_part() -> None:
    room = ScatterConcurrency(hold_s=HOLD_S)
    room.set_own_slots(4.0)
    begun = room.limit
    assert begun == room.initial_limit == 4.0 * OVER_COMMITMENT
    for step in range(40):
        room.adjust(QUEUE_HIGH + 0.1, step * HOLD_S, in_use=True)
    assert room.limit == room.floor == 4.0
    for step in range(40):
        room.adjust(QUEUE_LOW - 0.1, step * HOLD_S, in_use=True)
    assert room.limit > begun
    for step in range(60):
        room.adjust(0.0, step * HOLD_S, in_use=False)
    assert room.limit == pytest.approx(begun, rel=0.05)
