"""Back ends that restart under the same id, and entries by foreign writers, in virtual time.

Guards against a restarted back end that gets no calls because of what was known of its previous
instance, and against one unreadable entry that hides others.
"""

from __future__ import annotations

import asyncio

import pytest

from tinrudder_lab.emulator.backend import Fault
from tinrudder_lab.emulator.http_server import ServedRequest
from tinrudder_lab.emulator.invalid_entries import CORRUPTIONS
from tinrudder_lab.emulator.site import EmulatedSite, run_site

ALL_ROUTES = ("scatter", "single", "once")
PROPAGATION_S = 0.7
"""Seconds by which every gateway has the store's latest state, through a watch, a digest and a
pull."""
LARGE_FLEET = 12
"""More gateways than read the store, so that some learn only from peers."""


def arrivals_at(site: EmulatedSite, backend_id: str, since: float) -> int:
    return sum(
        1 for one in site.ledger.arrivals if one.backend_id == backend_id and one.at >= since
    )


@pytest.mark.parametrize("moves", [False, True])
@pytest.mark.parametrize("down_s", [0.2, 3.0])
def test_a_back_end_that_starts_again_is_used_at_once(moves: bool, down_s: float) -> None:
    async def scenario(site: EmulatedSite) -> None:
        await site.traffic(1.0, 30.0, ALL_ROUTES)
        restarting = asyncio.create_task(site.restart_backend("shard-0-0", down_s, moves=moves))
        await site.traffic(down_s, 30.0, ALL_ROUTES)
        await restarting
        await asyncio.sleep(PROPAGATION_S)
        since = site.loop.time()
        await site.traffic(2.0, 30.0, ("scatter",))
        assert arrivals_at(site, "shard-0-0", since) >= 10
        assert site.contract_violations() == []

    run_site(scenario)


def test_failures_of_one_start_do_not_count_against_the_next() -> None:
    """Failures make a back end suspect for up to two seconds; the next instance must not be."""

    async def scenario(site: EmulatedSite) -> None:
        site.backends["shard-0-0"].choose_fault = lambda: Fault.ERROR
        await site.traffic(3.0, 40.0, ("scatter",))
        await site.restart_backend("shard-0-0", 0.1)
        await asyncio.sleep(0.1)
        for node in site.nodes:
            assert node.gateway is not None
            backends = {
                one.backend_id: one for one in node.gateway.backends.directory.usable("shard-0")
            }
            restarted = backends["shard-0-0"]
            assert restarted.entry.started_ms == site.backends["shard-0-0"].started_ms
            assert restarted.observations.failures == 0
            assert not restarted.observations.is_suspect(site.loop.time())

    run_site(scenario)


def test_an_unrepeatable_call_is_not_sent_to_the_next_start() -> None:
    """Both instances have the id that the call names; only the connection distinguishes them."""

    async def scenario(site: EmulatedSite) -> None:
        pending_sends = [asyncio.create_task(site.send("once", number % 3)) for number in range(30)]
        await asyncio.sleep(0.3)
        for copy in range(site.singles):
            await site.restart_backend(f"single-{copy}", 0.01)
        results = await asyncio.gather(*pending_sends)
        failed_results = [result for result in results if result.status in (502, 504)]
        assert failed_results
        assert site.contract_violations() == []

    run_site(scenario, work_s=1.0)


def test_a_back_end_that_left_and_starts_again_gets_work() -> None:
    async def scenario(site: EmulatedSite) -> None:
        site.drain("single-0")
        await asyncio.sleep(1.0)
        await site.restart_backend("single-0", 0.1, moves=True)
        for copy in range(1, site.singles):
            site.drain(f"single-{copy}")
        await asyncio.sleep(4.0)
        result = await site.send("single")
        assert result.status == 200
        assert site.contract_violations() == []

    run_site(scenario)


