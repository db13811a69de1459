"""Gateways of a zone warn each other of back ends that fail."""

from __future__ import annotations

import asyncio
from typing import Any

from tinrudder.gateway.backend_directory import Backend
from tinrudder.gateway.node import GatewayNode
from tinrudder_lab.emulator.site import EmulatedNode, EmulatedSite, run_site

SILENT = "shard-0-0"
HERE, NEIGHBOUR, ELSEWHERE = 0, 2, 1


def run_two_zones(scenario: Any) -> Any:
    """Gateways 0 and 2 stand in one zone, 1 and 3 in the other."""
    return run_site(scenario, node_count=4, copies=3)


def gateway_of(node: EmulatedNode) -> GatewayNode:
    assert node.gateway is not None
    return node.gateway


def backend_of(site: EmulatedSite, node: int) -> Backend:
    backend = gateway_of(site.nodes[node]).directory.by_id(SILENT)
    assert backend is not None
    return backend


async def find_out(site: EmulatedSite) -> None:
    """Let one gateway find that a back end is silent."""
    site.backends[SILENT].pause(60.0)
    for _ in range(6):
        await site.send("scatter", HERE)
    await asyncio.sleep(0.6)


def test_neighbours_doubt_a_back_end_that_one_of_them_found_silent() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await find_out(site)
        assert backend_of(site, HERE).observations.failures
        assert backend_of(site, NEIGHBOUR).observations.failures
        assert not backend_of(site, ELSEWHERE).observations.failures
        assert gateway_of(site.nodes[NEIGHBOUR]).warnings.taken == 1
        sent = len(site.ledger.arrivals)
        result = await site.send("scatter", NEIGHBOUR)
        assert result.status == 200
        asked = {one.backend_id for one in site.ledger.arrivals[sent:]}
        assert SILENT not in asked
        assert site.broken_promises() == []

    run_two_zones(scenario)


def test_an_answer_of_late_goes_before_a_warning() -> None:
    async def scenario(site: EmulatedSite) -> None:
        neighbour = backend_of(site, NEIGHBOUR).observations
        now = site.loop.time()
        neighbour.answered(neighbour.begin(now, 0.02), now)
        assert not neighbour.warned(now + 0.1)
        assert neighbour.warned(now + 1.0)
        assert not neighbour.warned(now + 1.1)

    run_two_zones(scenario)


def test_a_back_end_is_named_once_a_second_and_unknown_ones_harm_nothing() -> None:
    async def scenario(site: EmulatedSite) -> None:
        warnings = gateway_of(site.nodes[HERE]).warnings
        for _ in range(50):
            warnings.note(SILENT)
            warnings.note("nobody-knows-it")
        await asyncio.sleep(0.1)
        assert gateway_of(site.nodes[NEIGHBOUR]).warnings.taken == 1
        assert gateway_of(site.nodes[ELSEWHERE]).warnings.taken == 0

    run_two_zones(scenario)
