"""Unit tests of hedge delays and budgets, ejection, warm-up ramps and replica choice."""

from __future__ import annotations

import math
import random

import pytest

from tinrudder.common.latency_window import PERIOD_CALLS, LatencyWindow
from tinrudder.node.decisions.backend_record import BackendRecord
from tinrudder.node.decisions.call_retry_budget import BudgetedRetry, FractionBudget
from tinrudder.node.decisions.ejection import (
    FAILURES_TO_EJECT,
    FIRST_EJECTION_S,
    MINIMUM_ANSWERS,
    REFRESH_OBSERVATIONS,
    OutlierEjection,
)
from tinrudder.node.decisions.hedge_by_quantile import (
    HEDGE_CAPACITY,
    MINIMUM_OBSERVATIONS,
    NoHedge,
    QuantileHedge,
    is_fleet_slow,
)
from tinrudder.node.decisions.registry import DEFAULTS, Role, policy_names_by_role
from tinrudder.node.decisions.replica_choice import REPORT_LIFETIME_S, LeastLoadedReplica
from tinrudder.node.decisions.service_routing import RoutingTable

LATENCY_S = 0.004
SLOW_S = 0.08


def backend(name: str, latency_s: float = LATENCY_S, limit: float = 5) -> BackendRecord:
    return BackendRecord(name, "127.0.0.1", 1, "zone", 5, limit, latency_s=latency_s)


def warm_window() -> LatencyWindow:
    window = LatencyWindow()
    source = random.Random(1)
    for _ in range(1000):
        window.observe(source.lognormvariate(-5.5, 0.5))
    return window


class EjectionHarness:
    """An ejection policy with back ends that have answered before."""

    def __init__(self, count: int) -> None:
        self.policy = OutlierEjection()
        self.records = [backend(f"b{number}") for number in range(count)]
        self.policy.set_backends(self.records, 0.0)
        for _ in range(REFRESH_OBSERVATIONS):
            for record in self.records:
                self.answer(record, LATENCY_S, 0.0)

    def answer(self, record: BackendRecord, latency_s: float, now: float) -> None:
        record.observe_latency(latency_s)
        self.policy.observe_answer(record, latency_s, now)

    def ejected(self) -> list[str]:
        return [record.name for record in self.records if record.health.ejected]


@pytest.mark.parametrize("fraction", [0.5, 0.9, 0.975, 0.99])
def test_window_quantile_is_within_a_bucket_of_the_exact_one(fraction: float) -> None:
    source = random.Random(3)
    latencies = [source.lognormvariate(-5.5, 0.5) for _ in range(3000)]
    window = LatencyWindow()
    for latency in latencies:
        window.observe(latency)
    exact = sorted(latencies)[int(fraction * len(latencies))]
    assert exact / 1.08 <= window.quantile(fraction) <= exact * 1.08


def test_window_forgets_after_two_periods() -> None:
    window = LatencyWindow()
    for latency in (SLOW_S, LATENCY_S, LATENCY_S):
        for _ in range(PERIOD_CALLS):
            window.observe(latency)
    assert window.quantile(0.999) < 2 * LATENCY_S
    assert len(window) <= 2 * PERIOD_CALLS


def test_budget_bounds_extra_calls_and_keeps_a_part_for_urgent_ones() -> None:
    budget = FractionBudget(fraction=0.1, initial=10.0, capacity=10.0)
    spent = 0
    while budget.try_spend(urgent=False):
        spent += 1
    assert spent == 8
    assert budget.try_spend(urgent=True)
    assert budget.try_spend(urgent=True)
    assert not budget.try_spend(urgent=True)
    budget.credit_first_calls(1_000_000)
    assert budget.tokens == 10.0


def test_retries_stay_below_their_fraction_of_first_calls() -> None:
    retry = BudgetedRetry()
    first_calls, retries = 0, 0
    for _ in range(2000):
        retry.credit_first_calls(16)
        first_calls += 16
        retries += sum(retry.may_retry(urgent=True) for _ in range(16))
    assert retries <= 0.051 * first_calls


def test_hedge_delay_needs_observations_and_stretches_as_the_budget_runs_low() -> None:
    hedge = QuantileHedge()
    assert hedge.delay_s(LatencyWindow(), 0) is None
    window = warm_window()
    assert len(window) >= MINIMUM_OBSERVATIONS
    early = hedge.delay_s(window, 0)
    for _ in range(int(HEDGE_CAPACITY)):
        hedge.may_hedge(urgent=True)
    late = hedge.delay_s(window, 0)
    assert early is not None and late is not None and early < late
    assert hedge.delay_s(window, 2) is None
    assert NoHedge().delay_s(window, 0) is None


def test_slow_fleet_is_not_one_slow_replica() -> None:
    assert is_fleet_slow([f"b{number}" for number in range(40)], 130)
    assert not is_fleet_slow(["b7"] * 40, 130)
    assert not is_fleet_slow(["b1", "b2", "b3"], 130)


def test_failures_in_a_row_eject_up_to_the_ceiling() -> None:
    service = EjectionHarness(6)
    for record in service.records:
        for _ in range(FAILURES_TO_EJECT):
            service.policy.observe_failure(record, 1.0)
    assert service.ejected() == ["b0", "b1"]


