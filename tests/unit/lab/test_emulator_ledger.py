"""The ledger's checks accept allowed arrivals at back ends and report violations."""

from __future__ import annotations

import pytest

from tinrudder_lab.emulator.ledger import Ledger
from tinrudder_lab.emulator.records import (
    Arrival,
    CrashedBackend,
    Disturbance,
    SentRequest,
    StoreOutage,
    UnreadableSpan,
)

DRAIN_S = 3.0


def leaving_broken(ledger: Ledger) -> bool:
    broken = ledger.contract_violations(0.2, 50.0, 10.0, DRAIN_S, 5.0)
    return any(one.promise == "leaving" for one in broken)


def ledger_with(arrival_at: float, outages: list[StoreOutage]) -> Ledger:
    ledger = Ledger(draining_since={"b": 10.0}, zones={"b": "z"}, store_outages=outages)
    ledger.arrivals.append(Arrival(arrival_at, "r", "s", "b", "/", None, ran=True))
    return ledger


@pytest.mark.parametrize(
    ("arrival_at", "outages", "broken"),
    [
        (12.9, [], False),
        (13.1, [], True),
        (19.9, [StoreOutage(9.0, 17.0)], False),
        (20.1, [StoreOutage(9.0, 17.0)], True),
        (13.1, [StoreOutage(10.5, 17.0)], True),
        (13.1, [StoreOutage(2.0, 9.5)], True),
        (19.9, [StoreOutage(2.0, 12.0), StoreOutage(9.0, 17.0)], False),
    ],
)
def test_calls_to_a_leaving_back_end_stop_once_gateways_can_know(
    arrival_at: float, outages: list[StoreOutage], broken: bool
) -> None:
    assert leaving_broken(ledger_with(arrival_at, outages)) is broken


@pytest.mark.parametrize(
    ("host", "since", "until", "broken"),
    [
        ("gateway", 11.0, 12.0, False),
        ("gateway", 11.0, float("inf"), False),
        ("gateway", 5.0, 9.0, True),
        ("gateway", 14.0, 15.0, True),
        ("another", 11.0, 12.0, True),
    ],
)
def test_calls_through_a_recently_disturbed_gateway_do_not_count(
    host: str, since: float, until: float, broken: bool
) -> None:
    """A gateway that has just started cannot know since when a back end drains (soak seed 311)."""
    ledger = ledger_with(13.1, [])
    ledger.sent["r"] = SentRequest("", 13.0, "gateway")
    ledger.disturbances.append(Disturbance(host, since, until))
    assert leaving_broken(ledger) is broken


def poison_ledger(attempts_after: int, host: str = "") -> Ledger:
    """Three crashes in the first second, then attempts from 4 s after the third on."""
    ledger = Ledger(zones={"b": "z"})
    ledger.crashes = [CrashedBackend(0.1 * n, f"b{n}", "r", "/poison") for n in range(3)]
    for number in range(attempts_after):
        name = f"late-{number}"
        ledger.sent[name] = SentRequest("", 5.0, host)
        ledger.arrivals.append(Arrival(5.0 + number, name, "s", "b", "/poison", None, ran=True))
    return ledger


@pytest.mark.parametrize(("tries", "broken"), [(0, False), (3, False), (4, True)])
def test_a_request_that_ended_three_back_ends_may_reach_others_three_times_more(
    tries: int, broken: bool
) -> None:
    promises = poison_ledger(tries).contract_violations(0.2, 50.0, 10.0, DRAIN_S, 5.0)
    assert any(one.promise == "ended back ends" for one in promises) is broken


def test_attempts_through_a_disturbed_gateway_do_not_count() -> None:
    ledger = poison_ledger(4, host="gateway")
    ledger.disturbances.append(Disturbance("gateway", 2.0, 4.5))
    assert ledger.requests_after_three_crashes("/poison") == []
    ledger.disturbances[0].until = 0.9
    assert len(ledger.requests_after_three_crashes("/poison")) == 4


@pytest.mark.parametrize(
    ("arrival_at", "until", "broken"),
    [(12.9, 20.0, False), (13.1, 20.0, True), (13.1, 13.0, False)],
)
def test_nothing_may_reach_a_back_end_long_after_its_entry_became_unreadable(
    arrival_at: float, until: float, broken: bool
) -> None:
    ledger = Ledger(unreadable=[UnreadableSpan("b", 10.0, until)], zones={"b": "z"})
    ledger.arrivals.append(Arrival(arrival_at, "r", "s", "b", "/", None, ran=True))
    found = ledger.contract_violations(0.2, 50.0, 10.0, DRAIN_S, 5.0)
    assert [one.promise for one in found] == (["unreadable"] if broken else [])


def test_draining_of_one_incarnation_does_not_apply_to_the_next() -> None:
    ledger = Ledger(draining_since={"b@1": 10.0}, zones={"b": "z"})
    for started_ms in (1, 2):
        arrival = Arrival(20.0, "r", "s", "b", "/", None, ran=True, started_ms=started_ms)
        ledger.arrivals.append(arrival)
    broken = ledger.contract_violations(0.2, 50.0, 10.0, DRAIN_S, 5.0)
    assert [one.promise for one in broken] == ["leaving"]
