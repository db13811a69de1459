"""A client lists ``Tinrudder-Tenant`` under ``Connection``, and its request runs without a tenant.

The gateway adds the tenant's name to the client's headers and then drops every header that the
client's own ``Connection`` header names.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from stand_ins.backends import BackendSpec
from stand_ins.clients import Client
from stand_ins.http1 import Headers
from stand_ins.record import Record
from stand_ins.site import BACKEND_PORT, Site, run_case, running, with_trouble

CASE = Path(__file__).resolve().parent
ZONES = ["zone-a", "zone-b", "zone-c"]
HOST = "shop.example"
KEYS = {"north": "key-of-north", "south": "key-of-south"}
WARM_UP_S, ASKING_S, INTERVAL_S = 2.0, 10.0, 0.1
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
    "tenants": [{"name": name, "api_keys": [key]} for name, key in KEYS.items()],
}


def headers_of(tenant: str) -> Headers:
    """Return the headers of a client that names another tenant than its own."""
    other = next(name for name in KEYS if name != tenant)
    headers = [("Authorization", f"Token {KEYS[tenant]}"), ("Tinrudder-Tenant", other)]
    if with_trouble():
        headers.append(("Connection", "keep-alive, Tinrudder-Tenant"))
    return headers


async def look_up(client: Client, tenant: str, until: float, record: Record) -> None:
    """Send a tenant's requests until a moment."""
    while record.now() < until:
        await client.request("GET", HOST, "/lookup/1", headers_of(tenant), note=tenant)
        await asyncio.sleep(INTERVAL_S)


def judge(record: Record) -> bool:
    """Check UNASKED as written; return whether it held."""
    owner_of = {one.request_id: one.note for one in record.sent}
    ran = [one for one in record.arrivals if one.ran]
    wrong = [one for one in ran if one.tenant != owner_of[one.request_id]]
    for one in wrong:
        wanted = owner_of[one.request_id]
        record.note(f"UNASKED: {one.request_id} of {wanted} ran with tenant {one.tenant}")
    summary = f"{len(ran)} ran, {len(wrong)} of them without the tenant that holds the key"
    record.note(summary)
    print(summary)
    return not wrong


async def main() -> bool:
    """Play the case."""
    site = Site(ZONES)
    for number, zone in enumerate(ZONES):
        host = site.backend_host(number)
        await site.add_backend(BackendSpec(f"i-{number}", "desk", host, BACKEND_PORT, zone))
    async with running(site, CONFIGURATION, CASE) as record:
        await asyncio.sleep(WARM_UP_S)
        until = record.now() + ASKING_S
        await asyncio.gather(
            *(
                look_up(Client(record, one.name, one.front), tenant, until, record)
                for one in site.gateways
                for tenant in KEYS
            )
        )
        return judge(record)


run_case(main)
