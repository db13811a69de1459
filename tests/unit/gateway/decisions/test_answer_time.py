"""When a scatter's answer is sent: the rule's cases, and an oracle that knows all arrivals."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from tinrudder.gateway.decisions.attempts.answer_time import (
    ScatterState,
    Verdict,
    decide,
    suffices,
)

STATES = st.integers(1, 30).flatmap(
    lambda shards: st.tuples(st.integers(0, shards), st.integers(0, shards)).map(
        lambda pair: (shards, min(pair), max(pair) - min(pair))
    )
)


@given(
    state=STATES,
    minimum_share=st.floats(0.0, 1.0),
    now=st.floats(0.0, 3.0),
)
def test_decisions_follow_from_state_and_time(
    state: tuple[int, int, int], minimum_share: float, now: float
) -> None:
    shards, included, outstanding = state
    scatter = ScatterState(shards, included, outstanding, minimum_share, 1.0, 2.0)
    decision = decide(scatter, now)
    enough = suffices(included, shards, minimum_share)
    if decision.verdict is Verdict.ANSWER:
        assert included == shards or enough
        assert included == shards or outstanding == 0 or now >= 1.0
    elif decision.verdict is Verdict.FAIL:
        assert not enough
        assert now >= 2.0 or not suffices(included + outstanding, shards, minimum_share)
    else:
        assert now < decision.until <= 2.0
        assert outstanding > 0
        assert not (enough and now >= 1.0)


@given(
    arrivals=st.lists(st.floats(0.0, 3.0), min_size=1, max_size=12),
    minimum_share=st.floats(0.0, 1.0),
)
def test_no_other_time_is_worth_more(arrivals: list[float], minimum_share: float) -> None:
    """Compares with an oracle that knows when each part arrives."""
    objective, deadline, late_worth = 1.0, 2.0, 0.1
    shards = len(arrivals)

    def worth(moment: float) -> float:
        included = sum(1 for arrival in arrivals if arrival <= moment)
        if not suffices(included, shards, minimum_share) or moment > deadline:
            return 0.0
        share = (included / shards) ** 2
        return share if moment <= objective else late_worth * share

    candidate_times = sorted({*(arrival for arrival in arrivals if arrival <= deadline), objective})
    best_in_time = max(
        (worth(moment) for moment in candidate_times if moment <= objective), default=0.0
    )
    reached = 0.0
    for moment in candidate_times:
        included = sum(1 for arrival in arrivals if arrival <= moment)
        state = ScatterState(
            shards, included, shards - included, minimum_share, objective, deadline
        )
        if decide(state, moment).verdict is Verdict.ANSWER:
            reached = worth(moment)
            break
    assert reached >= best_in_time
    if any(worth(moment) > 0 for moment in candidate_times):
        assert reached > 0


def test_a_scatter_that_can_no_longer_suffice_fails_at_once() -> None:
    state = ScatterState(20, 10, 5, 0.89, 1.0, 2.0)
    assert decide(state, 0.0).verdict is Verdict.FAIL
