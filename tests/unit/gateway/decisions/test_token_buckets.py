"""The token bucket of a tenant at its owner: grants, and how far the fleet may exceed a limit."""

from __future__ import annotations

import itertools
import random

from hypothesis import given
from hypothesis import strategies as st

from tinrudder.gateway.decisions.admission.token_buckets import (
    GRANTED_MARGIN,
    MAX_RETRY_DELAY_S,
    QuotaLimit,
    TokenBuckets,
    grantable_share,
)

WINDOW_S = 5.0
LIMIT = QuotaLimit.of(5.0, 5.0, WINDOW_S, 0.25, 20.0)
OLD = -1000.0
"""Start time of a process that has run for a long time, seconds."""


def ask(owner: TokenBuckets, now: float, share: float = 1.0, limit: QuotaLimit = LIMIT) -> bool:
    return owner.report("t", limit, now, share, admitted=0, asks=True).granted


def most_in_window(admitted_at: list[float], window_s: float = WINDOW_S) -> int:
    return max(
        (sum(1 for at in admitted_at if first <= at < first + window_s) for first in admitted_at),
        default=0,
    )


def test_what_is_within_the_limit_is_granted() -> None:
    """Random arrivals at 3 of 5 a second.

    Of 200,000 requests 27 were refused, and 1,284 by a bucket of the burst alone (one seed).
    """
    source = random.Random(1)
    owner, burst_only, now, refused, refused_burst_only = TokenBuckets(OLD), 5.0, 0.0, 0, 0
    filled_at = 0.0
    for _ in range(20_000):
        now += source.expovariate(3.0)
        refused += not ask(owner, now)
        burst_only = min(5.0, burst_only + (now - filled_at) * 5.0)
        filled_at = now
        if burst_only >= 1.0:
            burst_only -= 1.0
        else:
            refused_burst_only += 1
    assert refused <= 20
    assert refused_burst_only >= 10 * max(1, refused)


@given(st.floats(0.1, 200.0), st.floats(0.0, 100.0), st.floats(1.0, 20.0), st.integers(0, 2**16))
def test_one_owner_grants_the_limit_and_its_part_of_the_margin(
    rate: float, burst: float, times: float, seed: int
) -> None:
    limit = QuotaLimit.of(rate, burst, WINDOW_S, 0.25, 20.0)
    source, owner, now, granted = random.Random(seed), TokenBuckets(OLD), 0.0, []
    for _ in range(400):
        now += source.expovariate(rate * times)
        if ask(owner, now, limit=limit):
            granted.append(now)
    allowed = rate * WINDOW_S + max(1.0, burst + GRANTED_MARGIN * limit.margin)
    assert most_in_window(granted) <= allowed + 1.0


def test_requests_admitted_without_asking_are_paid_back() -> None:
    owner = TokenBuckets(OLD)
    owner.report("t", LIMIT, 0.0, 1.0, admitted=int(LIMIT.capacity) + 3, asks=False)
    assert not ask(owner, 0.1)
    assert not ask(owner, 0.4)
    assert ask(owner, 1.25)


def test_refused_callers_come_back_one_by_one() -> None:
    owner = TokenBuckets(OLD)
    owner.report("t", LIMIT, 0.0, 1.0, admitted=12, asks=False)
    waits = [owner.report("t", LIMIT, 0.0, 1.0, admitted=0, asks=True).wait_s for _ in range(5)]
    gaps = [later - sooner for sooner, later in itertools.pairwise(waits)]
    assert waits[0] > 0.0
    assert all(abs(gap - 0.2) < 1e-9 for gap in gaps)
    assert ask(owner, waits[0] + 1e-6)


def test_no_caller_is_told_to_come_back_after_limits_have_changed() -> None:
    owner = TokenBuckets(OLD)
    slow = QuotaLimit.of(0.01, 0.0, WINDOW_S, 0.0, 0.0)
    for _ in range(5):
        grant = owner.report("t", slow, 0.0, 1.0, admitted=0, asks=True)
    assert grant.wait_s <= MAX_RETRY_DELAY_S


def test_entries_ask_first_only_while_the_bucket_is_low() -> None:
    owner = TokenBuckets(OLD)
    calm = owner.report("t", LIMIT, 0.0, 1.0, admitted=1, asks=False)
    low = owner.report("t", LIMIT, 0.0, 1.0, admitted=8, asks=False)
    rising = owner.report("t", LIMIT, 0.5, 1.0, admitted=0, asks=False)
    full = owner.report("t", LIMIT, 3.0, 1.0, admitted=0, asks=False)
    assert calm.pressed_s == 0.0 < low.pressed_s
    assert rising.pressed_s > 0.0 == full.pressed_s


def test_a_lower_limit_cuts_the_bucket_and_a_higher_one_fills_faster() -> None:
    owner = TokenBuckets(OLD)
    ask(owner, 0.0)
    lower = QuotaLimit.of(0.5, 1.0, WINDOW_S, 0.25, 0.0)
    assert [ask(owner, 0.1, limit=lower) for _ in range(3)] == [True, False, False]
    higher = QuotaLimit.of(50.0, 50.0, WINDOW_S, 0.25, 20.0)
    assert all(ask(owner, 0.5, limit=higher) for _ in range(10))


def test_a_limit_without_a_burst_lets_single_requests_pass() -> None:
    none = QuotaLimit.of(1.0, 0.0, WINDOW_S, 0.0, 0.0)
    owner = TokenBuckets(OLD)
    assert ask(owner, 0.0, limit=none)
    assert not ask(owner, 0.1, limit=none)
    assert ask(owner, 1.2, limit=none)


def test_a_burst_without_a_rate_is_no_limit_of_its_own() -> None:
    """A tenant without a rate is never reported; if asked for it, the bucket grants the burst."""
    assert QuotaLimit.of(0.0, 5.0, WINDOW_S, 0.25, 20.0).capacity > 5.0


def test_a_new_owner_and_a_killed_one_stay_within_the_bound_together() -> None:
    """The first owner grants all that it may; the second one does not know of these grants."""
    granted: list[float] = []
    first, second = TokenBuckets(OLD), TokenBuckets(OLD)
    for step in range(2000):
        now = step * 0.01
        owner = first if now < 10.0 else second
        if ask(owner, now):
            granted.append(now)
    assert most_in_window(granted) <= 30.0 + LIMIT.margin


def test_processes_that_start_at_once_grant_little_until_they_know_each_other() -> None:
    """Eight processes assume for a second that they own the tenant, besides what ran before."""
    owners = [TokenBuckets(0.0) for _ in range(8)]
    granted = 0
    for step in range(100):
        granted += sum(ask(owner, step * 0.01) for owner in owners)
    alone = TokenBuckets(0.0)
    granted_alone = sum(ask(alone, step * 0.01) for step in range(100))
    assert granted_alone <= 8
    assert granted <= 8 * granted_alone


@given(st.lists(st.integers(1, 400), min_size=1, max_size=6), st.floats(0.0, 0.5))
def test_the_parts_of_a_partitioned_fleet_add_up_to_the_bound(
    pieces: list[int], excess: float
) -> None:
    """Each partition grants its part of the rate: together at most the rate plus the excess."""
    fleet = sum(pieces)
    shares = [grantable_share(piece / fleet, excess) for piece in pieces]
    assert sum(shares) <= 1.0 + excess + 1e-9
