"""Runs one soak from its seed and checks what clients and back ends recorded."""

from __future__ import annotations

import asyncio
import random
import signal
from collections import Counter
from functools import partial
from pathlib import Path

import msgspec

from tinrudder_lab.planned_stops import long_routes, stated_work_s
from tinrudder_lab.soak.entry_faults import change_entries
from tinrudder_lab.soak.faults import FAULTS, LIMITED_TENANT, TENANTS, SoakFault
from tinrudder_lab.soak.planned_stops import stop_repeatedly, stop_violations
from tinrudder_lab.soak.process_site import QUOTAS, REVOCATION_S, ProcessSite
from tinrudder_lab.soak.restores import restore_repeatedly
from tinrudder_lab.soak.silences import silence_repeatedly
from tinrudder_lab.soak.slow_readers import memory_violations, read_slowly, watch_memory
from tinrudder_lab.soak.surrounding_faults import disturb_surroundings
from tinrudder_lab.soak.surroundings import draw_surroundings
from tinrudder_lab.soak.versions import probe_versions

START_S = 2.5
SETTLE_S = 6.0
REQUESTS_PER_SECOND = 25.0
MINIMUM_SERVED_AFTER = 0.95
OVERLOAD_FACTOR = 5.0
RANDOM_KEYS_PER_SECOND = 10.0
ROUTES = ("scatter", "single", "once")
CRASHING_TARGET = "ends-back-ends"


class SoakResult(msgspec.Struct, frozen=True):
    """The result of a soak.

    :param served_after: share of requests served once every fault had ended.
    :param slow_readers: number of clients that read slowly or not at all.
    :param peak_mb: highest memory use of any gateway's process, megabytes.
    """

    seed: int
    seconds: float
    requests: int
    statuses: dict[str, int]
    served_after: float
    faults: list[str]
    broken: list[str]
    ended_back_ends: int = 0
    slow_readers: int = 0
    peak_mb: float = 0.0


class SoakSpans(msgspec.Struct, frozen=True):
    """Seconds for which each fault with a random generator of its own is injected; 0: never."""

    poison: float
    entries: float
    slow: float
    restores: float
    silences: float
    surroundings: float
    stops: float


async def soak(
    seed: int,
    seconds: float,
    folder: Path,
    gateways: int = 3,
    *,
    poison: bool = True,
    entries: bool = True,
    slow: bool = True,
    restores: bool = True,
    silences: bool = True,
    surroundings: bool = True,
    stops: bool = True,
) -> SoakResult:
    """Run one soak; settings and logs of the gateways are left in ``folder``.

    :param gateways: number of gateways; above eleven, scatters go through coordinators and some
        gateways do not watch the store.
    :param poison: repeat requests that crash the back ends running them.
    :param entries: restart back ends under their ids and corrupt entries.
    :param slow: run clients that read slowly or not at all.
    :param restores: restore the store from older copies.
    :param silences: silence open connections, often just before a configuration change.
    :param surroundings: start gateways in odd surroundings and disturb those of running ones.
    :param stops: stop gateways as planned while clients send requests that take long.
    """
    loop = asyncio.get_running_loop()
    site = ProcessSite(
        loop,
        seed=seed,
        folder=folder,
        node_count=gateways,
        tenants=TENANTS,
        revocation_s=REVOCATION_S,
        single_routes=tuple(long_routes()) if stops else (),
        stated_work_s=stated_work_s,
    )
    task = asyncio.current_task()
    assert task is not None
    # A soak that is terminated must not leave its gateways running.
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        spans = SoakSpans(
            seconds if poison else 0.0,
            seconds if entries else 0.0,
            seconds if slow else 0.0,
            seconds if restores else 0.0,
            seconds if silences else 0.0,
            seconds if surroundings else 0.0,
            seconds if stops else 0.0,
        )
        return await _run(site, seconds, spans)
    finally:
        await site.close()


async def _run(site: ProcessSite, seconds: float, spans: SoakSpans) -> SoakResult:
    """Drive traffic and faults, wait for recovery, and check."""
    if spans.surroundings:
        site.draw_surroundings = partial(
            draw_surroundings, random.Random(f"starts {site.seed}"), site.node_count
        )
    await site.start()
    await asyncio.sleep(START_S)
    memory = asyncio.create_task(watch_memory(site))
    descriptions, slow_readers = await _run_under_faults(site, seconds, spans)
    await asyncio.sleep(SETTLE_S)
    served_after = await _measure_recovery(site)
    memory.cancel()
    statuses = Counter(str(result.status) for result in site.ledger.results)
    return SoakResult(
        site.seed,
        seconds,
        len(site.ledger.results),
        dict(statuses),
        served_after,
        descriptions,
        find_violations(site, served_after),
        len(site.ledger.crashes),
        slow_readers,
        site.peak_mb,
    )


