"""Seconds until a confirmed change is in force on every gateway, by fault that delays it.

    python -m bench.unheard_changes [GATEWAYS ...]

Runs emulated sites in virtual time.  The change is confirmed 0.1 s after the fault begins.  All
watches begin 1.1 s before the change, so that none is about to end by itself.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable

from tinrudder_lab.emulator.silent_connections import (
    seconds_until_in_force,
    silence_all,
    silence_peers,
    silence_store,
)
from tinrudder_lab.emulator.site import EmulatedSite, run_site
from tinrudder_lab.emulator.store import StoreMode

Fault = Callable[[EmulatedSite], None]
SETTLE_S = 6.0
GATEWAY_COUNTS = (7, 28, 60)
ZONES = ("zone-a", "zone-b", "zone-c")
UNAVAILABLE_S = 3.0
IDLE_S = 60.0
"""Seconds for which the calls to an unchanged store are counted."""


def nothing(site: EmulatedSite) -> None:
    """Cause no fault."""


def silent_to_followers(site: EmulatedSite) -> None:
    """Let the store stop answering the machines that have an open watch."""
    site.store.set_mode(StoreMode.SILENT, *site.store.watching_ports())


def refuses_followers(site: EmulatedSite) -> None:
    """Let the store reset the connections of the machines that have an open watch."""
    site.store.set_mode(StoreMode.RESETTING, *site.store.watching_ports())


def deaf_watches(site: EmulatedSite) -> None:
    """Let the store send no events to the machines that have an open watch."""
    site.store.set_mode(StoreMode.DEAF, *site.store.watching_ports())


def forgets_behind_silence(site: EmulatedSite) -> None:
    """Silence the store's connections, and drop the store's history."""
    silence_store(site)
    site.store.compact_history()


def first_reader_dies(site: EmulatedSite) -> None:
    """Silence the store's connections, and kill the gateway that is the first reader."""
    silence_store(site)
    for node in site.nodes:
        if node.gateway is not None and node.gateway.store.readers.rank() == 0:
            site.kill_node(node)


def away(site: EmulatedSite) -> None:
    """Let the store answer nobody for ``UNAVAILABLE_S`` seconds, also on new connections."""
    site.store.set_mode(StoreMode.SILENT)
    site.loop.call_later(UNAVAILABLE_S, site.store.set_mode, StoreMode.SERVING)


def slow(site: EmulatedSite) -> None:
    """Silence the store's connections, and make the store sixty times slower."""
    silence_store(site)
    site.store.set_mode(StoreMode.SLOW)


FAULTS: tuple[Fault, ...] = (
    nothing,
    silence_store,
    silence_peers,
    silence_all,
    forgets_behind_silence,
    first_reader_dies,
    slow,
    silent_to_followers,
    refuses_followers,
    deaf_watches,
    away,
)


def seconds_in_force(fault: Fault, gateways: int) -> float:
    """Return the seconds until a change is in force on every gateway."""

    async def scenario(site: EmulatedSite) -> float:
        await asyncio.sleep(SETTLE_S)
        site.configure()
        await asyncio.sleep(1.0)
        fault(site)
        await asyncio.sleep(0.1)
        site.configure()
        return await seconds_until_in_force(site)

    return run_site(scenario, node_count=gateways, zones=ZONES)


def idle_calls_per_second(gateways: int) -> float:
    """Return the calls per second of all gateways to a store without changes."""

    async def scenario(site: EmulatedSite) -> float:
        await asyncio.sleep(15.0)
        before = site.store.calls
        await asyncio.sleep(IDLE_S)
        return (site.store.calls - before) / IDLE_S

    return run_site(scenario, node_count=gateways, zones=ZONES)


def main() -> None:
    """Print the table."""
    gateway_counts = [int(one) for one in sys.argv[1:]] or list(GATEWAY_COUNTS)
    print("| | " + " | ".join(f"{one} gateways" for one in gateway_counts) + " |")
    print("|---|" + "---|" * len(gateway_counts))
    for fault in FAULTS:
        name = fault.__name__.replace("_", " ")
        cells = (f"{seconds_in_force(fault, one):.2f}" for one in gateway_counts)
        print(f"| {name} | " + " | ".join(cells) + " |", flush=True)
    cells = (f"{idle_calls_per_second(one):.2f}" for one in gateway_counts)
    print("| calls of a calm store a second | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
