"""Back ends of an evacuated zone get no calls until the evacuation ends.

This holds whether a gateway learns of it from the store or from a peer.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.support.many_gateways import SETTLED_S, counters_by_node, run_with_many_gateways
from tinrudder_lab.emulator.site import EVACUATION_S, EmulatedSite, run_site
from tinrudder_lab.emulator.store import StoreMode

ALL_ROUTES = ("scatter", "single", "once")
ZONE = "zone-a"
OTHER_ZONE = "zone-b"
PROPAGATION_S = 1.0
"""Longest propagation time of an evacuation through watches and digests, seconds."""


def used_zones(site: EmulatedSite, since: float) -> set[str]:
    return {site.ledger.zones[one.backend_id] for one in site.ledger.arrivals if one.at > since}


def test_an_evacuated_zone_gets_nothing_and_all_is_served_elsewhere() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await site.traffic(2.0, 30.0, ALL_ROUTES)
        site.evacuate(ZONE)
        await asyncio.sleep(PROPAGATION_S)
        evacuated_at = site.loop.time()
        await site.traffic(EVACUATION_S + 2.0, 30.0, ALL_ROUTES)
        assert used_zones(site, evacuated_at) == {OTHER_ZONE}
        assert site.served_share() == 1.0
        assert site.contract_violations() == []

    run_site(scenario)


def test_idle_connections_to_an_evacuated_zone_are_closed() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await site.traffic(2.0, 30.0, ALL_ROUTES)
        site.evacuate(ZONE)
        await asyncio.sleep(PROPAGATION_S)
        open_backends = [
            backend.backend_id
            for backend in site.backends.values()
            if site.ledger.zones[backend.backend_id] == ZONE and backend.open_connections
        ]
        assert open_backends == []

    run_site(scenario)


def test_a_zone_that_is_taken_back_gets_its_part_again() -> None:
    async def scenario(site: EmulatedSite) -> None:
        site.evacuate(ZONE)
        await asyncio.sleep(PROPAGATION_S)
        site.end_evacuation(ZONE)
        await asyncio.sleep(PROPAGATION_S)
        taken_back_at = site.loop.time()
        await site.traffic(3.0, 30.0, ALL_ROUTES)
        assert used_zones(site, taken_back_at) == {ZONE, OTHER_ZONE}
        assert site.contract_violations() == []

    run_site(scenario)


def test_where_no_replica_is_left_requests_are_refused_at_once_and_have_not_run() -> None:
    async def scenario(site: EmulatedSite) -> None:
        site.evacuate(ZONE)
        site.evacuate(OTHER_ZONE)
        await asyncio.sleep(PROPAGATION_S)
        evacuated_at = site.loop.time()
        for route in ALL_ROUTES:
            result = await site.send(route)
            assert result.status == 503
            assert float(result.headers["retry-after"]) > 0
            assert result.ended_at - result.sent_at < 0.05
        assert used_zones(site, evacuated_at) == set()
        site.end_evacuation(ZONE)
        await asyncio.sleep(PROPAGATION_S)
        assert [(await site.send(route)).status for route in ALL_ROUTES] == [200] * 3

    run_site(scenario)


def test_a_shard_without_another_replica_is_missing_and_the_rest_is_served() -> None:
    async def scenario(site: EmulatedSite) -> None:
        site.backends["shard-0-1"].stop()
        site.drain("shard-0-1")
        await asyncio.sleep(2.0)
        site.evacuate(site.ledger.zones["shard-0-0"])
        await asyncio.sleep(PROPAGATION_S)
        result = await site.send("scatter")
        assert result.status == 200
        assert result.headers["tinrudder-missing-parts"] == "1"

    run_site(scenario)


@pytest.mark.parametrize("mode", [StoreMode.REFUSING, StoreMode.SILENT, StoreMode.DEAF])
def test_a_machine_that_the_store_drops_learns_of_evacuations_from_its_peers(
    mode: StoreMode,
) -> None:
    async def scenario(site: EmulatedSite) -> None:
        site.store.set_mode(mode, site.nodes[0].store_port)
        await asyncio.sleep(4.0)
        site.evacuate(ZONE)
        await asyncio.sleep(3.0)
        evacuated_at = site.loop.time()
        for _ in range(10):
            assert (await site.send("scatter", 0)).status == 200
        assert used_zones(site, evacuated_at) == {OTHER_ZONE}
        site.end_evacuation(ZONE)
        await asyncio.sleep(3.0)
        gateway = site.nodes[0].gateway
        assert gateway is not None
        assert gateway.knowledge.state.evacuations.zones == frozenset()

    run_site(scenario)


def test_a_process_that_starts_while_the_store_is_down_keeps_to_evacuations() -> None:
    async def scenario(site: EmulatedSite) -> None:
        site.evacuate(ZONE)
        await asyncio.sleep(PROPAGATION_S)
        site.store.set_mode(StoreMode.SILENT)
        node = site.nodes[2]
        site.kill_node(node)
        await asyncio.sleep(0.5)
        site.start_node(node)
        await asyncio.sleep(2.0)
        started_at = site.loop.time()
        for _ in range(10):
            assert (await site.send("scatter", 2)).status == 200
        assert used_zones(site, started_at) == {OTHER_ZONE}

    run_site(scenario)


def test_processes_that_start_during_an_evacuation_keep_to_it() -> None:
    async def scenario(site: EmulatedSite) -> None:
        site.evacuate(ZONE)
        for node in site.nodes:
            site.kill_node(node)
        await asyncio.sleep(0.5)
        started_at = site.loop.time()
        for node in site.nodes:
            site.start_node(node)
        await site.traffic(4.0, 30.0, ALL_ROUTES)
        assert used_zones(site, started_at) == {OTHER_ZONE}

    run_site(scenario)


def test_forgotten_history_brings_evacuations_and_their_ends() -> None:
    async def scenario(site: EmulatedSite) -> None:
        site.evacuate(OTHER_ZONE)
        await asyncio.sleep(PROPAGATION_S)
        site.store.set_mode(StoreMode.DEAF)
        site.evacuate(ZONE)
        site.end_evacuation(OTHER_ZONE)
        await asyncio.sleep(PROPAGATION_S)
        site.store.set_mode(StoreMode.SERVING)
        site.store.compact_history()
        await asyncio.sleep(PROPAGATION_S)
        for node in site.nodes:
            assert node.gateway is not None
            assert node.gateway.knowledge.state.evacuations.zones == frozenset((ZONE,))

    run_site(scenario)


def test_an_evacuation_that_names_no_zone_changes_nothing() -> None:
    async def scenario(site: EmulatedSite) -> None:
        site.store.put("op/evacuate/", {})
        site.store.put("op/evacuate/zone-a/", {})
        site.store.put("op/something-else", {})
        await asyncio.sleep(PROPAGATION_S)
        assert [(await site.send(route)).status for route in ALL_ROUTES] == [200] * 3
        for node in site.nodes:
            assert node.gateway is not None
            assert node.gateway.knowledge.state.evacuations.zones == frozenset()

    run_site(scenario)


def test_coordinators_and_gateways_beside_replicas_keep_to_evacuations() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await asyncio.sleep(SETTLED_S)
        await site.traffic(1.0, 30.0, ("scatter",))
        assert counters_by_node(site, "coordinated")
        site.evacuate(ZONE)
        await asyncio.sleep(PROPAGATION_S)
        evacuated_at = site.loop.time()
        await site.traffic(EVACUATION_S + 2.0, 30.0, ("scatter",))
        assert ZONE not in used_zones(site, evacuated_at)
        assert site.served_share() == 1.0
        assert site.contract_violations() == []

    run_with_many_gateways(scenario, zones=("zone-a", "zone-b", "zone-c"), spread=True, shards=9)
