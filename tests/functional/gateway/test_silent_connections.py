"""Changes come into force although open connections have become silent without a reset.

Guards against a confirmed change that was not in force after the 5 s that the deployment allows:
gateways refused requests of a new route with 404, on most runs of sixty processes.

The failure comes about as follows. Connections to the store lose their path without notice, then a
change is confirmed. A watch has no answer as long as nothing changes, so a broken connection looked
like an idle store until the wait was over, and the wait grew with the number of readers. After six
seconds the other gateways queried the store too, over connections of their own that were as old.
Only after 10 to 17 s (16.36 s in the users' record) did a first watch reach the end of its wait and
query the store over a new connection; half a second later the change was in force everywhere.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from tests.support.many_gateways import SETTLED_S
from tinrudder_lab.emulator.silent_connections import (
    seconds_until_in_force,
    silence_all,
    silence_peers,
    silence_store,
)
from tinrudder_lab.emulator.site import DRAIN_S, EmulatedSite, run_site
from tinrudder_lab.emulator.store import StoreMode

IN_FORCE_S = 2.0
"""Seconds from a confirmation until a change is in force wherever a new connection works."""
STRICTEST_IN_FORCE_S = 3.0
"""The same, as limited by the strictest deployment."""
SILENT_FOR_S = 0.1
ADDED_ROUTE = "added"


class GrowingSite(EmulatedSite):
    """A site whose next configuration has an additional route."""

    has_added_route = False

    def extra_routes(self) -> list[str]:
        return [ADDED_ROUTE] if self.has_added_route else []

    def add_route(self) -> None:
        self.has_added_route = True
        self.configure()


@pytest.mark.parametrize("fall_silent", [silence_store, silence_peers, silence_all])
@pytest.mark.parametrize("gateways", [1, 3, 8, 24])
def test_a_change_is_in_force_although_open_connections_fell_silent(
    gateways: int, fall_silent: Callable[[EmulatedSite], None]
) -> None:
    async def scenario(site: EmulatedSite) -> float:
        await asyncio.sleep(SETTLED_S)
        # All watches begin at the same moment: none is about to end by itself.
        site.configure()
        await asyncio.sleep(1.0)
        fall_silent(site)
        await asyncio.sleep(SILENT_FOR_S)
        site.configure()
        return await seconds_until_in_force(site)

    assert run_site(scenario, node_count=gateways) <= IN_FORCE_S


@pytest.mark.parametrize("gateways", [3, 24])
def test_calls_end_to_a_back_end_whose_leaving_came_over_silent_connections(gateways: int) -> None:
    async def scenario(site: EmulatedSite) -> set[str]:
        await asyncio.sleep(SETTLED_S)
        silence_store(site)
        await asyncio.sleep(SILENT_FOR_S)
        site.drain("single-0")
        await asyncio.sleep(DRAIN_S)
        before = len(site.ledger.arrivals)
        for index in range(2 * gateways):
            await site.send("single", index % gateways)
        return {arrival.backend_id for arrival in site.ledger.arrivals[before:]}

    asked = run_site(scenario, node_count=gateways)
    assert asked
    assert "single-0" not in asked


def test_a_change_is_in_force_where_the_store_falls_silent_to_all_that_follow_it() -> None:
    """Other gateways get answers, and must notice that the readers do not."""

    async def scenario(site: EmulatedSite) -> float:
        await asyncio.sleep(SETTLED_S)
        site.configure()
        await asyncio.sleep(1.0)
        following = site.store.watching_ports()
        assert 0 < len(following) < len(site.nodes)
        site.store.set_mode(StoreMode.SILENT, *following)
        await asyncio.sleep(SILENT_FOR_S)
        site.configure()
        return await seconds_until_in_force(site)

    assert run_site(scenario, node_count=24) <= STRICTEST_IN_FORCE_S


IDLE_CALLS_PER_SECOND = 1.8
"""Maximum calls per second to an idle store by all gateways; independent of their number."""


@pytest.mark.parametrize("gateways", [1, 3, 8, 24])
def test_calls_to_an_idle_store_do_not_grow_with_the_gateways(gateways: int) -> None:
    async def scenario(site: EmulatedSite) -> float:
        await asyncio.sleep(15.0)
        before = site.store.calls
        await asyncio.sleep(60.0)
        return (site.store.calls - before) / 60.0

    assert run_site(scenario, node_count=gateways) <= IDLE_CALLS_PER_SECOND


def test_a_route_that_may_be_unknown_here_is_not_refused_for_good() -> None:
    """The store answers no gateway; requests of a new route get a status that callers retry.

    They do not retry after a 404.
    """

    async def scenario(site: EmulatedSite) -> list[int]:
        assert isinstance(site, GrowingSite)
        await asyncio.sleep(SETTLED_S)
        site.store.set_mode(StoreMode.SILENT)
        site.add_route()
        await asyncio.sleep(5.0)
        return [
            (await site.send("single", index, target=f"/{ADDED_ROUTE}/x")).status
            for index in range(len(site.nodes))
        ]

    assert run_site(scenario, GrowingSite, node_count=3) == [503] * 3
