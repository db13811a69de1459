"""Work for a disconnected client stops within half a second on every gateway and back end."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.support.many_gateways import SETTLED_S, run_with_many_gateways
from tinrudder_lab.emulator.site import EmulatedSite, run_site

DISCONNECT_AFTER_S = 0.05
STOP_WITHIN_S = 0.5
"""Seconds after a client's disconnect by which no back end works for it any more."""
LONG_WORK_S = 3.0
ROUTES = ("scatter", "single", "once")


def requests_in_progress(site: EmulatedSite) -> int:
    """Return the number of requests that back ends are processing or have queued."""
    return sum(
        1
        for backend in site.backends.values()
        for job in (*backend._running, *backend._queue)
        if not job.dropped
    )


async def check_work_stops(site: EmulatedSite, route: str, node: int) -> None:
    """Send a request, disconnect, and check the back ends half a second later."""
    site.work_s = LONG_WORK_S
    for backend in site.backends.values():
        backend._work_s = lambda: LONG_WORK_S
    await site.send(route, node, disconnects_after_s=DISCONNECT_AFTER_S)
    await asyncio.sleep(STOP_WITHIN_S)
    assert requests_in_progress(site) == 0
    arrivals = len(site.ledger.arrivals)
    assert arrivals
    await asyncio.sleep(2.0)
    assert len(site.ledger.arrivals) == arrivals


@pytest.mark.parametrize("route", ROUTES)
def test_back_ends_stop_where_the_gateway_calls_them_itself(route: str) -> None:
    async def scenario(site: EmulatedSite) -> None:
        await check_work_stops(site, route, 0)

    run_site(scenario)


def test_back_ends_stop_where_coordinators_and_neighbours_call_them() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await asyncio.sleep(SETTLED_S)
        entry = next(
            index
            for index, node in enumerate(site.nodes)
            if node.gateway is not None and not node.gateway.process.counters.coordinated
        )
        await check_work_stops(site, "scatter", entry)

    run_with_many_gateways(scenario)


def test_a_client_that_leaves_a_coordinated_scatter_frees_every_gateway() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await asyncio.sleep(SETTLED_S)
        tasks: list[Any] = [
            asyncio.create_task(site.send("scatter", node, disconnects_after_s=DISCONNECT_AFTER_S))
            for node in range(len(site.nodes))
        ]
        for backend in site.backends.values():
            backend._work_s = lambda: LONG_WORK_S
        await asyncio.gather(*tasks)
        await asyncio.sleep(STOP_WITHIN_S)
        for node in site.nodes:
            assert node.gateway is not None
            assert node.gateway.requests.handler.in_progress == 0
            assert node.gateway.requests.delegation_service.in_progress == 0

    run_with_many_gateways(scenario)
