"""A network partition isolates a zone: both sides detect it quickly, serve what they can, and
recover without a burst of connections.

The tests simulate a partition from one side: machines and back ends on the other side are paused,
and datagrams between the sides are lost.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from typing import Any

import pytest

from tinrudder.gateway.gateway import Gateway
from tinrudder_lab.emulator.site import EmulatedNode, EmulatedSite, run_site

ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
DETECTED_WITHIN_S = 1.0
"""Seconds within which a partition is detected while requests arrive, see docs/design."""
PAUSE_S = 600.0
OBJECTIVE_S = 0.2
WARM_UP_S = 4.0
FAST_REFUSAL_S = 0.05


def run_zones(scenario: Any, **options: Any) -> Any:
    """Run a scenario with three copies of each shard, in three of the four zones in rotation."""
    settings = {"zones": ZONES, "spread": True, "copies": 3, "node_count": 8, "shards": 12}
    return run_site(scenario, **(settings | options))


def gateway_of(node: EmulatedNode) -> Gateway:
    assert node.gateway is not None
    return node.gateway


def nodes_in(site: EmulatedSite, *zones: str) -> list[int]:
    return [index for index, node in enumerate(site.nodes) if node.machine.zone in zones]


def partition(site: EmulatedSite, *zones: str) -> None:
    """Pause everything in some zones, as they appear to gateways that are cut off from them."""
    hosts = {site.nodes[index].host for index in nodes_in(site, *zones)}
    loop: Any = site.loop
    loop.drops_datagram = lambda source, target: (source[0] in hosts) != (target[0] in hosts)
    for index in nodes_in(site, *zones):
        site.nodes[index].machine.pause()
    for backend in backends_in(site, *zones):
        backend.pause(PAUSE_S)


def heal_partition(site: EmulatedSite, *zones: str) -> None:
    loop: Any = site.loop
    loop.drops_datagram = lambda source, target: False
    for index in nodes_in(site, *zones):
        site.nodes[index].machine.resume(site.loop)
    for backend in backends_in(site, *zones):
        backend._paused_until = site.loop.time()


def backends_in(site: EmulatedSite, *zones: str) -> Iterator[Any]:
    for backend in site.backends.values():
        if site.ledger.zones[backend.backend_id] in zones:
            yield backend


async def is_ready(site: EmulatedSite, node: int) -> bool:
    reader, writer = await asyncio.open_connection(site.nodes[node].host, 8101)
    writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n")
    status = await reader.readline()
    writer.close()
    return b" 200 " in status


async def send_scatters(site: EmulatedSite, nodes: list[int], seconds: float) -> list[Any]:
    tasks = []
    for number in range(int(seconds * 10)):
        node = nodes[number % len(nodes)]
        tasks.append(asyncio.create_task(site.send("scatter", node)))
        await asyncio.sleep(0.1)
    return list(await asyncio.gather(*tasks))


def test_the_cut_off_side_refuses_at_once_what_it_cannot_serve() -> None:
    async def scenario(site: EmulatedSite) -> None:
        site.configure(oldest_version=0.95)
        cut_off = nodes_in(site, "zone-d")
        await send_scatters(site, cut_off, WARM_UP_S)
        partition(site, "zone-a", "zone-b", "zone-c")
        await send_scatters(site, cut_off, DETECTED_WITHIN_S)
        for result in await send_scatters(site, cut_off, 2.0):
            assert result.status == 503
            assert result.ended_at - result.sent_at < FAST_REFUSAL_S
            assert float(result.headers["retry-after"]) > 0.0
            assert result.headers["connection"] == "close"
        single = await site.send("single", cut_off[0])
        assert single.status == 503
        assert single.ended_at - single.sent_at < FAST_REFUSAL_S
        assert site.contract_violations() == []

    run_zones(scenario)


def test_the_cut_off_side_leaves_and_comes_back_together() -> None:
    async def scenario(site: EmulatedSite) -> None:
        cut_off = nodes_in(site, "zone-d")
        await send_scatters(site, cut_off, WARM_UP_S)
        partition(site, "zone-a", "zone-b", "zone-c")
        # Only one of them gets requests; the others learn of the partition from its digests.
        await send_scatters(site, cut_off[:1], DETECTED_WITHIN_S)
        assert [await is_ready(site, node) for node in cut_off] == [False, False]
        await asyncio.sleep(8.0)
        assert [await is_ready(site, node) for node in cut_off] == [False, False]
        heal_partition(site, "zone-a", "zone-b", "zone-c")
        await asyncio.sleep(1.0)
        assert [await is_ready(site, node) for node in cut_off] == [True, True]
        assert {one.status for one in await send_scatters(site, cut_off, 2.0)} == {200}
        assert site.contract_violations() == []

    run_zones(scenario)


def test_the_cut_off_side_notices_although_nobody_asks_for_anything() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await asyncio.sleep(WARM_UP_S)
        partition(site, "zone-a", "zone-b", "zone-c")
        await asyncio.sleep(3.0)
        assert not any([await is_ready(site, node) for node in nodes_in(site, "zone-d")])

    run_zones(scenario)


@pytest.mark.parametrize("zone", ZONES)
def test_the_other_side_serves_on_and_calls_nobody_there(zone: str) -> None:
    async def scenario(site: EmulatedSite) -> None:
        rest = [one for one in ZONES if one != zone]
        reachable_nodes = nodes_in(site, *rest)
        await send_scatters(site, reachable_nodes, WARM_UP_S)
        partition(site, zone)
        served = await send_scatters(site, reachable_nodes, DETECTED_WITHIN_S)
        detected_at = site.loop.time()
        served += await send_scatters(site, reachable_nodes, 4.0)
        assert {one.status for one in served} == {200}
        late = [one for one in served if one.ended_at - one.sent_at > OBJECTIVE_S + 0.01]
        assert len(late) <= 2
        late_calls = [
            one
            for one in site.ledger.arrivals
            if one.at > detected_at and site.ledger.zones[one.backend_id] == zone
        ]
        assert len(late_calls) <= 2
        assert all([await is_ready(site, node) for node in reachable_nodes])
        assert site.contract_violations() == []

    run_zones(scenario)


def test_single_requests_go_on_where_a_replica_answers() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await send_scatters(site, nodes_in(site, "zone-a"), WARM_UP_S)
        partition(site, "zone-b", "zone-c", "zone-d")
        await send_scatters(site, nodes_in(site, "zone-a"), DETECTED_WITHIN_S)
        for node in nodes_in(site, "zone-a") * 3:
            result = await site.send("single", node)
            assert result.status == 200
            assert result.ended_at - result.sent_at < OBJECTIVE_S

    run_zones(scenario)


def test_the_other_side_takes_the_zone_back_without_a_burst_of_connections() -> None:
    async def scenario(site: EmulatedSite) -> None:
        reachable_nodes = nodes_in(site, "zone-a", "zone-b", "zone-c")
        await send_scatters(site, reachable_nodes, WARM_UP_S)
        partition(site, "zone-d")
        await send_scatters(site, reachable_nodes, 3.0)
        heal_partition(site, "zone-d")
        opened = sum(gateway_of(node).process.counters.connections_opened for node in site.nodes)
        await send_scatters(site, reachable_nodes, 3.0)
        used = [
            one
            for one in site.ledger.arrivals[-200:]
            if site.ledger.zones[one.backend_id] == "zone-d"
        ]
        assert used
        after = sum(gateway_of(node).process.counters.connections_opened for node in site.nodes)
        assert after - opened <= 60
        assert site.contract_violations() == []

    run_zones(scenario)


def test_one_gateway_that_is_cut_off_alone_leaves_alone() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await send_scatters(site, [0], WARM_UP_S)
        alone = site.nodes[0].host
        loop: Any = site.loop
        loop.drops_datagram = lambda source, target: alone in (source[0], target[0])
        for node in site.nodes[1:]:
            node.machine.pause()
        for backend in site.backends.values():
            backend.pause(PAUSE_S)
        await send_scatters(site, [0], 2.5)
        assert not await is_ready(site, 0)

    run_zones(scenario)


def test_lost_datagrams_alone_close_nothing() -> None:
    async def scenario(site: EmulatedSite) -> None:
        loop: Any = site.loop
        loop.drops_datagram = lambda source, target: site.random.random() < 0.3
        served = await send_scatters(site, list(range(8)), 20.0)
        assert {one.status for one in served} == {200}
        assert sum(gateway_of(node).fleet.zone_monitor.closings for node in site.nodes) == 0

    run_zones(scenario)


def test_gateways_that_are_killed_close_no_zone_whose_back_ends_answer() -> None:
    async def scenario(site: EmulatedSite) -> None:
        reachable_nodes = nodes_in(site, "zone-a", "zone-b", "zone-c")
        await send_scatters(site, reachable_nodes, WARM_UP_S)
        for index in nodes_in(site, "zone-d"):
            site.kill_node(site.nodes[index])
        served = await send_scatters(site, reachable_nodes, 12.0)
        assert {one.status for one in served} == {200}
        coordinating = [node for node in site.nodes if gateway_of(node).process.counters.calls]
        assert not any(
            gateway_of(node).fleet.zone_monitor.is_closed("zone-d")
            for node in coordinating
            if not node.machine.crashed
        )

    run_zones(scenario)


@pytest.mark.parametrize("zone", ["", "nowhere"])
def test_gateways_without_a_zone_or_in_one_that_nobody_knows_serve(zone: str) -> None:
    async def scenario(site: EmulatedSite) -> None:
        assert {one.status for one in await send_scatters(site, [0, 1, 2], 3.0)} == {200}
        assert await is_ready(site, 0)

    run_site(scenario, zones=(zone,), node_count=3)


def test_halves_of_a_fleet_both_stay() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await send_scatters(site, [0], WARM_UP_S)
        partition(site, "zone-b")
        await send_scatters(site, nodes_in(site, "zone-a"), 2.0)
        assert all([await is_ready(site, node) for node in nodes_in(site, "zone-a")])

    run_zones(scenario, zones=("zone-a", "zone-b"), spread=False, copies=2, node_count=4)
