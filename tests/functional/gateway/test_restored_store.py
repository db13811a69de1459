"""After the store is restored from an older copy, confirmed changes are in force in time.

Guards against confirmed changes that come into force late or not at all: after an outage of 2.7 s,
two gateways still used a route's previous version more than four seconds after the change, and
three changes in a row had no effect until the fourth came into force everywhere at once. In that
time every gateway called the store over a hundred times a second.

The failure comes about as follows. The restored store assigns the revisions after the end of the
copy again. A gateway that keeps the highest revision ever observed for each key takes every new
write for old until the store's counter has passed that revision.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from tinrudder.gateway.store.epoch_rules import REWRITE_PERIOD_S
from tinrudder_lab.emulator.loop import EmulatorLoop
from tinrudder_lab.emulator.site import EmulatedSite, SiteTenant, run_site
from tinrudder_lab.emulator.store import StoreMode
from tinrudder_lab.emulator.store_restore import StoreRestore, restore_store

IN_FORCE_S = 3.0
"""Seconds from a change's confirmation until it must be in force everywhere."""
LOST_CHANGES = 4
GATEWAYS = 7
CALLS_PER_SECOND = 100
"""Maximum calls to a restored store by all gateways together: a twentieth of the 2,000 reading
calls a second that the smallest deployment allows."""


def versions_in_force(site: EmulatedSite) -> list[int]:
    """Return the operator's version in force at each gateway."""
    accepted = [node.gateway.knowledge.state.accepted for node in site.nodes if node.gateway]
    return [one.configuration.version for one in accepted if one is not None]


async def lose_changes(site: EmulatedSite) -> None:
    """Let the store lose changes of each kind; their authors write the newest ones again."""
    await asyncio.sleep(2.0)
    for _ in range(LOST_CHANGES):
        await asyncio.sleep(0.5)
        site.configure()
        site.mark_cold("single-0", 0.5)
        site.evacuate("zone-a")
        site.end_evacuation("zone-a")
    await asyncio.sleep(0.2)
    await restore_store(site, StoreRestore(age_s=1.8))


def test_changes_that_are_confirmed_after_the_store_came_back_are_in_force_in_time() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await lose_changes(site)
        for _ in range(2):
            await asyncio.sleep(0.5)
            site.configure()
        await asyncio.sleep(IN_FORCE_S)
        assert versions_in_force(site) == [site.version] * GATEWAYS

    run_site(scenario, node_count=GATEWAYS)


def leave(site: EmulatedSite) -> None:
    site.drain("single-0")


def evacuate(site: EmulatedSite) -> None:
    site.evacuate("zone-a")


@pytest.mark.parametrize("change", [leave, evacuate])
def test_leaving_and_evacuation_after_the_restore_take_effect(
    change: Callable[[EmulatedSite], None],
) -> None:
    """The same order of events, but the change after the restore is no configuration."""

    async def scenario(site: EmulatedSite) -> None:
        await lose_changes(site)
        change(site)
        await asyncio.sleep(1.0)
        before = len(site.ledger.arrivals)
        for index in range(5 * GATEWAYS):
            await site.send("single", index % GATEWAYS)
        asked = {arrival.backend_id for arrival in site.ledger.arrivals[before:]}
        assert asked
        assert "single-0" not in asked

    run_site(scenario, node_count=GATEWAYS)


def test_a_back_end_that_comes_after_the_return_gets_its_part() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await lose_changes(site)
        await site.add_backend("single-new", "single", "zone-a")
        await asyncio.sleep(1.0)
        before = len(site.ledger.arrivals)
        for index in range(20 * GATEWAYS):
            await site.send("single", index % GATEWAYS)
        asked = [arrival.backend_id for arrival in site.ledger.arrivals[before:]]
        assert asked.count("single-new") > 0.1 * len(asked)

    run_site(scenario, node_count=GATEWAYS)


async def ask(site: EmulatedSite, rounds: int = 5) -> set[str]:
    """Send single requests to every gateway; return the back ends that received them."""
    before = len(site.ledger.arrivals)
    for index in range(rounds * len(site.nodes)):
        await site.send("single", index % len(site.nodes))
    return {arrival.backend_id for arrival in site.ledger.arrivals[before:]}


async def ask_through(site: EmulatedSite, restore: StoreRestore, after_s: float = 1.0) -> set[str]:
    """Send requests during the store's outage and restore; return the back ends called."""
    running = asyncio.create_task(restore_store(site, restore))
    asked: set[str] = set()
    while not running.done():
        asked |= await ask(site, 1)
    await asyncio.sleep(after_s)
    return asked | await ask(site)


