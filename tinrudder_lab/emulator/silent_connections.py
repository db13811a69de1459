"""Silences open connections of an emulated site: bytes are dropped without a reset.

Connections that are opened later work.  Also measures how soon a configuration is in force.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tinrudder_lab.emulator.loop import AddressPair, EmulatorLoop
from tinrudder_lab.emulator.site import PEER_PORT, EmulatedSite

POLL_INTERVAL_S = 0.01
TIMEOUT_S = 30.0


def silence_store(site: EmulatedSite) -> None:
    """Silence the connections between gateways and the store."""
    _silence(site, lambda one, other: site.store.host in (one[0], other[0]))


def silence_peers(site: EmulatedSite) -> None:
    """Silence the connections between gateways."""
    _silence(site, lambda one, other: PEER_PORT in (one[1], other[1]))


def silence_all(site: EmulatedSite) -> None:
    """Silence every connection."""
    _silence(site, lambda one, other: True)


def outdated_gateways(site: EmulatedSite) -> list[str]:
    """Return the names of running gateways that do not have the newest configuration."""
    return [
        node.name
        for node in site.nodes
        if node.gateway is not None
        and not node.machine.crashed
        and node.gateway.knowledge.state.configuration_version != site.version
    ]


async def seconds_until_in_force(site: EmulatedSite) -> float:
    """Return the seconds until all gateways have the newest configuration, up to ``TIMEOUT_S``."""
    began = site.loop.time()
    while outdated_gateways(site) and site.loop.time() - began < TIMEOUT_S:
        await asyncio.sleep(POLL_INTERVAL_S)
    return site.loop.time() - began


def _silence(site: EmulatedSite, is_selected: Callable[[AddressPair, AddressPair], bool]) -> None:
    assert isinstance(site.loop, EmulatorLoop)
    site.loop.silence_connections(is_selected)
