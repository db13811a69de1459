"""The operator gives a deployment its first tenants while the store is slow: who sees the keys?"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from stage import (
    STORE_DELAY_S,
    Backend,
    Stage,
    Traffic,
    answer_after,
    configuration,
    route,
    run_case,
)

FOLDER = Path(__file__).resolve().parent
PER_S = 60.0  # at each gateway
SLOW_FACTOR = 60
SLOW_S = 4.5
CLIENTS_LEARN_S = 0.05  # after the acknowledgement; the clients carry the key from then on
AFTER_S = 4.0
KEY = "k5yw2rq8"
TENANT = {"name": "tenant-1", "api_keys": [KEY], "priority": 1, "rate_per_s": 0, "burst": 0}


async def play(stage: Stage) -> bool:
    """Return whether no back end has seen the key."""
    for number in range(2):
        work = answer_after(0.01)
        await stage.add_backend(Backend(f"i-{number + 1}", "desk", work, slots=8))
    routes = [route("r-desk", "/desk/", service="desk", kind="unsafe")]
    await stage.store.put("op/config", configuration(7, routes, {"desk": 110}))
    bounds = {"strict_revoke": True, "revoke_ms": 5000}
    await stage.add_gateways(3, ["zone-a", "zone-b"], bounds)
    await asyncio.sleep(4.0)

    traffic = Traffic("POST", "/desk/1")
    whole_s = 2.0 + AFTER_S
    flows = [asyncio.create_task(traffic.run(one, PER_S, whole_s)) for one in stage.gateways]
    await asyncio.sleep(1.0)
    if stage.trouble:
        stage.store.delay_s = STORE_DELAY_S * SLOW_FACTOR
        stage.note("the store is slow")
    await asyncio.sleep(1.0)
    tenants = configuration(9, routes, {"desk": 110}, tenants=[TENANT])
    acknowledged_at = await stage.store.put("op/config", tenants)
    stage.note("the configuration with the tenant is acknowledged")
    await asyncio.sleep(CLIENTS_LEARN_S)
    traffic.more_headers["Authorization"] = f"Token {KEY}"
    await asyncio.sleep(SLOW_S - 1.0)
    stage.store.delay_s = STORE_DELAY_S
    await asyncio.gather(*flows)

    stage.note_traffic(traffic)
    shown = [one for one in stage.arrivals() if KEY in one.message.header("authorization")]
    keyed = [one for one in stage.arrivals() if one.message.header("tinrudder-tenant")]
    stage.note(f"requests run for the tenant by its name: {len(keyed)}")
    stage.note(f"requests run with the key itself, without the tenant's name: {len(shown)}")
    if shown:
        last_s = shown[-1].at - acknowledged_at
        stage.note(f"the last of them {last_s:.3f} s after the acknowledgement")
    if not keyed:
        raise RuntimeError("no request was run for the tenant")
    return not shown


run_case(FOLDER, play)
