"""Runs one soak from its seed and checks what clients and back ends saw."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from pathlib import Path

import msgspec

from tinrudder_lab.soak.faults import FAULTS, SoakFault
from tinrudder_lab.soak.process_site import ProcessSite

START_S = 2.5
SETTLE_S = 6.0
REQUESTS_PER_SECOND = 25.0
MINIMUM_SERVED_AFTER = 0.95
ROUTES = ("scatter", "single", "once")


class SoakResult(msgspec.Struct, frozen=True):
    """What a soak found.

    :param served_after: share of requests served once every fault had healed.
    """

    seed: int
    seconds: float
    requests: int
    statuses: dict[str, int]
    served_after: float
    faults: list[str]
    broken: list[str]


async def soak(seed: int, seconds: float, folder: Path, gateways: int = 3) -> SoakResult:
    """Run one soak; settings and logs of the gateways are left in ``folder``.

    :param gateways: above eleven, scatters go through coordinators and some follow no store.
    """
    loop = asyncio.get_running_loop()
    site = ProcessSite(loop, seed=seed, folder=folder, node_count=gateways)
    task = asyncio.current_task()
    assert task is not None
    # Whoever ends the soak must not leave its gateways behind.
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        return await _run(site, seconds)
    finally:
        await site.close()


async def _run(site: ProcessSite, seconds: float) -> SoakResult:
    """Drive traffic and faults, let everything heal, and check."""
    await site.start()
    await asyncio.sleep(START_S)
    told: list[str] = []
    faults = asyncio.create_task(_inject(site, seconds, told))
    await site.traffic(seconds, REQUESTS_PER_SECOND, ROUTES)
    await faults
    await asyncio.sleep(SETTLE_S)
    before = len(site.ledger.results)
    await site.traffic(3.0, REQUESTS_PER_SECOND, ROUTES)
    after = site.ledger.results[before:]
    served_after = sum(1 for result in after if result.status == 200) / max(1, len(after))
    texts = site.broken_promises()
    texts.extend(site.problems)
    texts.extend(site.ended_by_themselves())
    if served_after < MINIMUM_SERVED_AFTER:
        texts.append(f"recovery: {served_after:.3f} served after everything had healed")
    statuses = Counter(str(result.status) for result in site.ledger.results)
    return SoakResult(
        site.seed, seconds, len(site.ledger.results), dict(statuses), served_after, told, texts
    )


async def _inject(site: ProcessSite, seconds: float, told: list[str]) -> None:
    """Draw faults, up to two at a time, until the time is over; wait until they have healed."""
    end = site.loop.time() + seconds
    running: set[asyncio.Task[str]] = set()
    while site.loop.time() < end:
        await asyncio.sleep(site.random.uniform(0.2, 1.2))
        if len(running) < 2:
            fault = site.random.choice(FAULTS)
            running.add(asyncio.create_task(_one(site, fault)))
        done = {task for task in running if task.done()}
        told.extend(task.result() for task in done)
        running -= done
    for task in running:
        told.append(await task)


async def _one(site: ProcessSite, fault: SoakFault) -> str:
    """Run one fault and say when it began."""
    began = site.loop.time()
    what = await fault(site)
    return f"{began:.1f}: {what}"
