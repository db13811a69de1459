"""A store that comes back from older copies, one after another, beside all else.

Their moments come from randomness of their own: a seed's other faults stay what they were.
"""

from __future__ import annotations

import asyncio
import random

from tinrudder_lab.emulator.records import StoreOutage
from tinrudder_lab.emulator.store_restore import StoreRestore, restore_store
from tinrudder_lab.soak.process_site import ProcessSite

PAUSE_S = (1.0, 6.0)
AGE_S = (0.2, 5.0)
AWAY_S = (0.1, 3.0)
REWRITE_PERIOD_S = (0.0, 5.0)
UNHEARD_S = 1.0
"""What was written this short before the store went away may have reached no gateway: readers rest
up to 0.6 s between two watches."""
HEARD_AGAIN_S = 2.0
"""How long after all is written again every gateway must have heard of it: readers ask a store that
was away at least every 0.8 s, and digests tell the others."""


async def restore_again_and_again(site: ProcessSite, seconds: float) -> list[str]:
    """Let the store come back from copies for a while; return what was done."""
    source = random.Random(f"restores {site.seed}")
    told: list[str] = []
    end = site.loop.time() + seconds
    while site.loop.time() < end:
        await asyncio.sleep(source.uniform(*PAUSE_S))
        drill = StoreRestore(
            age_s=source.uniform(*AGE_S),
            away_s=source.uniform(*AWAY_S),
            operator_after_s=source.uniform(*REWRITE_PERIOD_S),
            backends_after_s=source.uniform(*REWRITE_PERIOD_S),
        )
        outage = StoreOutage(site.loop.time() - UNHEARD_S)
        site.ledger.store_outages.append(outage)
        for backend_id in site.ledger.unreadable_now():
            # The copy may hold the good entry that another writer replaced since.
            site.ledger.note_readable(backend_id, site.loop.time())
        told.append(f"{site.loop.time():.1f}: store back from {drill.age_s:.1f} s before")
        await restore_store(site, drill)
        outage.until = site.loop.time() + HEARD_AGAIN_S
    return told