def test_a_leaving_back_end_gets_no_requests_because_of_the_copy() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await asyncio.sleep(2.0)
        site.drain("single-0")
        await asyncio.sleep(0.5)
        # It stops without another write; its entry in the copy expires without heartbeats.
        restore = StoreRestore(age_s=1.0, backends_after_s=None)
        asked = await ask_through(site, restore)
        assert asked and "single-0" not in asked
        assert site.contract_violations() == []

    run_site(scenario, node_count=GATEWAYS)


def test_a_removed_back_end_stays_removed_although_the_copy_has_it() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await asyncio.sleep(2.0)
        site.backends.pop("single-0").stop()
        site.remove_entry("single-0")
        await asyncio.sleep(0.5)
        refused = site.loop.time()
        asked = await ask_through(site, StoreRestore(age_s=1.0))
        assert asked and "single-0" not in asked
        for node in site.nodes:
            assert node.gateway is not None
            known = node.gateway.knowledge.state.backends["servers/single-0"]
            assert known.leaving and known.since < refused

    run_site(scenario, node_count=GATEWAYS)


@pytest.mark.parametrize("after_s", [0.0, 5.0])
def test_a_back_end_that_the_copy_lacks_serves_until_it_is_written_again(after_s: float) -> None:
    async def scenario(site: EmulatedSite) -> None:
        await asyncio.sleep(2.0)
        for backend_id in ("single-0", "single-1", "single-2"):
            site.backends.pop(backend_id).stop()
            site.remove_entry(backend_id)
        await site.add_backend("single-new", "single", "zone-a")
        await asyncio.sleep(0.5)
        restore = StoreRestore(age_s=1.0, backends_after_s=after_s)
        running = asyncio.create_task(restore_store(site, restore))
        statuses = set()
        while not running.done():
            statuses.add((await site.send("single", site.random.randrange(GATEWAYS))).status)
        assert statuses == {200}
        assert await ask(site) == {"single-new"}

    run_site(scenario, node_count=GATEWAYS)


def test_values_that_are_not_written_again_end_with_the_stores_contents() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await asyncio.sleep(2.0)
        await site.add_backend("single-new", "single", "zone-a")
        site.evacuate("zone-b")
        await asyncio.sleep(0.5)
        restore = StoreRestore(age_s=1.0, operator_after_s=None, backends_after_s=None)
        await restore_store(site, restore)
        assert "single-1" not in await ask(site)
        await asyncio.sleep(REWRITE_PERIOD_S + 2.0)
        for node in site.nodes:
            assert node.gateway is not None
            state = node.gateway.knowledge.state
            assert state.backends["servers/single-new"].leaving
            assert state.evacuations.zones == frozenset()
            assert state.retained_keys == [] and state.retained_s == 0.0

    run_site(scenario, node_count=GATEWAYS)


def test_a_zone_stays_evacuated_while_the_copy_lacks_that() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await asyncio.sleep(2.0)
        site.evacuate("zone-b")
        await asyncio.sleep(0.5)
        asked = await ask_through(site, StoreRestore(age_s=1.0, operator_after_s=5.0))
        assert asked and "single-1" not in asked

    run_site(scenario, node_count=GATEWAYS)


def test_a_key_that_ended_is_not_accepted_again_on_the_word_of_the_copy() -> None:
    tenant = SiteTenant("first", ("key-old", "key-new"))

    async def scenario(site: EmulatedSite) -> None:
        await asyncio.sleep(2.0)
        site.set_tenants(SiteTenant("first", ("key-new",)))
        await asyncio.sleep(0.5)
        running = asyncio.create_task(restore_store(site, StoreRestore(1.0, operator_after_s=5.0)))
        statuses = set()
        while not running.done():
            node = site.random.randrange(GATEWAYS)
            statuses.add((await site.send("single", node, key="key-old")).status)
            await asyncio.sleep(0.05)
        assert statuses <= {401, 503}
        await asyncio.sleep(IN_FORCE_S)
        assert {(await site.send("single", node)).status for node in range(GATEWAYS)} == {200}

    run_site(scenario, node_count=GATEWAYS, tenants=(tenant,), revocation_s=5.0)


def test_all_back_ends_that_are_shown_again_are_not_cold_again() -> None:
    """Rewriting an entry that the store lost must not make a back end cold either.

    Otherwise a service could serve almost nothing.
    """

    async def scenario(site: EmulatedSite) -> None:
        await asyncio.sleep(2.0)
        spans = [site.mark_cold(backend_id, 1.5) for backend_id in sorted(site.backends)]
        await asyncio.sleep(2.0)
        await restore_store(site, StoreRestore(age_s=3.0))
        now = site.loop.time()
        assert all(span.until < now for span in spans)
        for node in site.nodes:
            assert node.gateway is not None
            cold = [
                one for one in node.gateway.backends.directory if one.observations.cold_until > now
            ]
            assert cold == []

    run_site(scenario, node_count=GATEWAYS, cold_calls_per_s=5.0)


