"""What operators are told of the store: its epoch, and that it shows less than is known."""

from __future__ import annotations

from tinrudder.gateway.store.store_status import ShownRevision, StoreStatus
from tinrudder.gateway.store.stored_values import Reading, Topic


def test_a_store_that_shows_less_than_is_known_is_told_once_and_its_end_too() -> None:
    now = [10.0]
    told: list[ShownRevision] = []
    status = StoreStatus(lambda topic, reachable, detail: None, told.append, lambda: now[0])
    status.note_shown(Topic.OPERATOR, Reading((), 63, 3), 60)
    assert (status.epoch, status.behind_s) == (3, 0.0)
    told.clear()
    status.note_shown(Topic.OPERATOR, Reading((), 60, 4), 63)
    status.note_shown(Topic.OPERATOR, Reading((), 61, 4), 63)
    now[0] = 12.5
    assert (status.epoch, status.behind_s) == (4, 2.5)
    assert told == [ShownRevision(Topic.OPERATOR, 4, 60, 63)]
    status.note_shown(Topic.OPERATOR, Reading((), 63, 4), 63)
    assert [shown.is_behind for shown in told] == [True, False]
    assert status.behind_s == 0.0
