"""The checks that the emulator and the soak make of what back ends saw."""

from __future__ import annotations

import pytest

from tinrudder_lab.emulator.ledger import Arrival, Ledger, StoreOutage

DRAIN_S = 3.0


def leaving_broken(ledger: Ledger) -> bool:
    broken = ledger.broken_promises(0.2, 50.0, 10.0, DRAIN_S, 5.0)
    return any(one.promise == "leaving" for one in broken)


def ledger_with(arrival_at: float, outages: list[StoreOutage]) -> Ledger:
    ledger = Ledger(leaving_at={"b": 10.0}, zones={"b": "z"}, store_outages=outages)
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
def test_calls_to_a_leaving_back_end_end_once_gateways_could_know_of_it(
    arrival_at: float, outages: list[StoreOutage], broken: bool
) -> None:
    assert leaving_broken(ledger_with(arrival_at, outages)) is broken
