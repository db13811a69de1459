"""How promising a back end is after calls to it have failed."""

from __future__ import annotations

from tinrudder.routing.backend_observations import (
    PROBATION_S,
    SUSPECT_FIRST_S,
    BackendObservations,
)

NOW = 100.0
IDLE_COST = BackendObservations().cost(NOW)


def failed_once() -> BackendObservations:
    seen = BackendObservations()
    seen.failed(seen.begin(NOW, 0.02), NOW)
    return seen


def test_a_back_end_that_failed_stays_second_after_its_pause_until_it_answers() -> None:
    """A pause is over before a gateway's next scatter: without this it would go first again."""
    seen = failed_once()
    later = NOW + SUSPECT_FIRST_S + 1.0
    assert not seen.is_suspect(later)
    assert IDLE_COST < seen.cost(later) < IDLE_COST + 2.0
    seen.answered(seen.begin(later, 0.02), later + 0.02)
    assert abs(seen.cost(later + 0.02) - IDLE_COST) < 0.01


def test_it_is_asked_where_the_others_stand_still() -> None:
    seen, still = failed_once(), BackendObservations()
    still.begin(NOW, 0.02)
    later = NOW + SUSPECT_FIRST_S + 0.5
    assert seen.cost(later) < still.cost(later)


def test_the_doubt_fades() -> None:
    seen = failed_once()
    assert abs(seen.cost(NOW + SUSPECT_FIRST_S + PROBATION_S) - IDLE_COST) < 1e-9
