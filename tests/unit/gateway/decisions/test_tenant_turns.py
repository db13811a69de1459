"""Tenants take turns: a tenant that sends many scatters waits behind those that send few."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from tinrudder.gateway.decisions.admission.queued_scatter import QueuedScatter
from tinrudder.gateway.decisions.admission.tenant_turns import MAX_IDLE_LANES, TenantTurns


def arrive(turns: TenantTurns, tenant: str, priority: int = 1) -> QueuedScatter:
    scatter = QueuedScatter(priority, 10.0, 20.0, 0.1, tenant=tenant)
    scatter.turn = turns.next_turn(scatter)
    turns.take(scatter, [scatter])
    return scatter


@given(st.lists(st.sampled_from("abc"), max_size=30))
def test_each_scatter_of_a_tenant_gets_the_turn_after_its_last(tenants: list[str]) -> None:
    turns = TenantTurns()
    given_turns = [(tenant, arrive(turns, tenant).turn) for tenant in tenants]
    for tenant in set(tenants):
        own = [turn for name, turn in given_turns if name == tenant]
        assert own == list(range(len(own)))


def test_a_new_tenant_begins_with_the_current_turn_and_has_no_credit() -> None:
    turns = TenantTurns()
    for _ in range(5):
        turns.start(arrive(turns, "busy"))
    assert arrive(turns, "new").turn == 4
    assert arrive(turns, "").turn == 4
    assert arrive(turns, "new", priority=2).turn == 0


def test_only_the_latest_turn_of_a_tenant_can_be_given_back() -> None:
    turns = TenantTurns()
    first, second = arrive(turns, "a"), arrive(turns, "a")
    turns.release(first)
    assert arrive(turns, "a").turn == 2
    turns.release(second)
    latest = arrive(turns, "a")
    assert latest.turn == 3
    turns.release(latest)
    assert arrive(turns, "a").turn == 3


def test_waiting_tenants_are_not_evicted_however_many_arrive() -> None:
    turns = TenantTurns()
    waiting = arrive(turns, "waits")
    for number in range(3 * MAX_IDLE_LANES):
        other = QueuedScatter(1, 10.0, 20.0, 0.1, tenant=f"t{number}")
        turns.take(other, [waiting])
    assert arrive(turns, "waits").turn == 1