@pytest.mark.parametrize("node_count", [3, LARGE_FLEET])
def test_unreadable_entries_get_no_calls_and_the_others_stay_valid(node_count: int) -> None:
    async def scenario(site: EmulatedSite) -> None:
        await site.traffic(1.0, 20.0, ALL_ROUTES)
        overwritten = {f"shard-{number}-0": make for number, make in enumerate(CORRUPTIONS)}
        overwritten["single-1"] = CORRUPTIONS[0]
        for backend_id, make in overwritten.items():
            site.write_unreadable(backend_id, make(site.entry_document(backend_id), site.random))
        # A foreign entry under a new key, and a later change that it must not hide.
        site.write_unreadable("foreign-0", b"?")
        await site.add_backend("shard-0-2", "shard-0", "zone-a")
        await asyncio.sleep(PROPAGATION_S)
        since = site.loop.time()
        await site.traffic(2.0, 20.0, ALL_ROUTES)
        assert {one: arrivals_at(site, one, since) for one in overwritten} == dict.fromkeys(
            overwritten, 0
        )
        assert arrivals_at(site, "shard-0-2", since) > 0
        for node in site.nodes:
            assert node.gateway is not None
            assert node.gateway.knowledge.unreadable_values.count == len(overwritten) + 1
        for backend_id in overwritten:
            site.rewrite_entry(backend_id)
        await asyncio.sleep(PROPAGATION_S)
        since = site.loop.time()
        await site.traffic(2.0, 20.0, ALL_ROUTES)
        assert all(arrivals_at(site, backend_id, since) for backend_id in overwritten)
        assert site.served_share() == 1.0
        assert site.contract_violations() == []

    run_site(scenario, node_count=node_count)


def test_calls_in_progress_complete_after_the_entry_becomes_unreadable() -> None:
    async def scenario(site: EmulatedSite) -> None:
        pending_sends = [asyncio.create_task(site.send("once", number % 3)) for number in range(6)]
        await asyncio.sleep(0.1)
        for copy in range(site.singles):
            site.write_unreadable(f"single-{copy}", b"?")
        assert {result.status for result in await asyncio.gather(*pending_sends)} == {200}
        refused = await site.send("once")
        assert refused.status == 503
        assert site.contract_violations() == []

    run_site(scenario, work_s=0.6)


INVALID_ITEMS: tuple[dict[str, object], ...] = (
    {"value": "no base64"},
    {"value": 5},
    {"rev": None},
    {"rev": "seven"},
    {"rev": 2**80},
    {"key": None},
    {"key": 3},
)


@pytest.mark.parametrize("shown", [*INVALID_ITEMS, None])
def test_items_that_the_store_spoils_hide_no_others(shown: dict[str, object] | None) -> None:
    """Each invalid item alone, and then all of them."""
    invalid_items = INVALID_ITEMS if shown is None else (shown,)

    async def scenario(site: EmulatedSite) -> None:
        for number, item in enumerate(invalid_items):
            site.store.put_with_overrides(f"servers/aaa-{number}", item)
            site.store.put_with_overrides(f"servers/zzz-{number}", item)
        await asyncio.sleep(PROPAGATION_S)
        for node in site.nodes:
            site.kill_node(node)
        await asyncio.sleep(0.1)
        for node in site.nodes:
            site.start_node(node)
        await asyncio.sleep(2.0)
        assert [(await site.send("scatter", node)).status for node in range(2)] == [200] * 2
        site.drain("shard-0-0")
        await asyncio.sleep(PROPAGATION_S)
        for node in site.nodes:
            assert node.gateway is not None
            assert node.gateway.knowledge.state.backends["servers/shard-0-0"].leaving
            assert node.gateway.knowledge.unreadable_values.count > 0

    run_site(scenario, shards=26, node_count=2)


def test_a_request_that_ends_a_back_end_is_seen_over_its_starts() -> None:
    """The whole emulated site, where crashed back ends restart under their ids."""

    async def scenario(site: EmulatedSite) -> None:
        def crashes_back_end(request: ServedRequest) -> bool:
            return request.target.endswith("ends-back-ends")

        site.restarts_under_same_id = True
        site.crashes_on = crashes_back_end
        background = asyncio.create_task(site.traffic(20.0, 10.0, ALL_ROUTES))
        for turn in range(10):
            await site.send("scatter", turn % 3, target="/all/ends-back-ends")
            await asyncio.sleep(2.0)
        await background
        assert set(site.backends) >= {"shard-0-0", "shard-0-1", "single-0"}
        assert site.contract_violations() == []

    run_site(scenario)
