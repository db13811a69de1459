"""Which version of the configuration each gateway has in force, as its clients see it.

Every version has one route that no other has.  Owns nothing; relies on the ledger for what no
gateway could know, and for gateways that were disturbed.
"""

from __future__ import annotations

import asyncio
import random

from tinrudder_lab.emulator.site import EmulatedNode
from tinrudder_lab.soak.process_site import ProcessSite, version_route

IN_FORCE_S = 3.0
"""Within this time of its confirmation a version must be in force everywhere."""
LOOK_S = (0.1, 0.5)
NO_ROUTE = 404


async def ask_versions(site: ProcessSite, seconds: float) -> None:
    """Ask on the newest version's route, and on that of the one before, at any gateway.

    Their moments come from randomness of their own: a seed's faults stay what they were.
    """
    source = random.Random(f"versions {site.seed}")
    end = site.loop.time() + seconds
    while site.loop.time() < end:
        await asyncio.sleep(source.uniform(*LOOK_S))
        node = source.choice(site.nodes)
        now = site.loop.time()
        if _is_settled(site, node, now):
            await _ask(site, node, site.version, now)


def _is_settled(site: ProcessSite, node: EmulatedNode, now: float) -> bool:
    """Tell whether a gateway must have the newest version in force."""
    known_at = site.ledger.known_at(site.versions[site.version])
    return now > known_at + IN_FORCE_S and not site.ledger.is_disturbed(node.host, now)


async def _ask(site: ProcessSite, node: EmulatedNode, version: int, now: float) -> None:
    """Note a problem if a gateway refuses the newest route, or serves the one before."""
    older = max((one for one in site.versions if one < version), default=None)
    newest = await _status(site, node, version)
    before = NO_ROUTE if older is None else await _status(site, node, older)
    # A change meanwhile, or a fault that began, says nothing of what was asked for.
    if site.version != version or not _is_settled(site, node, now):
        return
    if newest == NO_ROUTE:
        site.problems.append(f"versions: {node.name} lacks {version} at {now:.2f}")
    if before == 200:
        site.problems.append(f"versions: {node.name} still has {older} at {now:.2f}")


async def _status(site: ProcessSite, node: EmulatedNode, version: int) -> int:
    """Return what a request on a version's route gets."""
    target = f"/{version_route(version)}/{site.loop.time()}"
    return (await site.send("single", node.index, target=target)).status
