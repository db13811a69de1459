"""Overload of a service of three back ends that twelve gateways call, on the emulated platform.

Guards against gateways that overload back ends, since each of them sees few of the answers, and
against load reports that are wrong or outlive the overload.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from tinrudder.gateway.backends.load_report_exchange import instance_hash_of
from tinrudder.gateway.decisions.fleet.peer_load_reports import (
    BURST_BYTES,
    BYTES_PER_S,
    DATAGRAM_BYTES,
    LOAD_BYTES,
    ReportedLoad,
)
from tinrudder.gateway.peers.peer_messages import LoadNews
from tinrudder_lab.emulator.backend import Fault
from tinrudder_lab.emulator.records import Arrival, ClientResult
from tinrudder_lab.emulator.site import EmulatedSite, run_site

GATEWAYS = 12
WORK_S = 0.1
CAPACITY_PER_S = 3 * 2 / (WORK_S * 1.063)
"""Calls per second that three back ends of two slots run; the mean work is 1.063 times the median
``WORK_S``."""
OBJECTIVE_S = 0.4


def run_shared(scenario: Callable[[EmulatedSite], Coroutine[Any, Any, None]]) -> None:
    run_site(scenario, node_count=GATEWAYS, shards=1, work_s=WORK_S)


async def load(
    site: EmulatedSite, times: float, seconds: float, route: str = "single"
) -> tuple[list[ClientResult], list[Arrival]]:
    """Send requests at ``times`` the capacity; return their results and arrivals."""
    first_result, first_arrival = len(site.ledger.results), len(site.ledger.arrivals)
    await site.traffic(seconds, times * CAPACITY_PER_S, (route,))
    return site.ledger.results[first_result:], site.ledger.arrivals[first_arrival:]


def exchange_counts(site: EmulatedSite, kind: str) -> list[int]:
    gateways = [node.gateway for node in site.nodes if node.gateway is not None]
    return [getattr(one.backends.load_report_exchange, kind) for one in gateways]


def in_time(results: list[ClientResult]) -> int:
    return sum(
        1 for one in results if one.status == 200 and one.ended_at - one.sent_at <= OBJECTIVE_S
    )


@pytest.mark.parametrize("route", ["single", "once"])
def test_what_can_be_served_is_served_and_the_rest_refused_at_once(route: str) -> None:
    """Guards against overload in which only 6 to 17 of 56 requests a second are in time, and some
    get 504 (three seeds each)."""

    async def scenario(site: EmulatedSite) -> None:
        await load(site, 0.2, 5.0)
        results, arrivals = await load(site, 1.4, 5.0, route)
        shed = sum(1 for arrival in arrivals if not arrival.ran)
        assert shed <= 0.03 * len(arrivals)
        assert in_time(results) >= 0.6 * CAPACITY_PER_S * 5.0
        refused = [one for one in results if one.status == 503]
        assert all(one.ended_at - one.sent_at < 0.05 for one in refused)
        pauses = {float(one.headers["retry-after"]) for one in refused}
        assert len(pauses) > len(refused) / 3
        assert {one.status for one in results} == {200, 503}
        most_bytes = BURST_BYTES + BYTES_PER_S * 12.0
        assert max(exchange_counts(site, "sent")) <= most_bytes / (DATAGRAM_BYTES + LOAD_BYTES)
        assert sum(exchange_counts(site, "ignored")) == 0
        assert site.contract_violations() == []

    run_shared(scenario)


def test_back_ends_shed_next_to_nothing_however_much_is_asked() -> None:
    """Guards against overload in which back ends shed 0.05 to 0.16 of the arrivals, and only 8 to
    10 of 56 requests a second are in time."""

    async def scenario(site: EmulatedSite) -> None:
        await load(site, 0.2, 5.0)
        results, arrivals = await load(site, 4.0, 3.0)
        assert sum(1 for arrival in arrivals if not arrival.ran) <= 0.03 * len(arrivals)
        assert in_time(results) >= 0.5 * CAPACITY_PER_S * 3.0
        assert {one.status for one in results} == {200, 503}
        assert site.contract_violations() == []

    run_shared(scenario)


def test_load_reports_and_refusals_end_with_the_queues() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await load(site, 4.0, 2.0)
        await asyncio.sleep(1.0)
        sent = sum(exchange_counts(site, "sent"))
        results, _ = await load(site, 0.05, 10.0)
        assert in_time(results) == len(results)
        assert sum(exchange_counts(site, "sent")) == sent

    run_shared(scenario)


def test_no_load_reports_are_sent_without_queues() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await load(site, 0.05, 10.0)
        await site.traffic(3.0, 10.0, ("scatter",))
        assert sum(exchange_counts(site, "sent")) == 0

    run_shared(scenario)


def test_a_back_end_that_sheds_by_a_fault_is_no_overload() -> None:
    async def scenario(site: EmulatedSite) -> None:
        # Gateways that have just started have almost no budget to retry rejected calls.
        await asyncio.sleep(10.0)
        faulty = site.backends["single-0"]
        faulty.choose_fault = lambda: Fault.SHED if site.random.random() < 0.5 else Fault.NONE
        results, arrivals = await load(site, 0.1, 15.0)
        assert sum(1 for arrival in arrivals if not arrival.ran) >= 5
        assert {one.status for one in results} == {200}
        assert sum(exchange_counts(site, "sent")) == 0

    run_shared(scenario)


def test_load_reports_of_another_start_or_with_impossible_values_are_ignored() -> None:
    async def scenario(site: EmulatedSite) -> None:
        sender, receiver = (node.gateway for node in site.nodes[:2])
        assert sender is not None
        assert receiver is not None
        known = next(one for one in receiver.backends.directory if one.entry.service == "single")
        number = instance_hash_of(known.entry)
        invalid = [
            ReportedLoad(number + 1, 14, 2, 1.0, 0.1),
            ReportedLoad(number, 2_000_000, 2, 1.0, 0.1),
            ReportedLoad(number, 14, 0, 1.0, 0.1),
            ReportedLoad(number, 14, 2, 0.0, 0.1),
            ReportedLoad(number, 14, 2, 1.0, 0.9),
            ReportedLoad(number, 14, 2, 1.0, 0.1, service_time_s=10_000.0),
        ]
        before = known.observations.reported_at
        sender.fleet.datagrams.send(LoadNews(tuple(invalid)), receiver.settings.peers)
        await asyncio.sleep(0.1)
        assert known.observations.reported_at == before
        assert receiver.backends.load_report_exchange.ignored == len(invalid)
        sender.fleet.datagrams.send(
            LoadNews((ReportedLoad(number, 14, 2, 1.0, 0.1),)), receiver.settings.peers
        )
        await asyncio.sleep(0.1)
        assert known.observations.reported_backlog == 14
        assert receiver.backends.load_report_exchange.applied == 1

    run_shared(scenario)
