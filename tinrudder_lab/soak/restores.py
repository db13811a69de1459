"""Restores the store from older copies repeatedly, concurrently with other faults.

Uses a random generator of its own, so it does not change the other faults of a seed.
"""

from __future__ import annotations

import asyncio
import random

from tinrudder_lab.emulator.records import StoreOutage
from tinrudder_lab.emulator.store_restore import StoreRestore, restore_store
from tinrudder_lab.soak.process_site import ProcessSite

PAUSE_S = (1.0, 6.0)
COPY_AGE_S = (0.2, 5.0)
OUTAGE_S = (0.1, 3.0)
REWRITE_DELAY_S = (0.0, 5.0)
UNPROPAGATED_S = 1.0
"""Seconds before an outage in which a write may have reached no gateway: readers pause up to 0.6 s
between two watches."""
PROPAGATION_S = 2.0
"""Seconds within which repeated writes reach every gateway: readers retry a failed store at least
every 0.8 s, and digests inform the other gateways."""


async def restore_repeatedly(site: ProcessSite, seconds: float) -> list[str]:
    """Restore the store from copies for some time; return a description of each drill."""
    source = random.Random(f"restores {site.seed}")
    descriptions: list[str] = []
    end = site.loop.time() + seconds
    while site.loop.time() < end:
        await asyncio.sleep(source.uniform(*PAUSE_S))
        drill = StoreRestore(
            age_s=source.uniform(*COPY_AGE_S),
            outage_s=source.uniform(*OUTAGE_S),
            operator_after_s=source.uniform(*REWRITE_DELAY_S),
            backends_after_s=source.uniform(*REWRITE_DELAY_S),
        )
        outage = StoreOutage(site.loop.time() - UNPROPAGATED_S)
        site.ledger.store_outages.append(outage)
        for backend_id in site.ledger.unreadable_now():
            # The copy may hold the readable entry that was overwritten after it was made.
            site.ledger.record_readable(backend_id, site.loop.time())
        descriptions.append(f"{site.loop.time():.1f}: store back from {drill.age_s:.1f} s before")
        async with site.restore_lock:
            await restore_store(site, drill)
        outage.until = site.loop.time() + PROPAGATION_S
    return descriptions
