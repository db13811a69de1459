"""Checks which version of the configuration each gateway enforces, as seen by clients.

Every version has a route that no other version has.  Owns nothing; relies on the ledger for outages
of the store and for disturbed gateways.
"""

from __future__ import annotations

import asyncio
import random

from tinrudder_lab.emulator.site import EmulatedNode
from tinrudder_lab.soak.process_site import ProcessSite, version_route

IN_FORCE_S = 3.0
"""Seconds until a version that the store shows must be in force on all gateways."""
PROBE_INTERVAL_S = (0.1, 0.5)
NO_ROUTE = 404


async def probe_versions(site: ProcessSite, seconds: float) -> None:
    """Check random gateways for the versions that they may enforce.

    Uses a random generator of its own, so it does not change the faults of a seed.
    """
    source = random.Random(f"versions {site.seed}")
    end = site.loop.time() + seconds
    while site.loop.time() < end:
        await asyncio.sleep(source.uniform(*PROBE_INTERVAL_S))
        await _probe_node(site, source.choice(site.nodes))


def _oldest_allowed(site: ProcessSite, now: float) -> int | None:
    """Return the oldest version that a gateway may still enforce at a time."""
    visible = [
        version
        for version, written_at in site.versions.items()
        if now > site.ledger.visible_at(written_at) + IN_FORCE_S
    ]
    return max(visible, default=None)


async def _probe_node(site: ProcessSite, node: EmulatedNode) -> None:
    """Record a problem if a gateway has no allowed version, or still has an older one.

    One of the allowed versions' routes must exist.  Only answers of 404 count as its absence: a
    temporary refusal says nothing of the version.
    """
    now = site.loop.time()
    oldest_allowed, newest = _oldest_allowed(site, now), site.version
    if oldest_allowed is None or site.ledger.is_disturbed(node.host, now):
        return
    allowed = [version for version in site.versions if version >= oldest_allowed]
    statuses = [await _status(site, node, version) for version in allowed]
    outdated = max((version for version in site.versions if version < oldest_allowed), default=None)
    outdated_status = NO_ROUTE if outdated is None else await _status(site, node, outdated)
    # The result is void if the configuration changed or a fault began meanwhile.
    if site.version != newest or site.ledger.is_disturbed(node.host, site.loop.time()):
        return
    if _oldest_allowed(site, now) != oldest_allowed:
        return
    if set(statuses) == {NO_ROUTE}:
        site.problems.append(
            f"versions: {node.name} lacks {oldest_allowed} and all later at {now:.2f}"
        )
    if outdated_status == 200:
        site.problems.append(f"versions: {node.name} still has {outdated} at {now:.2f}")


async def _status(site: ProcessSite, node: EmulatedNode, version: int) -> int:
    """Return the status of a request on a version's route."""
    target = f"/{version_route(version)}/{site.loop.time()}"
    return (await site.send("single", node.index, target=target)).status