def test_gateways_that_start_with_the_copy_learn_from_those_that_lived_through_it() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await lose_changes(site)
        lost_version = site.version
        restore = StoreRestore(age_s=2.5, operator_after_s=None)
        site.configure()
        await asyncio.sleep(0.5)
        running = asyncio.create_task(restore_store(site, restore))
        await asyncio.sleep(restore.outage_s)
        for node in site.nodes[:3]:
            site.kill_node(node)
            site.start_node(node)
        await running
        await asyncio.sleep(1.0)
        assert lost_version < site.version
        assert versions_in_force(site) == [site.version] * GATEWAYS

    run_site(scenario, node_count=GATEWAYS)


def test_two_drills_in_a_row_of_which_a_gateway_misses_one() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await lose_changes(site)
        missed = site.nodes[-1].store_port
        site.store.set_mode(StoreMode.SILENT, missed)
        site.configure()
        await restore_store(site, StoreRestore(age_s=1.0, outage_s=0.5))
        site.store.set_mode(StoreMode.SILENT, missed)
        site.drain("single-1")
        await restore_store(site, StoreRestore(age_s=1.0, outage_s=0.5))
        site.configure()
        site.drain("single-0")
        await asyncio.sleep(1.0)
        assert versions_in_force(site) == [site.version] * GATEWAYS
        assert await ask(site) == {"single-2"}

    run_site(scenario, node_count=GATEWAYS)


def test_a_gateway_that_was_cut_off_all_along_ends_at_the_same() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await asyncio.sleep(2.0)
        cut_off = site.nodes[-1]
        assert isinstance(site.loop, EmulatorLoop)
        site.store.set_mode(StoreMode.SILENT, cut_off.store_port)
        site.loop.drops_datagram = lambda source, target: cut_off.host in (source[0], target[0])
        await lose_changes(site)
        site.store.set_mode(StoreMode.SILENT, cut_off.store_port)
        site.configure()
        site.drain("single-0")
        await asyncio.sleep(10.0)
        assert versions_in_force(site)[:-1] == [site.version] * (GATEWAYS - 1)
        site.loop.drops_datagram = lambda source, target: False
        site.store.set_mode(StoreMode.SERVING)
        await asyncio.sleep(IN_FORCE_S)
        assert versions_in_force(site) == [site.version] * GATEWAYS
        assert "single-0" not in await ask(site)

    run_site(scenario, node_count=GATEWAYS)


def test_a_store_that_tells_no_epoch_is_still_followed() -> None:
    """Without epochs, only the operator's versions and complete reads handle a restore."""

    async def scenario(site: EmulatedSite) -> None:
        site.store.epoch = None
        await lose_changes(site)
        site.configure()
        await asyncio.sleep(IN_FORCE_S)
        assert versions_in_force(site) == [site.version] * GATEWAYS

    run_site(scenario, node_count=GATEWAYS)


def test_an_epoch_that_was_told_too_high_once_costs_nothing_that_is_known() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await asyncio.sleep(2.0)
        site.drain("single-0")
        site.store.epoch = 1_000_000
        site.configure()
        await asyncio.sleep(1.0)
        site.store.epoch = 0
        site.configure()
        await asyncio.sleep(IN_FORCE_S)
        assert versions_in_force(site) == [site.version] * GATEWAYS
        assert await ask(site) == {"single-1", "single-2"}
        site.drain("single-1")
        calls = site.store.calls
        await asyncio.sleep(IN_FORCE_S)
        assert await ask(site) == {"single-2"}
        assert site.store.calls - calls <= IN_FORCE_S * CALLS_PER_SECOND

    run_site(scenario, node_count=GATEWAYS)


def test_a_store_that_came_back_is_not_called_again_and_again() -> None:
    """The same order of events; counts the calls to the store until the next change.

    Guards against a loop of calls: a refused watch led to a complete read, and that at once to a
    watch from the highest revision ever known, which the store refused again. Half of all calls
    were refused, until a change reached that revision.
    """

    async def scenario(site: EmulatedSite) -> None:
        await lose_changes(site)
        calls = site.store.calls
        await asyncio.sleep(5.0)
        assert site.store.calls - calls <= 5.0 * CALLS_PER_SECOND

    run_site(scenario, node_count=GATEWAYS)
