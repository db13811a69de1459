"""The store is back from an older copy: what is confirmed afterwards is in force in time.

What users saw: a change of a route was confirmed, and more than four seconds later two machines
still sent requests of that route where the version before had sent them.  Three changes in a row
came into force nowhere; the fourth did, everywhere at once.

The order of events: the store answered nobody for 2.7 s and was back.  From then on every machine
called it over a hundred times a second.  The operator changed a route, another one and weights,
each confirmed; no machine logged any of them.  The calls ended with the third change.

The cause: the store was back from an older copy, and gave out again the revisions that the copy had
not reached.  Of every key the highest revision ever heard was kept, so whatever was written now was
taken for old until the store's counter had passed that.

The evidence: the fourth change came into force with the revision that follows the highest known
before, although three changes were confirmed in between; and each machine read everything, new
values included, a hundred times a second meanwhile.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from tinrudder.gateway.store.epoch_rules import WRITTEN_AGAIN_S
from tinrudder_lab.emulator.loop import EmulatorLoop
from tinrudder_lab.emulator.site import EmulatedSite, SiteTenant, run_site
from tinrudder_lab.emulator.store import StoreMode
from tinrudder_lab.emulator.store_restore import StoreRestore, restore_store

IN_FORCE_S = 3.0
"""Within this time of its confirmation a change must be in force everywhere."""
LOST_CHANGES = 4
GATEWAYS = 7
CALLS_PER_SECOND = 100
"""What a store that lost its history may be asked by all gateways together: a twentieth of the
2,000 reading calls a second that the smallest deployment allows."""


def versions_in_force(site: EmulatedSite) -> list[int]:
    """Return the operator's version that each gateway has put in force."""
    accepted = [node.gateway.knowledge.state.accepted for node in site.nodes if node.gateway]
    return [one.configuration.version for one in accepted if one is not None]


async def lose_changes(site: EmulatedSite) -> None:
    """Let the store lose changes of each kind: whoever made them writes the newest again."""
    await asyncio.sleep(2.0)
    for _ in range(LOST_CHANGES):
        await asyncio.sleep(0.5)
        site.configure()
        site.turn_cold("single-0", 0.5)
        site.evacuate("zone-a")
        site.take_back("zone-a")
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
def test_what_takes_calls_away_after_the_store_came_back_is_obeyed(
    change: Callable[[EmulatedSite], None],
) -> None:
    """The same order of events; the change after the return is no configuration."""

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
    """Send single requests to every gateway; return the back ends that got them."""
    before = len(site.ledger.arrivals)
    for index in range(rounds * len(site.nodes)):
        await site.send("single", index % len(site.nodes))
    return {arrival.backend_id for arrival in site.ledger.arrivals[before:]}


async def ask_through(site: EmulatedSite, drill: StoreRestore, after_s: float = 1.0) -> set[str]:
    """Ask all the time while the store is away and back; return the back ends that got calls."""
    running = asyncio.create_task(restore_store(site, drill))
    asked: set[str] = set()
    while not running.done():
        asked |= await ask(site, 1)
    await asyncio.sleep(after_s)
    return asked | await ask(site)


def test_who_said_that_it_leaves_gets_nothing_on_the_word_of_the_copy() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await asyncio.sleep(2.0)
        site.drain("single-0")
        await asyncio.sleep(0.5)
        # It ends without writing again, and its entry in the copy goes with its heartbeats.
        drill = StoreRestore(age_s=1.0, backends_after_s=None)
        asked = await ask_through(site, drill)
        assert asked and "single-0" not in asked
        assert site.broken_promises() == []

    run_site(scenario, node_count=GATEWAYS)


def test_who_is_gone_stays_gone_until_the_copy_forgets_it() -> None:
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
        drill = StoreRestore(age_s=1.0, backends_after_s=after_s)
        running = asyncio.create_task(restore_store(site, drill))
        statuses = set()
        while not running.done():
            statuses.add((await site.send("single", site.random.randrange(GATEWAYS))).status)
        assert statuses == {200}
        assert await ask(site) == {"single-new"}

    run_site(scenario, node_count=GATEWAYS)


def test_what_nobody_writes_again_ends_by_the_stores_word() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await asyncio.sleep(2.0)
        await site.add_backend("single-new", "single", "zone-a")
        site.evacuate("zone-b")
        await asyncio.sleep(0.5)
        drill = StoreRestore(age_s=1.0, operator_after_s=None, backends_after_s=None)
        await restore_store(site, drill)
        assert "single-1" not in await ask(site)
        await asyncio.sleep(WRITTEN_AGAIN_S + 2.0)
        for node in site.nodes:
            assert node.gateway is not None
            state = node.gateway.knowledge.state
            assert state.backends["servers/single-new"].leaving
            assert state.evacuations.zones == frozenset()
            assert state.kept == [] and state.kept_s == 0.0

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
    """Nor is who only writes again what the store lost: a service would bear almost nothing."""

    async def scenario(site: EmulatedSite) -> None:
        await asyncio.sleep(2.0)
        spans = [site.turn_cold(backend_id, 1.5) for backend_id in sorted(site.backends)]
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
        drill = StoreRestore(age_s=2.5, operator_after_s=None)
        site.configure()
        await asyncio.sleep(0.5)
        running = asyncio.create_task(restore_store(site, drill))
        await asyncio.sleep(drill.away_s)
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
        await restore_store(site, StoreRestore(age_s=1.0, away_s=0.5))
        site.store.set_mode(StoreMode.SILENT, missed)
        site.drain("single-1")
        await restore_store(site, StoreRestore(age_s=1.0, away_s=0.5))
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
        site.loop.datagram_lost = lambda source, target: cut_off.host in (source[0], target[0])
        await lose_changes(site)
        site.store.set_mode(StoreMode.SILENT, cut_off.store_port)
        site.configure()
        site.drain("single-0")
        await asyncio.sleep(10.0)
        assert versions_in_force(site)[:-1] == [site.version] * (GATEWAYS - 1)
        site.loop.datagram_lost = lambda source, target: False
        site.store.set_mode(StoreMode.SERVING)
        await asyncio.sleep(IN_FORCE_S)
        assert versions_in_force(site) == [site.version] * GATEWAYS
        assert "single-0" not in await ask(site)

    run_site(scenario, node_count=GATEWAYS)


def test_a_store_that_tells_no_epoch_is_still_followed() -> None:
    """It must lose nothing then; should it, the operator's versions and whole reads are left."""

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
    """The same order of events; what the store saw from its return until the next change.

    The cause: a refused watch led to a read of everything, and that at once to a watch from the
    highest revision ever known, which the store refused again.  The evidence: of the calls that the
    store counted, half were refused, and they ended with the change that reached that revision.
    """

    async def scenario(site: EmulatedSite) -> None:
        await lose_changes(site)
        calls = site.store.calls
        await asyncio.sleep(5.0)
        assert site.store.calls - calls <= 5.0 * CALLS_PER_SECOND

    run_site(scenario, node_count=GATEWAYS)
