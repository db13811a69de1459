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

GATEWAY_COUNTS = (7, 28, 74)
DELAYS_AFTER_RETURN_S = (0.0, 0.5, 2.0, 5.0)
DELAYS_BEFORE_LOSS_S = (0.5, 3.0)
CHECK_INTERVAL_S = 0.01
TIME_LIMIT_S = 15.0
CALL_COUNT_PERIOD_S = 10.0
LOST_CHANGES = 4
BACKUP_AGE_S = 1.8
"""Age in seconds of the backup from which the store is restored."""
OPERATOR_AFTER_S = 3.0
"""Seconds after the store's return until the operator has written the lost values again."""


def versions(site: EmulatedSite) -> list[int]:
    """Return the configuration version in force on each gateway."""
    accepted = [node.gateway.knowledge.state.accepted for node in site.nodes if node.gateway]
    return [0 if one is None else one.configuration.version for one in accepted]


async def in_force_s(site: EmulatedSite) -> float:
    """Return the seconds until the newest version is in force on every gateway."""
    began = site.loop.time()
    while min(versions(site)) < site.version and site.loop.time() - began < TIME_LIMIT_S:
        await asyncio.sleep(CHECK_INTERVAL_S)
    return site.loop.time() - began


async def write_lost_changes(site: EmulatedSite) -> None:
    """Write the changes that the store loses in the restore."""
    await asyncio.sleep(2.0)
    for _ in range(LOST_CHANGES):
        await asyncio.sleep(0.4)
        site.configure()
        site.mark_cold("single-0", 0.5)
        site.evacuate("zone-a")
        site.end_evacuation("zone-a")


async def change_after_return(site: EmulatedSite, after_s: float) -> str:
    """Measure a configuration change ``after_s`` seconds after the store's return."""
    await write_lost_changes(site)
    restore = StoreRestore(BACKUP_AGE_S)
    running = asyncio.create_task(restore_store(site, restore))
    await asyncio.sleep(restore.outage_s)
    calls = site.store.calls
    await asyncio.sleep(after_s)
    site.configure()
    took_s = await in_force_s(site)
    behind = sum(1 for version in versions(site) if version < site.version)
    await asyncio.sleep(max(0.0, CALL_COUNT_PERIOD_S - after_s - took_s))
    await running
    return f"{took_s:6.2f} s, {behind} behind, {site.store.calls - calls} calls"


async def change_before_loss(site: EmulatedSite, before_s: float) -> str:
    """Measure a lost configuration change, ``before_s`` seconds before the store goes away."""
    await write_lost_changes(site)
    site.configure()
    await asyncio.sleep(before_s)
    restore = StoreRestore(BACKUP_AGE_S + before_s, operator_after_s=OPERATOR_AFTER_S)
    running = asyncio.create_task(restore_store(site, restore))
    lowest = site.version
    while not running.done():
        await asyncio.sleep(CHECK_INTERVAL_S)
        lowest = min(lowest, *versions(site))
    took_s = await in_force_s(site)
    return f"{took_s:6.2f} s after all was written again, lowest {lowest} of {site.version}"


def main() -> None:
    """Print one line per case."""
    logging.disable(logging.CRITICAL)
    for gateways in [int(word) for word in sys.argv[1:]] or GATEWAY_COUNTS:
        for after_s in DELAYS_AFTER_RETURN_S:
            result = run_site(partial(change_after_return, after_s=after_s), node_count=gateways)
            print(f"{gateways:3} gateways, {after_s:3.1f} s after the return: {result}", flush=True)
        for before_s in DELAYS_BEFORE_LOSS_S:
            result = run_site(partial(change_before_loss, before_s=before_s), node_count=gateways)
            print(f"{gateways:3} gateways, {before_s:3.1f} s before the loss: {result}", flush=True)


if __name__ == "__main__":
    main()
