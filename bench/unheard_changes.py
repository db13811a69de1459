"""Seconds until a confirmed change is in force on the last gateway, for each way to miss it.

    python -m bench.unheard_changes [GATEWAYS ...]

Runs emulated sites in virtual time.  The change is confirmed 0.1 s after the trouble began, and all
watches began 1.1 s before it: none is about to end by itself.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable

from tinrudder_lab.emulator.silent_connections import (
    in_force_after,
    silence_all,
    silence_peers,
    silence_store,
)
from tinrudder_lab.emulator.site import EmulatedSite, run_site
from tinrudder_lab.emulator.store import StoreMode

Trouble = Callable[[EmulatedSite], None]
SETTLED_S = 6.0
FLEETS = (7, 28, 60)
ZONES = ("zone-a", "zone-b", "zone-c")
AWAY_S = 3.0
CALM_S = 60.0


def nothing(site: EmulatedSite) -> None:
    """Let the path be whole."""


def silent_to_followers(site: EmulatedSite) -> None:
    """Let the store answer those no more that have a watch open."""
    site.store.set_mode(StoreMode.SILENT, *site.store.watching_ports())


def refuses_followers(site: EmulatedSite) -> None:
    """Let the store refuse those that have a watch open, and cut their connections."""
    site.store.set_mode(StoreMode.RESETTING, *site.store.watching_ports())


def deaf_watches(site: EmulatedSite) -> None:
    """Let all watches of those that have one open tell nothing more."""
    site.store.set_mode(StoreMode.DEAF, *site.store.watching_ports())


def forgets_behind_silence(site: EmulatedSite) -> None:
    """Let connections fall silent, and the store forget its history behind them."""
    silence_store(site)
    site.store.forget_history()


def first_reader_dies(site: EmulatedSite) -> None:
    """Let connections fall silent, and kill the gateway whose turn it is to find out."""
    silence_store(site)
    for node in site.nodes:
        if node.gateway is not None and node.gateway.store.readers.rank() == 0:
            site.kill_node(node)


def away(site: EmulatedSite) -> None:
    """Let the store be silent to all for a while, new connections too."""
    site.store.set_mode(StoreMode.SILENT)
    site.loop.call_later(AWAY_S, site.store.set_mode, StoreMode.SERVING)


def slow(site: EmulatedSite) -> None:
    """Let the store be sixty times slower, behind silent connections."""
    silence_store(site)
    site.store.set_mode(StoreMode.SLOW)


TROUBLES: tuple[Trouble, ...] = (
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


def seconds_in_force(trouble: Trouble, gateways: int) -> float:
    """Return the seconds until a change is in force on the last gateway."""

    async def scenario(site: EmulatedSite) -> float:
        await asyncio.sleep(SETTLED_S)
        site.configure()
        await asyncio.sleep(1.0)
        trouble(site)
        await asyncio.sleep(0.1)
        site.configure()
        return await in_force_after(site)

    return run_site(scenario, node_count=gateways, zones=ZONES)


def calm_calls_per_second(gateways: int) -> float:
    """Return what all gateways together ask of a store without news."""

    async def scenario(site: EmulatedSite) -> float:
        await asyncio.sleep(15.0)
        before = site.store.calls
        await asyncio.sleep(CALM_S)
        return (site.store.calls - before) / CALM_S

    return run_site(scenario, node_count=gateways, zones=ZONES)


def main() -> None:
    """Print the table."""
    fleets = [int(one) for one in sys.argv[1:]] or list(FLEETS)
    print("| | " + " | ".join(f"{one} gateways" for one in fleets) + " |")
    print("|---|" + "---|" * len(fleets))
    for trouble in TROUBLES:
        name = trouble.__name__.replace("_", " ")
        cells = (f"{seconds_in_force(trouble, one):.2f}" for one in fleets)
        print(f"| {name} | " + " | ".join(cells) + " |", flush=True)
    cells = (f"{calm_calls_per_second(one):.2f}" for one in fleets)
    print("| calls of a calm store a second | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
