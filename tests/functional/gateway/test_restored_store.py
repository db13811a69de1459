"""The store is back from an older copy: what is confirmed afterwards is in force in time.

What users saw: a change of a route was confirmed, and more than four seconds later two machines
still sent requests of that route where the version before had sent them.  Three changes in a row
came into force nowhere; the fourth did, everywhere at once.

The order of events: the store answered nobody for 2.7 s and was back.  From then on every machine
called it over a hundred times a second.  The operator changed a route, another one and weights,
each confirmed; no machine logged any of them.  The calls ended with the third change.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from tinrudder_lab.emulator.site import EmulatedSite, run_site
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
