"""The gateway's pure decisions: routes, weights, the answer's moment, load, replica choice."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tinrudder.common.latency_window import LatencyWindow
from tinrudder.gateway.decisions.admission.load_forecast import admission_share
from tinrudder.gateway.decisions.attempts.answer_time import (
    ScatterState,
    Verdict,
    decide,
    suffices,
)
from tinrudder.gateway.decisions.attempts.hedge_delay import hedge_delay_s
from tinrudder.gateway.decisions.placement.backend_observations import BackendObservations
from tinrudder.gateway.decisions.placement.route_table import RouteTable
from tinrudder.gateway.decisions.placement.weighted_rotation import WeightedRotation
from tinrudder.gateway.decisions.placement.zone_preference import (
    LARGEST_ADVANTAGE,
    LEAST_ADVANTAGE,
    is_slow,
    zone_advantage,
)
from tinrudder.gateway.requests.routes_in_force import FIRST_TURNS


@dataclass(frozen=True)
class Path:
    host: str
    path_prefix: str


SEGMENTS = st.lists(st.sampled_from(["a", "b", "c"]), max_size=3)


def prefix_of(segments: list[str]) -> str:
    return "/" + "".join(f"{segment}/" for segment in segments)


@given(
    prefixes=st.lists(SEGMENTS, max_size=8),
    path=SEGMENTS,
    rest=st.sampled_from(["", "x", "a"]),
)
def test_the_longest_prefix_that_begins_the_path_wins(
    prefixes: list[list[str]], path: list[str], rest: str
) -> None:
    routes = [Path("h", prefix_of(segments)) for segments in prefixes]
    target = prefix_of(path) + rest
    matching = [route for route in routes if target.startswith(route.path_prefix)]
    expected = max(matching, key=lambda route: len(route.path_prefix), default=None)
    assert RouteTable(routes).find("h", target) == expected
    assert RouteTable(routes).find("other", target) is None


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
def test_the_answer_moment(state: tuple[int, int, int], minimum_share: float, now: float) -> None:
    shards, included, hopeful = state
    scatter = ScatterState(shards, included, hopeful, minimum_share, 1.0, 2.0)
    decision = decide(scatter, now)
    enough = suffices(included, shards, minimum_share)
    if decision.verdict is Verdict.ANSWER:
        assert included == shards or enough
        assert included == shards or hopeful == 0 or now >= 1.0
    elif decision.verdict is Verdict.FAIL:
        assert not enough
        assert now >= 2.0 or not suffices(included + hopeful, shards, minimum_share)
    else:
        assert now < decision.until <= 2.0
        assert hopeful > 0
        assert not (enough and now >= 1.0)


@given(
    arrivals=st.lists(st.floats(0.0, 3.0), min_size=1, max_size=12),
    minimum_share=st.floats(0.0, 1.0),
)
def test_no_other_moment_is_worth_more(arrivals: list[float], minimum_share: float) -> None:
    """Against an oracle that knows when each part arrives."""
    objective, deadline, late_worth = 1.0, 2.0, 0.1
    shards = len(arrivals)

    def worth(moment: float) -> float:
        included = sum(1 for arrival in arrivals if arrival <= moment)
        if not suffices(included, shards, minimum_share) or moment > deadline:
            return 0.0
        share = (included / shards) ** 2
        return share if moment <= objective else late_worth * share

    deadlines = sorted({*(arrival for arrival in arrivals if arrival <= deadline), objective})
    best_in_time = max((worth(moment) for moment in deadlines if moment <= objective), default=0.0)
    reached = 0.0
    for moment in deadlines:
        included = sum(1 for arrival in arrivals if arrival <= moment)
        state = ScatterState(
            shards, included, shards - included, minimum_share, objective, deadline
        )
        if decide(state, moment).verdict is Verdict.ANSWER:
            reached = worth(moment)
            break
    assert reached >= best_in_time
    if any(worth(moment) > 0 for moment in deadlines):
        assert reached > 0


def test_what_cannot_suffice_any_more_fails_at_once() -> None:
    state = ScatterState(20, 10, 5, 0.89, 1.0, 2.0)
    assert decide(state, 0.0).verdict is Verdict.FAIL


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
    """A calm day's request with a tight objective: wait 7 ms, usually 25 ms, 83 ms left."""
    for left_s in (0.083, 0.05, 0.001):
        assert admission_share(0.007, 0.025, left_s, priority_steps=1, returning=False) == 1.0


