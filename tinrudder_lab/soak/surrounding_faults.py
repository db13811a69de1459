"""Disturbs the surroundings of running gateways.

What they read does not end, their settings are rewritten in halves, and all of them are killed and
start together.  Uses a random generator of its own, so it does not change the other faults of a
seed.
"""

from __future__ import annotations

import asyncio
import random
import signal

from tinrudder_lab.emulator.endless_answers import EndlessAnswer
from tinrudder_lab.emulator.site import EmulatedNode
from tinrudder_lab.soak.process_site import ProcessSite
from tinrudder_lab.soak.surroundings import HALF_WRITTEN_S, write_in_halves

PAUSE_S = (0.5, 3.0)
ENDLESS_S = (0.5, 3.0)


async def disturb_surroundings(site: ProcessSite, seconds: float) -> list[str]:
    """Disturb the surroundings of running gateways; return a description of each disturbance."""
    source = random.Random(f"surroundings {site.seed}")
    descriptions: list[str] = []
    end = site.loop.time() + seconds
    # One start of all processes at once, when half of the time is over.
    herd = asyncio.create_task(_restart_all(site, seconds / 2)) if seconds else None
    while site.loop.time() < end:
        await asyncio.sleep(source.uniform(*PAUSE_S))
        disturb = source.choice(DISTURBANCES)
        descriptions.append(f"{site.loop.time():.1f}: {await disturb(site, source)}")
    if herd is not None:
        descriptions.append(await herd)
    return descriptions


async def _answer_endlessly(site: ProcessSite, source: random.Random) -> str:
    """Make a few back ends, or the store for one gateway, answer without end for a while."""
    nodes = [node.name for node in site.nodes]
    backends = sorted(set(site.links) - set(nodes))
    names = [source.choice(nodes)] if source.random() < 0.3 else source.sample(backends, 3)
    answer = source.choice(list(EndlessAnswer))
    links = [site.links[name] for name in names if name in site.links]
    for link in links:
        link.answer_endlessly(answer)
    await asyncio.sleep(source.uniform(*ENDLESS_S))
    for link in links:
        link.answer_endlessly(None)
    return f"endless {answer.name} from {', '.join(names)}"


async def _rewrite_settings(site: ProcessSite, source: random.Random) -> str:
    """Write a gateway's settings in halves, with a signal to read them in between or afterwards."""
    node = source.choice(site.nodes)
    path = site.settings_file(node)
    signals = source.choice((0, 1, 2))
    # The file itself may be half written just now, by a start of the gateway.
    writing = asyncio.create_task(
        write_in_halves(path, site.settings_text(node), source.uniform(*HALF_WRITTEN_S))
    )
    await asyncio.sleep(0.0)
    if signals:
        site.signal_running(node, signal.SIGHUP)
    await writing
    if signals > 1:
        site.signal_running(node, signal.SIGHUP)
    return f"settings of {node.name} half written, {signals} signals"


async def _restart_all(site: ProcessSite, after_s: float) -> str:
    """Kill all gateways at the same moment and start them again together."""
    await asyncio.sleep(after_s)

    async def restart(node: EmulatedNode) -> None:
        async with site.locked(node):
            site.kill_node(node)
            await site.wait_for_end(node)
            await site.launch(node)

    async with site.restore_lock:
        await asyncio.gather(*(restart(node) for node in site.nodes))
    return "all gateways killed and started together"


DISTURBANCES = (_answer_endlessly, _answer_endlessly, _rewrite_settings)
