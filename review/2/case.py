"""The gateway that owns a tenant's token bucket stands still for a moment, and two grant its rate.

The others turn to a second owner for three seconds. The first one does not know, and goes on
granting the whole rate to the requests that enter there.
"""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path

from stand_ins.backends import BackendSpec
from stand_ins.clients import Client
from stand_ins.gateways import Gateway
from stand_ins.record import Record
from stand_ins.site import BACKEND_PORT, Site, run_case, running, with_trouble

CASE = Path(__file__).resolve().parent
ZONES = ["zone-a", "zone-b", "zone-c"]
HOST = "shop.example"
KEY = "key-of-the-large-tenant"
RATE_PER_S, BURST = 100.0, 20.0
WINDOW_S, EXCESS, SLACK = 5.0, 0.25, 20.0
ALLOWED = (RATE_PER_S * WINDOW_S + BURST) * (1 + EXCESS) + SLACK
CLIENTS_PER_GATEWAY = 22
USUAL_INTERVAL_S, HOT_INTERVAL_S = 1.1, 0.2
WARM_UP_S, USUAL_S, HOT_S = 4.0, 3.0, 6.5
FREEZE_AFTER_S, FREEZE_S = 1.0, 0.3
BOUNDS: dict[str, object] = {
    "quota_window_s": WINDOW_S,
    "quota_excess": EXCESS,
    "quota_slack": SLACK,
}
CONFIGURATION: dict[str, object] = {
    "version": 7,
    "routes": [
        {
            "name": "lookup",
            "host": HOST,
            "path_prefix": "/lookup/",
            "kind": "safe",
            "timeout_ms": 4000,
            "goal_ms": 800,
            "priority": 1,
            "service": "desk",
            "attempts": 2,
        }
    ],
    "services": [{"name": "desk", "health_path": "/health", "max_conns": 110}],
    "tenants": [{"name": "large", "api_keys": [KEY], "rate_per_s": RATE_PER_S, "burst": BURST}],
}


async def look_up(client: Client, hot_from: float, until: float, record: Record) -> None:
    """Send a request at each interval; the interval is shorter while the tenant is hot."""
    while (began := record.now()) < until:
        await client.request("GET", HOST, "/lookup/1", [("Authorization", f"Token {KEY}")])
        interval_s = HOT_INTERVAL_S if record.now() >= hot_from else USUAL_INTERVAL_S
        await asyncio.sleep(max(0.0, interval_s - (record.now() - began)))


def find_owner(gateways: list[Gateway]) -> Gateway:
    """Return the gateway whose log says last that the tenant's bucket is nearly empty."""
    told: list[tuple[float, str]] = []
    for gateway in gateways:
        for line in gateway.log.read_text().splitlines():
            if '"quota_pressed"' in line:
                told.append((float(json.loads(line)["time"]), gateway.name))
    _, name = max(told)
    return next(one for one in gateways if one.name == name)


def judge(record: Record) -> bool:
    """Check QUOTA as written; return whether it held."""
    sent_at = {one.request_id: one.at for one in record.sent}
    runs = sorted((sent_at[one.request_id], one.at) for one in record.arrivals if one.ran)
    most, begins = 0, 0.0
    for begin, _ in runs:
        ran = sum(sent >= begin and arrived <= begin + WINDOW_S for sent, arrived in runs)
        if ran > most:
            most, begins = ran, begin
    summary = f"{most} ran in the {WINDOW_S} s from {begins:.3f}, {ALLOWED:.0f} are allowed"
    record.note(("QUOTA: " if most > ALLOWED else "") + summary)
    print(summary)
    return most <= ALLOWED


async def main() -> bool:
    """Play the case."""
    site = Site(ZONES, BOUNDS)
    for number, zone in enumerate([*ZONES, ZONES[0]]):
        host = site.backend_host(number)
        spec = BackendSpec(f"i-{number}", "desk", host, BACKEND_PORT, zone, 8, 40, work_s=0.004)
        await site.add_backend(spec)
    async with running(site, CONFIGURATION, CASE) as record:
        await asyncio.sleep(WARM_UP_S)
        hot_from = record.now() + USUAL_S
        asking = [
            asyncio.create_task(
                look_up(Client(record, one.name, one.front), hot_from, hot_from + HOT_S, record)
            )
            for one in site.gateways
            for _ in range(CLIENTS_PER_GATEWAY)
        ]
        await asyncio.sleep(USUAL_S)
        record.note(f"the tenant asks for more than its limit, for {HOT_S} s")
        await asyncio.sleep(FREEZE_AFTER_S)
        owner = find_owner(site.gateways)
        record.note(f"{owner.name} owns the bucket")
        if with_trouble():
            record.note(f"SIGSTOP to {owner.name}")
            owner.send_signal(signal.SIGSTOP)
            await asyncio.sleep(FREEZE_S)
            owner.send_signal(signal.SIGCONT)
            record.note(f"SIGCONT to {owner.name}")
        await asyncio.gather(*asking)
        return judge(record)


run_case(main)
