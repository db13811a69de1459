"""The text of a gateway's metrics, and which modules are not imported before the first scrape."""

from __future__ import annotations

import subprocess
import sys

from tinrudder.gateway.model.outcomes import TimedOut
from tinrudder.gateway.observability.gateway_metrics import GatewayMetrics
from tinrudder.gateway.observability.request_log import FinishedRequest
from tinrudder.gateway.peers.peer_messages import MissingShard
from tinrudder_lab.emulator.site import EmulatedSite, SiteTenant, run_site

NOT_LOADED_AT_START = (
    "prometheus_client",
    "http.server",
    "tinrudder.node.metrics",
    "tinrudder.node.outcomes",
)
"""Modules that serving requests does not need; importing them would slow down the start."""


def text_of(metrics: GatewayMetrics) -> str:
    # Imported here, as at the first scrape.
    from tinrudder.gateway.observability.metrics_text import metrics_text

    return metrics_text(metrics).decode()


def test_finished_requests_are_counted_by_priority_outcome_and_latency() -> None:
    async def scenario(site: EmulatedSite) -> str:
        gateway = site.nodes[0].gateway
        assert gateway is not None
        await site.send("scatter")
        missing = (MissingShard("shard-0", "late"), MissingShard("shard-1", "late"))
        timed_out = FinishedRequest(b"1", None, b"/", 1, TimedOut("late"), 0.25, missing)
        gateway.requests.request_metrics.observe(timed_out)
        return text_of(gateway.metrics)

    lines = run_site(scenario).splitlines()
    name = "tinrudder_gateway_request_seconds"
    assert f'{name}_count{{outcome="Merged",priority="1"}} 1.0' in lines
    assert f'{name}_bucket{{le="0.2",outcome="TimedOut",priority="none"}} 0.0' in lines
    assert f'{name}_bucket{{le="0.3",outcome="TimedOut",priority="none"}} 1.0' in lines
    assert f'{name}_bucket{{le="+Inf",outcome="TimedOut",priority="none"}} 1.0' in lines
    assert f'{name}_sum{{outcome="TimedOut",priority="none"}} 0.25' in lines
    assert "tinrudder_gateway_missing_shards_total 2.0" in lines
    assert "tinrudder_gateway_requests_total 1.0" in lines
    assert "tinrudder_gateway_backends 19.0" in lines
    assert "tinrudder_gateway_held_clients_bytes 0.0" in lines
    assert "tinrudder_gateway_clients_ended_unread_total 0.0" in lines


def test_quotas_staleness_and_reachability_are_shown() -> None:
    async def scenario(site: EmulatedSite) -> str:
        gateway = site.nodes[0].gateway
        assert gateway is not None
        for _ in range(40):
            await site.send("single")
        return text_of(gateway.metrics)

    tenant = SiteTenant("narrow", ("key",), 1.0, 1.0)
    text = run_site(scenario, tenants=(tenant,), revocation_s=5.0, node_count=1)
    figures = dict(line.rsplit(" ", 1) for line in text.splitlines() if line[0] != "#")
    prefix = "tinrudder_gateway"
    decided = f'{prefix}_tenant_requests_total{{decision="%s",tenant="narrow"}}'
    assert float(figures[decided % "admitted"]) >= 3.0
    assert float(figures[decided % "over_quota"]) >= 20.0
    assert float(figures[f'{prefix}_tenant_tokens{{tenant="narrow"}}']) < 2.0
    assert 0.0 <= float(figures[f"{prefix}_knowledge_age_seconds"]) < 2.5
    for topic in ("operator", "backends"):
        assert 0.0 <= float(figures[f"{prefix}_{topic}_unconfirmed_seconds"]) < 5.0
    assert figures[f"{prefix}_zones_out_of_reach"] == "0.0"
    assert figures[f"{prefix}_ready"] == "1.0"


def test_a_start_loads_nothing_that_only_a_scrape_needs() -> None:
    program = "import sys, tinrudder.cli.gateway_process; print(*sys.modules)"
    loaded = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, check=True, text=True
    ).stdout.split()
    assert [name for name in NOT_LOADED_AT_START if name in loaded] == []
