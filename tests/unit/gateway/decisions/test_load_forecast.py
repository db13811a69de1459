"""Which share of requests is admitted, given a queue."""

from __future__ import annotations

from tinrudder.gateway.decisions.admission.load_forecast import admission_share


def test_admission_falls_with_the_queue_and_with_priority() -> None:
    def share(wait: float, **changes: object) -> float:
        options = {"priority_steps": 0, "returning": False} | changes
        return admission_share(wait, 0.04, 0.24, **options)  # type: ignore[arg-type]

    waits = [0.0, 0.05, 0.1, 0.12, 0.15, 0.3]
    shares = [share(wait) for wait in waits]
    assert shares == sorted(shares, reverse=True)
    assert shares[0] == 1.0 and shares[-1] == 0.0
    assert share(0.12, priority_steps=1) <= share(0.12) <= share(0.12, returning=True)


def test_without_a_queue_nothing_is_refused_even_late() -> None:
    assert admission_share(0.0, 1.0, -1.0, priority_steps=3, returning=False) == 1.0


def test_a_wait_that_is_short_beside_the_call_is_no_overload() -> None:
    """A request with a tight objective at low load: wait 7 ms, typical call 25 ms, 83 ms left."""
    for left_s in (0.083, 0.05, 0.001):
        assert admission_share(0.007, 0.025, left_s, priority_steps=1, returning=False) == 1.0
