"""Helpers for sites with more gateways than the back ends' connection limits allow to call them."""

from __future__ import annotations

from typing import Any

from tinrudder_lab.emulator.site import EmulatedNode, EmulatedSite, run_site

GATEWAY_COUNT = 20
CONNECTIONS = 26
SETTLED_S = 4.0
OBJECTIVE_S = 0.2


def run_with_many_gateways(scenario: Any, **options: Any) -> Any:
    """Run a scenario with too many gateways for all of them to call the back ends."""
    return run_site(scenario, node_count=GATEWAY_COUNT, **options)


def counters_by_node(site: EmulatedSite, counter: str) -> dict[str, int]:
    return {
        node.name: getattr(node.gateway.process.counters, counter)
        for node in site.nodes
        if node.gateway is not None and getattr(node.gateway.process.counters, counter)
    }


def busiest_coordinator(site: EmulatedSite) -> EmulatedNode:
    served = counters_by_node(site, "coordinated")
    name = max(served, key=served.__getitem__)
    return next(node for node in site.nodes if node.name == name)


def share_in_time(site: EmulatedSite, first: int = 0) -> float:
    results = site.ledger.results[first:]
    good = [
        one for one in results if one.status == 200 and one.ended_at - one.sent_at <= OBJECTIVE_S
    ]
    return len(good) / len(results)
