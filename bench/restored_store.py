"""Propagation time of a change when the store is restored from an older backup.

    python -m bench.restored_store [GATEWAYS ...]

Runs emulated gateways in virtual time.  The store loses four changes of each kind, and the operator
and the back ends write the newest values again.  Prints one line per case.  A change confirmed
after the store's return: the time until it is in force on every gateway, the gateways that still
have an older version then, and the store's calls in the 10 s after its return.  A change confirmed
before the store goes away, and lost: the time until the newest version is in force on every gateway
after it was written again, and the lowest version in force in between.
"""

from __future__ import annotations

import asyncio
import logging
import sys
from functools import partial

from tinrudder_lab.emulator.site import EmulatedSite, run_site
from tinrudder_lab.emulator.store_restore import StoreRestore, restore_store

SIZES = (7, 28, 74)
AFTER_S = (0.0, 0.5, 2.0, 5.0)
BEFORE_S = (0.5, 3.0)
LOOK_S = 0.01
PATIENCE_S = 15.0
CALLS_SPAN_S = 10.0
LOST_CHANGES = 4
COPY_AGE_S = 1.8
OPERATOR_AFTER_S = 3.0


def versions(site: EmulatedSite) -> list[int]:
    """Return the configuration version in force on each gateway."""
    accepted = [node.gateway.knowledge.state.accepted for node in site.nodes if node.gateway]
    return [0 if one is None else one.configuration.version for one in accepted]


async def in_force_s(site: EmulatedSite) -> float:
    """Return the seconds until the newest version is in force on every gateway."""
    began = site.loop.time()
    while min(versions(site)) < site.version and site.loop.time() - began < PATIENCE_S:
        await asyncio.sleep(LOOK_S)
    return site.loop.time() - began


async def change_often(site: EmulatedSite) -> None:
    """Write the changes that the store loses in the restore."""
    await asyncio.sleep(2.0)
    for _ in range(LOST_CHANGES):
        await asyncio.sleep(0.4)
        site.configure()
        site.turn_cold("single-0", 0.5)
        site.evacuate("zone-a")
        site.take_back("zone-a")


async def changed_after(site: EmulatedSite, after_s: float) -> str:
    """Measure a configuration change ``after_s`` seconds after the store's return."""
    await change_often(site)
    drill = StoreRestore(COPY_AGE_S)
    running = asyncio.create_task(restore_store(site, drill))
    await asyncio.sleep(drill.away_s)
    calls = site.store.calls
    await asyncio.sleep(after_s)
    site.configure()
    took_s = await in_force_s(site)
    behind = sum(1 for version in versions(site) if version < site.version)
    await asyncio.sleep(max(0.0, CALLS_SPAN_S - after_s - took_s))
    await running
    return f"{took_s:6.2f} s, {behind} behind, {site.store.calls - calls} calls"


async def changed_before(site: EmulatedSite, before_s: float) -> str:
    """Measure a lost configuration change, ``before_s`` seconds before the store goes away."""
    await change_often(site)
    site.configure()
    await asyncio.sleep(before_s)
    drill = StoreRestore(COPY_AGE_S + before_s, operator_after_s=OPERATOR_AFTER_S)
    running = asyncio.create_task(restore_store(site, drill))
    lowest = site.version
    while not running.done():
        await asyncio.sleep(LOOK_S)
        lowest = min(lowest, *versions(site))
    took_s = await in_force_s(site)
    return f"{took_s:6.2f} s after all was written again, lowest {lowest} of {site.version}"


def main() -> None:
    """Print one line per case."""
    logging.disable(logging.CRITICAL)
    for gateways in [int(word) for word in sys.argv[1:]] or SIZES:
        for after_s in AFTER_S:
            told = run_site(partial(changed_after, after_s=after_s), node_count=gateways)
            print(f"{gateways:3} gateways, {after_s:3.1f} s after the return: {told}", flush=True)
        for before_s in BEFORE_S:
            told = run_site(partial(changed_before, before_s=before_s), node_count=gateways)
            print(f"{gateways:3} gateways, {before_s:3.1f} s before the loss: {told}", flush=True)


if __name__ == "__main__":
    main()
