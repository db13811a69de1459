"""All machines lose power, the seeds come back last: who owns a tenant's token bucket meanwhile?"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from stage import (
    Backend,
    Gateway,
    Stage,
    Traffic,
    answer_after,
    configuration,
    most_within,
    route,
    run_case,
)

FOLDER = Path(__file__).resolve().parent
MACHINES = 8
SEEDS = 3
RATE_PER_S = 40
BURST = 20
WINDOW_S = 5
EXCESS = 0.25
SLACK = 20
ALLOWED = (RATE_PER_S * WINDOW_S + BURST) * (1 + EXCESS) + SLACK
ASKED = 7.5  # what the tenant sends, in multiples of its rate
BACK_AFTER_S = 0.3
SEEDS_BACK_AFTER_S = 3.5
CALM_S = 4.0
AFTER_S = 6.0
KEY = "k5yw2rq8"
TENANT = {
    "name": "tenant-1",
    "api_keys": [KEY],
    "priority": 1,
    "rate_per_s": RATE_PER_S,
    "burst": BURST,
}
BOUNDS = {
    "strict_revoke": True,
    "revoke_ms": 5000,
    "quota_window_s": WINDOW_S,
    "quota_excess": EXCESS,
    "quota_slack": SLACK,
}


async def lose_power(gateways: list[Gateway]) -> None:
    """End all processes at once; those of the seeds start again some seconds after the others."""
    for gateway in gateways:
        gateway.send(signal.SIGKILL)
    await asyncio.sleep(BACK_AFTER_S)
    for gateway in gateways[SEEDS:]:
        gateway.start()
    await asyncio.sleep(SEEDS_BACK_AFTER_S - BACK_AFTER_S)
    for gateway in gateways[:SEEDS]:
        gateway.start()


async def play(stage: Stage) -> bool:
    """Return whether the tenant's limit was kept."""
    zones = ["zone-a", "zone-b"]
    for number in range(4):
        work = answer_after(0.005)
        await stage.add_backend(Backend(f"i-{number}", "desk", work, zones[number % 2], slots=8))
    routes = [route("r-desk", "/desk/", service="desk")]
    document = configuration(7, routes, {"desk": 400}, tenants=[TENANT])
    await stage.store.put("op/config", document)
    await stage.add_gateways(MACHINES, zones, BOUNDS)
    await asyncio.sleep(4.0)

    traffic = Traffic()
    traffic.more_headers["Authorization"] = f"Token {KEY}"
    each_per_s = ASKED * RATE_PER_S / MACHINES
    whole_s = CALM_S + SEEDS_BACK_AFTER_S + AFTER_S
    flows = [traffic.run(one, each_per_s, whole_s) for one in stage.gateways]
    tasks = [asyncio.create_task(one) for one in flows]
    await asyncio.sleep(CALM_S)
    if stage.trouble:
        stage.note(f"all machines lose power, {SEEDS} of them for {SEEDS_BACK_AFTER_S:.0f} s")
        await lose_power(stage.gateways)
        stage.note("the seeds start again")
    await asyncio.gather(*tasks)

    stage.note_traffic(traffic)
    most, begin = most_within([one.at for one in stage.arrivals()], float(WINDOW_S))
    at = stage.since_start(begin)
    stage.note(f"most run in {WINDOW_S} s: {most}, from {at:.3f} on; allowed {ALLOWED:.0f}")
    served = {one.request_id: one.gateway for one in traffic.sent if one.served}
    for gateway in stage.gateways:
        through = sum(
            served.get(one.message.header("tinrudder-request-id")) == gateway.name
            for one in stage.arrivals()
            if begin <= one.at < begin + WINDOW_S
        )
        stage.note(f"of these through {gateway.name}: {through}")
    return most <= ALLOWED


run_case(FOLDER, play)
