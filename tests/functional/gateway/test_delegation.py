"""Shards without a replica in the gateway's zone are delegated to gateways in zones that have one.

Covers delegation without failures, and with gateways that die, pause or lack shards.
"""

from __future__ import annotations

import asyncio
from typing import Any

from tinrudder_lab.emulator.backend import Fault
from tinrudder_lab.emulator.records import ClientResult
from tinrudder_lab.emulator.site import EmulatedNode, EmulatedSite, run_site

SETTLED_S = 4.0
OBJECTIVE_S = 0.2
SHARDS = 18
WHOLE_BUDGET_S = 12.0


def run_spread(scenario: Any, **options: Any) -> Any:
    """Run with three zones, each of which lacks a third of the shards."""
    spread = {"zones": ("zone-a", "zone-b", "zone-c"), "spread": True, "shards": SHARDS}
    return run_site(scenario, **({"node_count": 6} | spread | options))


def in_time(results: list[ClientResult]) -> float:
    good = [
        one for one in results if one.status == 200 and one.ended_at - one.sent_at <= OBJECTIVE_S
    ]
    return len(good) / len(results)


def missing_parts(results: list[ClientResult]) -> set[str | None]:
    return {one.headers.get("tinrudder-missing-parts") for one in results}


def counted(site: EmulatedSite, counter: str) -> int:
    return sum(
        getattr(node.gateway.process.counters, counter)
        for node in site.nodes
        if node.gateway is not None
    )


async def send_from(site: EmulatedSite, nodes: list[EmulatedNode], rounds: int) -> Any:
    """Send scatters to ``nodes`` one after the other; return their results."""
    first = len(site.ledger.results)
    for _ in range(rounds):
        for node in nodes:
            await site.send("scatter", node.index)
    return site.ledger.results[first:]


def test_shards_without_a_local_replica_are_asked_beside_them() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await asyncio.sleep(SETTLED_S)
        results = await send_from(site, site.nodes, 10)
        assert in_time(results) == 1.0
        assert missing_parts(results) == {None}
        assert counted(site, "delegated") >= len(results) - len(site.nodes)
        assert counted(site, "delegations_run_here") == 0
        assert site.contract_violations() == []

    run_spread(scenario)


def test_no_shards_are_delegated_over_a_path_that_leaves_calls_no_time() -> None:
    """The path takes 180 of the 200 ms: delegated shards would be missing from the answer."""

    async def scenario(site: EmulatedSite) -> None:
        await asyncio.sleep(WHOLE_BUDGET_S)
        await site.traffic(2.0, 40.0, ("scatter",))
        entry = site.nodes[0]
        assert entry.gateway is not None
        path = entry.gateway.requests.handler._planner._delegation_context._other_zone_round_trip
        path.mean_s, path.deviation_s = 0.18, 0.0
        before = counted(site, "delegated")
        results = await send_from(site, [entry], 5)
        assert counted(site, "delegated") == before
        assert in_time(results) == 1.0
        assert missing_parts(results) == {None}
        assert site.contract_violations() == []

    run_spread(scenario)


def test_shards_missing_from_a_delegated_answer_are_called_again_if_needed() -> None:
    """Four of 18 shards may be missing.

    Here five are: four of the delegated group, which is cut at the objective, and one local shard.
    """

    async def scenario(site: EmulatedSite) -> None:
        await asyncio.sleep(WHOLE_BUDGET_S)
        await site.traffic(2.0, 20.0, ("scatter",))
        entry = site.nodes[0]
        remote = [number for number in range(SHARDS) if number % 3 == 1]
        for number in remote[:4]:
            for copy in range(2):
                site.backends[f"shard-{number}-{copy}"].pause(0.4)
        for copy in range(2):
            site.backends[f"shard-0-{copy}"].choose_fault = lambda: Fault.ERROR
        result = await site.send("scatter", entry.index)
        assert result.status == 200
        assert site.contract_violations() == []

    run_spread(scenario)


def test_a_gateway_that_dies_costs_only_what_it_was_at_work_on() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await asyncio.sleep(SETTLED_S)
        await site.traffic(2.0, 40.0, ("scatter",))
        site.kill_node(site.nodes[0])
        results = await send_from(site, site.nodes[1:], 8)
        assert in_time(results) >= 0.95
        assert site.contract_violations() == []

    run_spread(scenario)


def test_a_paused_gateway_is_skipped_within_the_objective() -> None:
    async def scenario(site: EmulatedSite) -> None:
        # In its first window a process may spend little of its part of the extra retry budget.
        await asyncio.sleep(WHOLE_BUDGET_S)
        await site.traffic(2.0, 40.0, ("scatter",))
        site.nodes[0].machine.pause()
        results = await send_from(site, site.nodes[1:], 8)
        assert in_time(results) >= 0.95
        site.nodes[0].machine.resume(site.loop)
        await site.traffic(2.0, 20.0, ("scatter",))
        assert site.contract_violations() == []

    run_spread(scenario, copies=3, zones=("zone-a", "zone-b", "zone-c", "zone-d"), node_count=8)


def test_the_last_gateway_serves_the_shards_of_all_zones() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await asyncio.sleep(SETTLED_S)
        for node in site.nodes[1:]:
            site.kill_node(node)
        await asyncio.sleep(1.0)
        results = await send_from(site, site.nodes[:1], 10)
        assert {one.status for one in results[-8:]} == {200}
        assert site.contract_violations() == []

    run_spread(scenario, node_count=3)


def test_a_part_that_misses_a_shard_says_so() -> None:
    async def scenario(site: EmulatedSite) -> None:
        await asyncio.sleep(SETTLED_S)
        await send_from(site, site.nodes, 2)
        for name, backend in site.backends.items():
            if name.startswith("shard-0-"):
                backend.choose_fault = lambda: Fault.LOST
        results = await send_from(site, site.nodes, 3)
        assert {one.status for one in results} == {200}
        assert missing_parts(results) == {"1"}
        assert site.contract_violations() == []

    run_spread(scenario)
