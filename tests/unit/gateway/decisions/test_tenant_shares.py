"""Which tenants' requests are refused when not all can be served."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from tinrudder.gateway.decisions.admission.tenant_shares import (
    DECAY_TIME_S,
    TenantShares,
    fair_limit,
)

AMOUNTS = st.lists(st.floats(0.1, 100.0), min_size=1, max_size=12)


@given(AMOUNTS, st.floats(0.01, 0.99))
def test_the_room_is_used_and_nobody_who_asks_less_gets_less(
    demand: list[float], share: float
) -> None:
    limit = fair_limit(demand, share)
    given_out = [min(amount, limit) for amount in demand]
    assert abs(sum(given_out) - share * sum(demand)) < 1e-6 * sum(demand)
    for one, got in zip(demand, given_out, strict=True):
        assert got in (one, limit)


def admitted_share(shares: TenantShares, rates: dict[str, float], room: float) -> dict[str, float]:
    """Send requests of each tenant at its own rate, with capacity for a part of all requests."""
    source = random.Random(3)
    demand, admitted = dict.fromkeys(rates, 0), dict.fromkeys(rates, 0)
    now = 0.0
    names = list(rates)
    for _ in range(20_000):
        now += source.expovariate(sum(rates.values()))
        name = source.choices(names, [rates[one] for one in names])[0]
        shares.note(name, now)
        demand[name] += 1
        admitted[name] += source.random() < shares.share_of(name, room, now)
    return {name: admitted[name] / demand[name] for name in rates}


def test_a_tenant_at_seven_times_the_others_is_refused_in_their_place() -> None:
    """With capacity for half, the others keep 0.95 or more of theirs; without tenants, 0.5."""
    got = admitted_share(TenantShares(), {"hot": 70.0, "a": 10.0, "b": 10.0, "c": 10.0}, room=0.5)
    assert min(got["a"], got["b"], got["c"]) >= 0.95
    assert 0.2 <= got["hot"] <= 0.35


def test_unused_shares_go_to_tenants_that_ask() -> None:
    got = admitted_share(TenantShares(), {"only": 50.0}, room=0.6)
    assert 0.55 <= got["only"] <= 0.65


def test_past_requests_decay() -> None:
    shares = TenantShares()
    for _ in range(100):
        shares.note("hot", 0.0)
    shares.note("calm", 0.0)
    later = 12 * DECAY_TIME_S
    shares.note("hot", later)
    shares.note("calm", later)
    assert abs(shares.share_of("hot", 0.5, later) - shares.share_of("calm", 0.5, later)) < 0.01


def test_where_there_is_room_for_all_or_none_tenants_do_not_matter() -> None:
    shares = TenantShares()
    shares.note("t", 0.0)
    assert shares.share_of("t", 1.0, 0.0) == 1.0
    assert shares.share_of("t", 0.0, 0.0) == 0.0