async def _run_under_faults(
    site: ProcessSite, seconds: float, spans: SoakSpans
) -> tuple[list[str], int]:
    """Drive traffic and faults; return the faults' descriptions and the number of slow clients."""
    descriptions: list[str] = []
    faults = asyncio.create_task(_inject(site, seconds, descriptions))
    changes = asyncio.create_task(change_entries(site, spans.entries))
    restores = asyncio.create_task(restore_repeatedly(site, spans.restores))
    silences = asyncio.create_task(silence_repeatedly(site, spans.silences))
    surroundings = asyncio.create_task(disturb_surroundings(site, spans.surroundings))
    stops = asyncio.create_task(stop_repeatedly(site, spans.stops))
    *_, slow_readers = await asyncio.gather(
        site.traffic(seconds, REQUESTS_PER_SECOND, ROUTES),
        send_over_quota(site, seconds),
        send_with_random_keys(site, seconds),
        send_crashing_requests(site, spans.poison),
        probe_versions(site, seconds),
        read_slowly(site, spans.slow),
    )
    descriptions.extend(await changes)
    descriptions.extend(await restores)
    descriptions.extend(await silences)
    descriptions.extend(await surroundings)
    descriptions.extend(await stops)
    await faults
    return descriptions, slow_readers


async def _measure_recovery(site: ProcessSite) -> float:
    """Send requests once every fault has ended; return the share that was served."""
    before = len(site.ledger.results)
    await site.traffic(3.0, REQUESTS_PER_SECOND, ROUTES)
    after = site.ledger.results[before:]
    return sum(1 for result in after if result.status == 200) / max(1, len(after))


def find_violations(site: ProcessSite, served_after: float) -> list[str]:
    """Return all violations that the checks of a soak found."""
    texts = site.contract_violations()
    texts.extend(site.problems)
    texts.extend(site.unexpected_exits())
    texts.extend(quota_violations(site))
    texts.extend(stop_violations(site))
    texts.extend(memory_violations(site))
    if served_after < MINIMUM_SERVED_AFTER:
        texts.append(f"recovery: {served_after:.3f} served after all faults had ended")
    return texts


async def send_crashing_requests(site: ProcessSite, seconds: float) -> None:
    """Send two requests that crash back ends to random gateways, repeatedly.

    Uses a random generator of its own, so it does not change the faults of a seed.
    """
    source = random.Random(f"poison {site.seed}")
    site.crashes_on = lambda request: request.target.endswith(CRASHING_TARGET)
    end = site.loop.time() + seconds
    while site.loop.time() < end:
        await asyncio.sleep(source.uniform(0.2, 2.0))
        route, path = source.choice((("scatter", "all"), ("single", "single")))
        node = source.randrange(len(site.nodes))
        await site.send(route, node, target=f"/{path}/{CRASHING_TARGET}")


async def send_over_quota(site: ProcessSite, seconds: float) -> None:
    """Send requests of the limited tenant at ``OVERLOAD_FACTOR`` times its rate limit."""
    tasks = []
    end = site.loop.time() + seconds
    while site.loop.time() < end:
        await asyncio.sleep(site.random.expovariate(LIMITED_TENANT.rate_per_s * OVERLOAD_FACTOR))
        node = site.random.randrange(len(site.nodes))
        request = site.send("single", node, key=LIMITED_TENANT.keys[0])
        tasks.append(site.loop.create_task(request))
    await asyncio.gather(*tasks)


async def send_with_random_keys(site: ProcessSite, seconds: float) -> None:
    """Send requests with random present and past keys of all tenants, some about to be revoked."""
    tasks = []
    end = site.loop.time() + seconds
    while site.loop.time() < end:
        await asyncio.sleep(site.random.expovariate(RANDOM_KEYS_PER_SECOND))
        key = site.random.choice([*site.ledger.keys])
        node = site.random.randrange(len(site.nodes))
        tasks.append(site.loop.create_task(site.send(site.random.choice(ROUTES), node, key=key)))
    await asyncio.gather(*tasks)


def quota_violations(site: ProcessSite) -> list[str]:
    """Return a violation if more of the limited tenant's requests ran than its quota allows."""
    limit = LIMITED_TENANT.rate_per_s * QUOTAS.window_s + LIMITED_TENANT.burst
    bound = limit * (1.0 + QUOTAS.excess) + QUOTAS.slack
    ran = site.ledger.max_in_window(LIMITED_TENANT.name, QUOTAS.window_s)
    return [f"quota: {ran} ran in {QUOTAS.window_s} s, at most {bound}"] if ran > bound else []


async def _inject(site: ProcessSite, seconds: float, descriptions: list[str]) -> None:
    """Inject random faults, at most two at a time, for some time; wait until all have ended."""
    end = site.loop.time() + seconds
    running: set[asyncio.Task[str]] = set()
    while site.loop.time() < end:
        await asyncio.sleep(site.random.uniform(0.2, 1.2))
        if len(running) < 2:
            fault = site.random.choice(FAULTS)
            running.add(asyncio.create_task(_run_fault(site, fault)))
        done = {task for task in running if task.done()}
        descriptions.extend(task.result() for task in done)
        running -= done
    for task in running:
        descriptions.append(await task)


async def _run_fault(site: ProcessSite, fault: SoakFault) -> str:
    """Run one fault; return its description with the time at which it began."""
    began = site.loop.time()
    what = await fault(site)
    return f"{began:.1f}: {what}"
