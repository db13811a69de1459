"""Silences open connections repeatedly, often just before a configuration change.

Silenced connections drop all bytes without a reset; new connections work.  Uses a random generator
of its own, so it does not change the other faults of a seed.
"""

from __future__ import annotations

import asyncio
import random

from tinrudder_lab.soak.process_site import ProcessSite

PAUSE_S = (0.5, 5.0)
CHANGE_AFTER_S = (0.0, 0.3)
CHANGE_SHARE = 0.5
BACKENDS_SHARE = 0.3


async def silence_repeatedly(site: ProcessSite, seconds: float) -> list[str]:
    """Silence connections to the store and some to back ends; return a description of each time."""
    source = random.Random(f"silences {site.seed}")
    descriptions: list[str] = []
    end = site.loop.time() + seconds
    while site.loop.time() < end:
        await asyncio.sleep(source.uniform(*PAUSE_S))
        names = [node.name for node in site.nodes]
        silent = names if source.random() < 0.5 else source.sample(names, max(1, len(names) // 2))
        if source.random() < BACKENDS_SHARE:
            backends = sorted(set(site.links) - set(names))
            silent = [*silent, *source.sample(backends, len(backends) // 3)]
        for name in silent:
            if name in site.links:
                site.links[name].silence_open_connections()
        descriptions.append(
            f"{site.loop.time():.1f}: {len(silent)} links silent, new connections work"
        )
        if source.random() < CHANGE_SHARE:
            await asyncio.sleep(source.uniform(*CHANGE_AFTER_S))
            site.configure()
    return descriptions
