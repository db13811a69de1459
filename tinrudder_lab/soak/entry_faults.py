"""Restarts back ends under their ids and overwrites entries, concurrently with other faults.

Uses a random generator of its own, so it does not change the other faults of a seed.
"""

from __future__ import annotations

import asyncio
import random

from tinrudder_lab.emulator.invalid_entries import invalid_value
from tinrudder_lab.soak.process_site import ProcessSite

PAUSE_S = (0.3, 1.5)
DOWN_S = (0.05, 3.0)
"""Seconds that a restart takes: the shorter ones end before the entry expires, others after."""
UNREADABLE_S = (0.2, 6.0)
"""Seconds until the back end's next heartbeat; longer spans expose calls that must not come."""


async def change_entries(site: ProcessSite, seconds: float) -> list[str]:
    """Restart back ends and corrupt entries for some time; return a description of each fault."""
    source = random.Random(f"entries {site.seed}")
    descriptions: list[str] = []
    running: set[asyncio.Task[None]] = set()
    end = site.loop.time() + seconds
    while site.loop.time() < end:
        await asyncio.sleep(source.uniform(*PAUSE_S))
        readable = sorted(set(site.backends_with_entry) - site.ledger.unreadable_now())
        if not readable:
            continue
        backend_id = source.choice(readable)
        if source.random() < 0.5:
            moves = source.random() < 0.5
            restart = site.restart_backend(backend_id, source.uniform(*DOWN_S), moves=moves)
            running.add(asyncio.create_task(restart))
            descriptions.append(f"{backend_id} restarts{' at another address' if moves else ''}")
        else:
            running.add(asyncio.create_task(_corrupt_entry(site, backend_id, source)))
            descriptions.append(f"entry of {backend_id} unreadable")
        _change_unknown_entry(site, source)
    await asyncio.gather(*running)
    return descriptions


async def _corrupt_entry(site: ProcessSite, backend_id: str, source: random.Random) -> None:
    """Overwrite an entry with an unreadable value until its running back end rewrites it."""
    backend = site.backends[backend_id]
    site.write_unreadable(backend_id, invalid_value(site.entry_document(backend_id), source))
    await asyncio.sleep(source.uniform(*UNREADABLE_S))
    if site.backends.get(backend_id) is backend:
        site.rewrite_entry(backend_id)


def _change_unknown_entry(site: ProcessSite, source: random.Random) -> None:
    """Write or remove an entry whose id belongs to no back end."""
    unknown_id = f"stranger-{source.randrange(5)}"
    entry = site.entry_document(source.choice(site.backends_with_entry or ["single-0"]))
    kind = source.randrange(3)
    if kind == 0:
        site.remove_entry(unknown_id)
    elif kind == 1:
        site.put_document(unknown_id, entry | {"service": "unheard-of"})
    else:
        site.write_unreadable(unknown_id, invalid_value(entry, source))
