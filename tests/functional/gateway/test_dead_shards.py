"""Requests to services whose back ends all refuse connections."""

from __future__ import annotations

import asyncio

import pytest

from tinrudder.gateway.model.http_messages import HttpRequest
from tinrudder.gateway.runs.request_fingerprint import fingerprint_of
from tinrudder.platform.headers import HEADERS
from tinrudder_lab.emulator.site import SITE_HOST, EmulatedSite, run_site

OBJECTIVE_S = 0.2
ZONES = ("zone-a", "zone-b", "zone-c")


async def crash_services(site: EmulatedSite, *services: str) -> None:
    """Crash all back ends of some services; their entries are still in the store."""
    for name, backend in tuple(site.backends.items()):
        if backend.service in services:
            site.crash_backend(name)
    await asyncio.sleep(0.1)


@pytest.mark.parametrize("route", ["scatter", "single", "once"])
def test_what_no_back_end_can_serve_is_refused_at_once_and_has_not_run(route: str) -> None:
    """Retries after refused connections would hold it for 0.4 to 0.8 s."""

    async def scenario(site: EmulatedSite) -> None:
        await site.traffic(3.0, 20.0, ("scatter", "single", "once"))
        await crash_services(site, *site.shard_services, "single")
        first = await site.send(route, 0)
        again = await site.send(route, 0)
        for result in (first, again):
            assert result.ended_at - result.sent_at < 0.05
        assert again.status == 503
        assert float(again.headers["retry-after"]) >= 0.3

    run_site(scenario)


def test_an_answer_does_not_wait_for_a_shard_that_nobody_can_ask() -> None:
    """Waiting for the shard would delay the answer to the objective, 0.2 s."""

    async def scenario(site: EmulatedSite) -> None:
        await site.traffic(3.0, 20.0, ("scatter",))
        await crash_services(site, "shard-0")
        await site.send("scatter", 0)
        result = await site.send("scatter", 0)
        assert result.status == 200
        assert result.headers["tinrudder-missing-parts"] == "1"
        assert result.ended_at - result.sent_at < OBJECTIVE_S / 2

    run_site(scenario, node_count=1)


def test_all_is_served_again_once_back_ends_listen_again() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await site.traffic(3.0, 20.0, ("scatter", "single"))
        await crash_services(site, "shard-0", "single")
        await site.traffic(1.0, 20.0, ("scatter", "single"))
        await asyncio.sleep(4.0)
        first = len(site.ledger.results)
        await site.traffic(2.0, 20.0, ("scatter", "single"))
        assert {one.status for one in site.ledger.results[first:]} == {200}
        assert site.contract_violations() == []

    run_site(scenario)


def test_a_suspect_request_is_delegated_if_no_back_end_can_be_called_here() -> None:
    """Delegated shards are held back until a back end called from here has answered.  Where none
    can be called, the request would wait for its deadline."""

    async def scenario(site: EmulatedSite) -> None:
        site.configure(oldest_version=0.1)
        await site.traffic(3.0, 20.0, ("scatter",))
        entry = site.nodes[0].gateway
        assert entry is not None
        coordination = entry.backends.coordinators.of_service("shard-0")
        own = coordination.own_shards(site.shard_services)
        assert coordination.delegated
        assert own
        await crash_services(site, *own)
        asked = site.request("scatter").target
        request = HttpRequest(b"GET", asked.encode(), ((b"host", SITE_HOST.encode()),), b"")
        entry.backends.poison_watch.requests.note_crash(
            fingerprint_of(request, HEADERS), b"", 1, site.loop.time(), trial=False
        )
        result = await site.send("scatter", 0, target=asked)
        assert result.status == 200
        assert result.ended_at - result.sent_at < OBJECTIVE_S

    run_site(scenario, node_count=6, zones=ZONES, spread=True, shards=18)
