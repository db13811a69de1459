"""Faults of a soak, drawn from its seed; each fault ends by itself."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable

from tinrudder_lab.emulator.backend import EmulatedBackend, Fault
from tinrudder_lab.emulator.records import StoreOutage
from tinrudder_lab.emulator.site import SiteTenant
from tinrudder_lab.emulator.store import StoreMode
from tinrudder_lab.soak.process_site import ProcessSite
from tinrudder_lab.soak.proxy import LinkMode

SoakFault = Callable[[ProcessSite], Awaitable[str]]
BAD_LINK_MODES = tuple(mode for mode in LinkMode if mode is not LinkMode.PASSING)
BAD_STORE_MODES = (
    StoreMode.REFUSING,
    StoreMode.THROTTLING,
    StoreMode.SILENT,
    StoreMode.RESETTING,
    StoreMode.SLOW,
)
BAD_ANSWERS = tuple(fault for fault in Fault if fault is not Fault.NONE)
BAD_ANSWER_SHARE = 0.1
FIRST_TENANT = SiteTenant("first", tuple(f"first-{number}" for number in range(4)))
LIMITED_TENANT = SiteTenant("limited", ("limited-0",), 4.0, 4.0)
TENANTS = (FIRST_TENANT, LIMITED_TENANT)
LOWER_RATE = 1.0
MAX_STORE_OUTAGE_S = 4.0
RECONNECT_S = 2.0
"""Seconds that gateways may take after a store outage to reach it over a new connection."""


async def kill(site: ProcessSite) -> str:
    """Kill a gateway and restart it."""
    async with site.lock_random_node() as node:
        site.kill_node(node)
        await site.wait_for_end(node)
        await asyncio.sleep(site.random.uniform(0.1, 1.0))
        await site.launch(node)
    return f"killed {node.name}"


async def stop(site: ProcessSite) -> str:
    """Stop a gateway gracefully and restart it."""
    async with site.lock_random_node() as node:
        with site.ledger.planned_stop(node.host, site.loop.time):
            site.signal_node(node, signal.SIGTERM)
            code = await site.wait_for_end(node)
        if code != 0:
            site.problems.append(f"planned stop: {node.name} ended with {code}")
            site.kill_node(node)
            await site.wait_for_end(node)
        await site.launch(node)
    return f"stopped {node.name}, code {code}"


async def pause(site: ProcessSite) -> str:
    """Suspend a gateway's process for a while."""
    async with site.lock_random_node() as node:
        site.signal_node(node, signal.SIGSTOP)
        await asyncio.sleep(site.random.uniform(0.2, 4.0))
        site.signal_node(node, signal.SIGCONT)
    return f"paused {node.name}"


async def reload(site: ProcessSite) -> str:
    """Make a gateway reload its settings."""
    async with site.lock_random_node() as node:
        site.signal_node(node, signal.SIGHUP)
    return f"reloaded {node.name}"


async def disrupt_link(site: ProcessSite) -> str:
    """Inject a fault into the link to one back end, or from one gateway to the store."""
    name = site.random.choice(sorted(site.links))
    mode = site.random.choice(BAD_LINK_MODES)
    site.links[name].set_mode(mode)
    await asyncio.sleep(site.random.uniform(0.5, 4.0))
    site.links[name].set_mode(LinkMode.PASSING)
    return f"link {name} {mode.value}"


async def disrupt_store(site: ProcessSite) -> str:
    """Make the store fail for some or all machines."""
    ports = [node.store_port for node in site.nodes]
    chosen = site.random.sample(ports, site.random.randint(1, len(ports)))
    mode = site.random.choice(BAD_STORE_MODES)
    outage = StoreOutage(site.loop.time())
    if len(chosen) == len(ports):
        site.ledger.store_outages.append(outage)
    site.store.set_mode(mode, *chosen)
    await asyncio.sleep(site.random.uniform(0.5, MAX_STORE_OUTAGE_S))
    site.store.set_mode(StoreMode.SERVING, *chosen)
    outage.until = site.loop.time() + RECONNECT_S
    return f"store {mode.value} to {len(chosen)}"