def test_one_slow_call_in_a_hundred_ejects_nobody_but_a_slow_replica_is_seen_soon() -> None:
    service = EjectionHarness(2)
    source = random.Random(1)
    for _ in range(3000):
        slow = source.random() < 0.01
        service.answer(service.records[0], SLOW_S if slow else LATENCY_S, 1.0)
        service.answer(service.records[1], LATENCY_S, 1.0)
    assert service.ejected() == []
    for _ in range(2 * MINIMUM_ANSWERS):
        service.answer(service.records[0], SLOW_S, 2.0)
    assert service.ejected() == ["b0"]


def test_silent_replica_is_ejected_by_what_it_left_unanswered() -> None:
    service = EjectionHarness(3)
    for _ in range(3 * MINIMUM_ANSWERS):
        service.records[2].observe_unanswered(SLOW_S)
        service.policy.observe_unanswered(service.records[2], 1.0)
    assert service.ejected() == ["b2"]


def test_probe_decides_on_the_return_and_a_ramp_follows() -> None:
    service = EjectionHarness(2)
    bad = service.records[0]
    for _ in range(FAILURES_TO_EJECT):
        service.policy.observe_failure(bad, 1.0)
    assert not service.policy.may_probe(bad, 1.0)
    due = 1.0 + FIRST_EJECTION_S
    assert service.policy.may_probe(bad, due)
    assert not service.policy.may_probe(bad, due), "one probe a period"
    service.answer(bad, SLOW_S, due + SLOW_S)
    assert bad.health.ejected, "too slow to return"
    service.answer(bad, LATENCY_S, due + 1.0)
    assert not bad.health.ejected
    bad.in_flight = 1
    assert not bad.may_send(), "one call in flight while it is cold"
    bad.in_flight = 0
    for _ in range(8):
        service.answer(bad, LATENCY_S, due + 1.1)
    assert bad.health.ramp_limit == math.inf


def test_new_back_end_of_a_warm_service_starts_cold_but_a_new_service_does_not() -> None:
    service = EjectionHarness(2)
    assert all(record.health.ramp_limit == math.inf for record in service.records)
    newcomer = backend("new", latency_s=0.0)
    service.policy.set_backends([*service.records, newcomer], 1.0)
    assert newcomer.health.ramp_limit == 1.0


def test_lying_reports_neither_attract_nor_starve() -> None:
    now = [0.0]
    choice = LeastLoadedReplica(lambda: now[0])
    honest, liar = backend("honest"), backend("liar")
    liar.in_flight = 1
    honest.health.reported_others = 100
    assert choice.choose((honest, liar)) in (honest, liar)
    liar.in_flight = 2
    assert choice.choose((honest, liar)) is honest, "a report at most doubles a score"
    liar.in_flight = 0
    assert choice.choose((honest, liar)) is liar
    now[0] = REPORT_LIFETIME_S
    honest.latency_s *= 0.9
    assert choice.choose((honest, liar)) is honest, "an old report weighs nothing"


def test_failing_fast_does_not_attract() -> None:
    broken, fine = backend("broken", latency_s=0.001), backend("fine", latency_s=0.003)
    broken.health.failures_in_row = 3
    assert LeastLoadedReplica().choose((broken, fine)) is fine


def test_ejected_replica_is_used_where_it_is_the_last() -> None:
    routing = RoutingTable(lambda: 0.0, random.Random(1)).routing_of("s", {})
    good, bad = backend("good"), backend("bad")
    bad.health.ejected = True
    bad.health.probe_at = 10.0
    assert routing.candidates((good, bad), (), 0.0, may_probe=True) == (good,)
    assert routing.candidates((good, bad), (good,), 0.0, may_probe=True) == (bad,)
    assert routing.candidates((good, bad), (), 10.0, may_probe=False) == (good,)
    assert routing.candidates((good, bad), (), 10.0, may_probe=True) == (bad,)
    assert routing.candidates((good, bad), (), 10.0, may_probe=True) == (good,)


def test_hedge_goes_to_an_untried_replica_with_room_that_nobody_waits_for() -> None:
    routing = RoutingTable(lambda: 0.0, random.Random(1)).routing_of("s", {})
    first, other = backend("first"), backend("other", limit=2)
    assert routing.choose_hedge((first, other), (first,)) is other
    other.waiting = 1
    assert routing.choose_hedge((first, other), (first,)) is first, "the same replica again"
    first.in_flight = 5
    assert routing.choose_hedge((first, other), (first,)) is None


def test_rules_of_a_service_share_state_by_policy_name() -> None:
    table = RoutingTable(lambda: 0.0, random.Random(1))
    one, two = table.routing_of("s", {}), table.routing_of("s", {"hedge": "none"})
    assert one.retry is two.retry
    assert one.latency is two.latency
    assert one.hedge is not two.hedge
    assert table.routing_of("t", {}).retry is not one.retry


def test_every_name_that_a_stored_rule_may_hold_is_accepted() -> None:
    names = policy_names_by_role()
    assert names == {
        "replica_choice": {"least-loaded", "random"},
        "hedge": {"quantile", "none"},
        "retry": {"budgeted", "unbudgeted"},
        "ejection": {"outlier", "never"},
    }
    for role in Role:
        assert DEFAULTS[role] in names[role.value]
