"""Many gateways of which a few read the store: starts, outages and peer discovery."""

from __future__ import annotations

import asyncio
import math

import pytest

from tests.support.many_gateways import (
    GATEWAY_COUNT,
    SETTLED_S,
    run_with_many_gateways,
)
from tests.support.store_revisions import values_for_peer
from tinrudder.gateway.store.store_readers import READERS
from tinrudder.gateway.store.stored_values import Topic
from tinrudder_lab.emulator.loop import EmulatorLoop
from tinrudder_lab.emulator.site import EmulatedSite, run_site
from tinrudder_lab.emulator.store import PAGE_ITEMS, StoreMode


def test_of_many_gateways_a_few_follow_the_store() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await asyncio.sleep(15.0)
        calls = site.store.calls
        await asyncio.sleep(20.0)
        assert site.store.calls - calls <= 8 * 2 * math.ceil(20 / 5.6)
        site.configure(oldest_version=0.5)
        site.drain("single-0")
        await asyncio.sleep(2.0)
        revisions = {
            (
                node.gateway.knowledge.state.configuration_revision,
                node.gateway.knowledge.state.revision(Topic.BACKENDS),
            )
            for node in site.nodes
            if node.gateway is not None
        }
        assert len(revisions) == 1
        assert site.nodes[0].gateway is not None
        backends = site.nodes[0].gateway.knowledge.state.backends
        assert [known.leaving for key, known in backends.items() if "single-0" in key] == [True]

    run_with_many_gateways(scenario)


def test_a_gateway_that_hears_nobody_asks_the_store_itself() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await asyncio.sleep(15.0)
        alone = next(
            node
            for node in site.nodes
            if node.gateway is not None and not node.gateway.store.readers.is_reader()
        )
        assert isinstance(site.loop, EmulatorLoop)
        site.loop.drops_datagram = lambda source, target: alone.host in (source[0], target[0])
        await asyncio.sleep(1.5)
        site.configure(oldest_version=0.5)
        await asyncio.sleep(1.0)
        assert alone.gateway is not None
        revisions = {
            node.gateway.knowledge.state.configuration_revision
            for node in site.nodes
            if node.gateway is not None
        }
        assert revisions == {alone.gateway.knowledge.state.configuration_revision}

    run_with_many_gateways(scenario)


def test_where_the_store_refuses_every_reader_others_ask_it() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await asyncio.sleep(15.0)
        refused = [
            node
            for node in site.nodes
            if node.gateway is not None and node.gateway.store.readers.is_reader()
        ]
        assert READERS <= len(refused) < GATEWAY_COUNT
        for node in refused:
            site.store.set_mode(StoreMode.REFUSING, node.store_port)
        await asyncio.sleep(11.0)
        site.configure(oldest_version=0.5)
        await asyncio.sleep(2.0)
        known = {
            node.gateway.knowledge.state.configuration_revision
            for node in site.nodes
            if node.gateway is not None
        }
        assert len(known) == 1
        accepted = site.nodes[0].gateway
        assert accepted is not None and accepted.knowledge.state.accepted is not None
        assert accepted.knowledge.state.accepted.configuration.version == site.version

    run_with_many_gateways(scenario)


def test_a_snapshot_holds_only_what_the_asker_lacks() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await asyncio.sleep(SETTLED_S)
        gateway = site.nodes[0].gateway
        assert gateway is not None
        known = gateway.knowledge.state.revision(Topic.BACKENDS)
        site.drain("single-0")
        await asyncio.sleep(1.0)
        changes = values_for_peer(gateway.knowledge.state, known)
        assert [value.key.rpartition("/")[2] for value in changes] == ["single-0"]
        assert len(values_for_peer(gateway.knowledge.state)) == len(site.backends)

    run_site(scenario)


def reads_of_one(site: EmulatedSite) -> int:
    """Return how many calls a gateway needs to read everything: one more than the pages."""
    return 1 + math.ceil(len(site.backends) / PAGE_ITEMS)


def all_complete(site: EmulatedSite) -> bool:
    return all(
        node.gateway is not None and node.gateway.knowledge.state.complete for node in site.nodes
    )