def test_a_stalled_back_end_goes_behind_a_busy_one() -> None:
    stalled, busy = BackendObservations(slots=2), BackendObservations(slots=2)
    stalled.begin(0.0, 0.02)
    for _ in range(2):
        busy.begin(0.09, 0.02)
    assert stalled.cost(0.1) > busy.cost(0.1) + LARGEST_ADVANTAGE


def test_a_failure_weighs_more_than_slowness_and_fades() -> None:
    failed, slow = BackendObservations(), BackendObservations()
    failed.failed(failed.begin(0.0, 0.02), 0.0)
    slow.answered(slow.begin(0.0, 0.02), 0.2)
    assert failed.cost(0.2) > slow.cost(0.2)
    assert failed.cost(5.0) == slow.cost(5.0)


def test_reported_queues_count_until_they_are_old() -> None:
    backend = BackendObservations(slots=2)
    backend.reported(2, 4, 2, 1.0)
    assert backend.wait_s(1.0, 0.1) == pytest.approx(0.25)
    assert backend.wait_s(1.4, 0.1) == pytest.approx(0.125)
    assert backend.wait_s(2.0, 0.1) == 0.0


def test_a_hedge_is_never_so_late_that_it_cannot_win() -> None:
    window = LatencyWindow()
    for _ in range(100):
        window.observe(0.5)
    assert hedge_delay_s(window, 0.2, 0.0) <= 0.2 * 0.6


@given(
    weights=st.dictionaries(st.sampled_from("abc"), st.integers(1, 9), min_size=2),
    seed=st.integers(0, 1000),
)
def test_shares_hold_over_many_gateways_that_see_few_requests_each(
    weights: dict[str, int], seed: int
) -> None:
    """Each begins at a turn of its own; a common first turn would be everybody's only one."""
    source = random.Random(seed)
    seen: Counter[str] = Counter()
    for _ in range(400):
        rotation = WeightedRotation(weights, source.randrange(FIRST_TURNS))
        seen.update(rotation.next() for _ in range(2))
    for name, weight in weights.items():
        assert abs(seen[name] / 800 - weight / sum(weights.values())) < 0.1


@given(
    usual_s=st.floats(0.001, 1.0),
    longer=st.floats(1.0, 10.0),
    hedge=st.floats(0.004, 0.5),
    objective_s=st.floats(0.02, 2.0),
)
def test_the_own_zone_yields_as_calls_take_longer(
    usual_s: float, longer: float, hedge: float, objective_s: float
) -> None:
    usual = zone_advantage(usual_s, hedge, objective_s)
    loaded = zone_advantage(usual_s * longer, hedge * longer, objective_s)
    assert LEAST_ADVANTAGE <= loaded <= usual <= LARGEST_ADVANTAGE


def test_one_stall_is_not_slowness_but_two_slow_answers_are() -> None:
    backend = BackendObservations()
    backend.answered(backend.begin(0.0, 0.033), 0.2)
    assert not is_slow(backend.expected_relative_latency(0.2))
    slow = BackendObservations()
    for sent_at in (0.0, 0.4):
        slow.answered(slow.begin(sent_at, 0.033), sent_at + 0.33)
    assert is_slow(slow.expected_relative_latency(0.8))


def test_a_replica_that_reports_a_slow_moment_is_avoided_until_the_report_is_old() -> None:
    slow, usual = BackendObservations(), BackendObservations()
    for observations in (slow, usual):
        observations.reported(0, 0, 2, 9.0, 1.0)
    slow.reported(0, 0, 2, 10.0, 4.0)
    assert slow.cost(10.0) > 3 * usual.cost(10.0)
    assert slow.cost(10.1) > 2 * usual.cost(10.1)
    assert slow.cost(10.6) == usual.cost(10.6)


def test_what_is_typical_of_a_replica_is_no_slow_moment() -> None:
    observations = BackendObservations()
    for number in range(50):
        observations.reported(0, 0, 2, number * 0.1, 1.3)
    assert observations.momentary_slowdown(4.9) == pytest.approx(1.0)


def test_a_slow_moment_that_was_reported_is_not_learned_as_the_replicas_own() -> None:
    with_reports, without = BackendObservations(), BackendObservations()
    for number in range(20):
        now = number * 0.1
        with_reports.reported(0, 0, 2, now, 1.0)
    now = 2.0
    for observations, slowdown in ((with_reports, 4.0), (without, 1.0)):
        call = observations.begin(now, usual_s=0.02)
        observations.reported(0, 0, 2, now + 0.08, slowdown)
        observations.answered(call, now + 0.08)
    assert with_reports.expected_relative_latency(3.0) < 1.1
    assert without.expected_relative_latency(3.0) > 1.5