async def compact_history(site: ProcessSite) -> str:
    """Compact the store's history, which ends all watches."""
    site.store.compact_history()
    return "store history compacted"


async def configure(site: ProcessSite) -> str:
    """Write a configuration with another time-out."""
    site.configure(timeout_ms=site.random.choice([1500, 2000, 2500]))
    return f"configured {site.version}"


async def revoke_key(site: ProcessSite) -> str:
    """Revoke the oldest key of the first tenant and add a new one."""
    first, *others = site.tenants
    ended, *kept = first.keys
    number = int(first.keys[-1].rpartition("-")[2]) + 1
    keys = (*kept, f"{first.name}-{number}")
    site.set_tenants(SiteTenant(first.name, keys, first.rate_per_s, first.burst), *others)
    return f"key {ended} revoked"


async def change_limit(site: ProcessSite) -> str:
    """Change the limited tenant's rate limit, never above the limit that is checked."""
    *others, limited = site.tenants
    rate = site.random.choice((LOWER_RATE, LIMITED_TENANT.rate_per_s))
    site.set_tenants(*others, SiteTenant(limited.name, limited.keys, rate, limited.burst))
    return f"limit {rate}"


async def disrupt_zone_links(site: ProcessSite) -> str:
    """Inject a fault into the links to all back ends of a zone at once."""
    zone = site.random.choice(site.zones)
    mode = site.random.choice((LinkMode.SILENT, LinkMode.ONE_WAY, LinkMode.RESETTING))
    names = [name for name, where in site.ledger.zones.items() if where == zone]
    for name in names:
        site.links[name].set_mode(mode)
    await asyncio.sleep(site.random.uniform(1.0, 4.0))
    for name in names:
        site.links[name].set_mode(LinkMode.PASSING)
    return f"links to {zone} {mode.value}"


async def inject_answer_faults(site: ProcessSite) -> str:
    """Make some back ends inject a fault into some of their answers."""
    fault = site.random.choice(BAD_ANSWERS)
    # Keeps the objects, not the ids: a back end that crashes meanwhile restarts under another id.
    alive = sorted(site.backends)
    backends = [site.backends[one] for one in site.random.sample(alive, min(4, len(alive)))]

    def draw_fault() -> Fault:
        return fault if site.random.random() < BAD_ANSWER_SHARE else Fault.NONE

    for backend in backends:
        backend.choose_fault = draw_fault
    await asyncio.sleep(site.random.uniform(1.0, 4.0))
    for backend in backends:
        backend.choose_fault = lambda: Fault.NONE
    return f"answers {fault.value}"


async def pause_backend(site: ProcessSite) -> str:
    """Make a back end finish no work for a moment."""
    backend: EmulatedBackend = site.random.choice([*site.backends.values()])
    backend.pause(site.random.uniform(0.1, 1.0))
    return f"{backend.backend_id} paused"


async def replace_backend(site: ProcessSite) -> str:
    """Add a back end to the single service, then drain another one."""
    alive = [name for name in site.backends if name.startswith("single")]
    old = site.random.choice(alive) if alive else ""
    if not alive or site.backends[old].incarnation in site.ledger.draining_since:
        return "no back end replaced"
    await site.add_backend(f"single-{site.backends_added}", "single", "zone-a")
    await asyncio.sleep(0.5)
    site.drain(old)
    return f"{old} drains"


FAULTS: tuple[SoakFault, ...] = (
    kill,
    stop,
    pause,
    reload,
    disrupt_link,
    disrupt_link,
    disrupt_store,
    compact_history,
    configure,
    revoke_key,
    change_limit,
    disrupt_zone_links,
    inject_answer_faults,
    pause_backend,
    replace_backend,
)
