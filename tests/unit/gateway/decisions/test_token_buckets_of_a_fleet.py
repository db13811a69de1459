"""Compares ways to enforce a tenant's limit over a fleet: requests run and refused.

All ways get the same arrivals. A limit of 5 a second with a burst of 5 may be exceeded to 57.5
requests in any 5 s.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterator

import pytest

from tinrudder.gateway.decisions.admission.token_buckets import QuotaLimit, TokenBuckets

RATE, BURST, WINDOW_S = 5.0, 5.0, 5.0
LIMIT = QuotaLimit.of(RATE, BURST, WINDOW_S, 0.25, 20.0)
BOUND = RATE * WINDOW_S + BURST + LIMIT.margin
CALM, HOT = 0.6 * RATE, 7.0 * RATE
SECONDS = 60.0
REPORT_S = 0.024
"""Seconds: the delay of a report, its path across zones, and the path of the verdict back."""
DIGEST_S = 2.0
"""Seconds that a count needs to reach 74 gateways, when each tells three in half a second."""
FLEETS = (7, 74, 730)

Decide = Callable[[float, int], bool]


def arrivals(per_second: float) -> Iterator[tuple[float, int]]:
    source, now = random.Random(5), 0.0
    while now < SECONDS:
        now += source.expovariate(per_second)
        yield now, source.randrange(10**6)


def run(decide: Decide, per_second: float) -> tuple[float, int]:
    """Return the refused share, and the largest number that ran in any window."""
    ran, asked = [], 0
    for now, place in arrivals(per_second):
        asked += 1
        if decide(now, place):
            ran.append(now)
    windows = (sum(1 for at in ran if first <= at < first + WINDOW_S) for first in ran)
    most = max(windows, default=0)
    return 1.0 - len(ran) / asked, most


def owner_with_reports(gateways: int) -> Decide:
    """Admit at once and report later; ask first while the owner reports the tenant as pressed."""
    owner = TokenBuckets(-1000.0)
    reports: list[float] = []
    pressed: list[tuple[float, float]] = []

    def decide(now: float, _place: int) -> bool:
        while reports and reports[0] <= now:
            at = heapq.heappop(reports)
            grant = owner.report("t", LIMIT, at, 1.0, admitted=1, asks=False)
            if grant.pressed_s:
                pressed.append((at + REPORT_S, at + REPORT_S + grant.pressed_s))
        if any(since <= now < until for since, until in pressed):
            grant = owner.report("t", LIMIT, now, 1.0, admitted=0, asks=True)
            if grant.pressed_s:
                pressed.append((now, now + grant.pressed_s))
            return grant.granted
        heapq.heappush(reports, now + REPORT_S)
        return True

    return decide


def equal_parts(gateways: int, whole_tokens: bool) -> Decide:
    """Give each gateway its part of the rate, and its part of the burst or one token to hold."""
    capacity = max(1.0, BURST / gateways) if whole_tokens else BURST / gateways
    tokens = [capacity] * gateways
    filled = [0.0] * gateways

    def decide(now: float, place: int) -> bool:
        one = place % gateways
        grown = (now - filled[one]) * RATE / gateways
        tokens[one] = min(capacity, tokens[one] + grown)
        filled[one] = now
        if tokens[one] < 1.0:
            return False
        tokens[one] -= 1.0
        return True

    return decide


def counts_in_digests(gateways: int) -> Decide:
    """Let every gateway know what ran until some seconds ago, and refuse what exceeds the limit."""
    ran: list[float] = []

    def decide(now: float, _place: int) -> bool:
        known = sum(1 for at in ran if now - WINDOW_S - DIGEST_S <= at < now - DIGEST_S)
        if known >= RATE * WINDOW_S + BURST:
            return False
        ran.append(now)
        return True

    return decide


@pytest.mark.parametrize("gateways", FLEETS)
def test_an_owner_with_reports_refuses_little_and_keeps_the_bound(gateways: int) -> None:
    refused, _ = run(owner_with_reports(gateways), CALM)
    _, most = run(owner_with_reports(gateways), HOT)
    assert refused <= 0.005
    assert most <= 36 < BOUND


@pytest.mark.parametrize("gateways", FLEETS[1:])
def test_equal_parts_refuse_everything_or_exceed_the_bound(gateways: int) -> None:
    refused, _ = run(equal_parts(gateways, whole_tokens=False), CALM)
    _, most = run(equal_parts(gateways, whole_tokens=True), HOT)
    assert refused == 1.0
    assert most > BOUND


def test_counts_that_spread_by_digests_come_too_late() -> None:
    refused, _ = run(counts_in_digests(74), CALM)
    _, most = run(counts_in_digests(74), HOT)
    assert refused <= 0.005
    assert most > BOUND