def restart_all(site: EmulatedSite) -> None:
    for node in site.nodes:
        site.kill_node(node)
    for node in site.nodes:
        site.start_node(node)


def test_when_all_start_at_once_only_the_seeds_read_the_store() -> None:
    async def scenario(site: EmulatedSite) -> None:
        assert all_complete(site)
        assert site.store.reads <= len(site.seeds) * reads_of_one(site)
        reads = site.store.reads
        restart_all(site)
        await asyncio.sleep(0.4)
        assert all_complete(site)
        assert site.store.reads - reads <= len(site.seeds) * reads_of_one(site)

    run_with_many_gateways(scenario)


def test_a_single_start_among_running_gateways_asks_peers_and_not_the_store() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await asyncio.sleep(SETTLED_S)
        reads = site.store.reads
        started = site.nodes[-1]
        site.kill_node(started)
        site.start_node(started)
        await asyncio.sleep(0.05)
        assert started.gateway is not None
        assert started.gateway.knowledge.state.complete
        assert site.store.reads == reads

    run_with_many_gateways(scenario)


@pytest.mark.parametrize("cut", [StoreMode.REFUSING, StoreMode.SILENT])
def test_where_the_store_turns_every_seed_away_the_others_read_it(cut: StoreMode) -> None:
    async def scenario(site: EmulatedSite) -> None:
        seeds = {address.host for address in site.seeds}
        for node in site.nodes:
            if node.host in seeds:
                site.store.set_mode(cut, node.store_port)
        restart_all(site)
        await asyncio.sleep(2.5)
        assert all_complete(site)

    run_with_many_gateways(scenario)


def test_a_start_without_living_seeds_soon_reads_the_store() -> None:
    async def scenario(site: EmulatedSite) -> None:
        for node in site.nodes:
            site.kill_node(node)
        last = site.nodes[-1]
        site.start_node(last)
        await asyncio.sleep(0.8)
        assert last.gateway is not None
        assert last.gateway.knowledge.state.complete

    run_with_many_gateways(scenario)


def test_starts_during_an_outage_of_the_store_do_not_all_keep_asking_it() -> None:
    async def scenario(site: EmulatedSite) -> None:
        site.store.set_mode(StoreMode.REFUSING)
        restart_all(site)
        calls = site.store.calls
        await asyncio.sleep(8.0)
        # Two seeds retry at their usual rate; all others together about 20 times per second.
        assert site.store.calls - calls <= 8.0 * (20 + 2 * len(site.seeds) * 2 / 0.8)
        site.store.set_mode(StoreMode.SERVING)
        await asyncio.sleep(1.5)
        assert all_complete(site)

    run_with_many_gateways(scenario)


def test_gateways_that_start_together_know_each_other_within_a_second() -> None:
    """Coordinators are chosen among the known gateways, so views must agree early."""

    async def scenario(site: EmulatedSite) -> None:
        restart_all(site)
        await asyncio.sleep(0.7)
        known = [node.gateway.nodes() for node in site.nodes if node.gateway is not None]
        assert min(known) >= 0.95 * len(site.nodes)

    run_site(scenario, node_count=60)


def test_one_that_starts_among_many_knows_them_at_once_and_not_the_dead() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await asyncio.sleep(SETTLED_S)
        started, dead = site.nodes[-1], site.nodes[-2]
        site.kill_node(dead)
        site.kill_node(started)
        await asyncio.sleep(31.0)
        site.start_node(started)
        await asyncio.sleep(0.5)
        assert started.gateway is not None
        assert started.gateway.nodes() == len(site.nodes) - 1

    run_site(scenario, node_count=60)


def test_one_that_starts_before_the_seeds_listen_is_taught_as_soon_as_they_know() -> None:
    async def scenario(site: EmulatedSite) -> None:
        for node in site.nodes:
            site.kill_node(node)
        last = site.nodes[-1]
        site.start_node(last)
        await asyncio.sleep(0.02)
        for node in site.nodes[:-1]:
            site.start_node(node)
        await asyncio.sleep(0.06)
        assert last.gateway is not None
        assert last.gateway.knowledge.state.complete

    run_with_many_gateways(scenario)
