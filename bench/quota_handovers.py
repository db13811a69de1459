"""How many requests of a tenant run in a window while the owner of its token bucket is disturbed.

    python -m bench.quota_handovers [--orders N] [--first SEED] [--named NAME ...]

Runs gateways as processes on loopback and asks for 3.3 times a tenant's limit.  Meanwhile gateways,
mostly the owner of the tenant's bucket, are paused, killed, stopped as planned, started again or
added, in series and overlapping.  Prints one JSON object an order; exits with 1 if any of them let
more run than the limit allows.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from tinrudder.common.address import Address
from tinrudder.common.rendezvous import rendezvous_score
from tinrudder.gateway.model.configuration import QuotaBounds
from tinrudder_lab.emulator.site import PEER_PORT, EmulatedNode, SiteTenant
from tinrudder_lab.soak.process_site import ProcessSite

TENANT = SiteTenant("limited", ("key-l",), 100.0, 20.0)
QUOTAS = QuotaBounds()
ALLOWED = (TENANT.rate_per_s * QUOTAS.window_s + TENANT.burst) * (1 + QUOTAS.excess) + QUOTAS.slack
START_S, USUAL_S, SETTLE_S, TAIL_S = 4.0, 2.0, 1.0, 3.0
USUAL_PER_S, HOT_PER_S = 60.0, 330.0
GATEWAYS = (3, 8)
EVENTS = (2, 8)
PAUSE_S, GAP_S, DOWN_S = (0.1, 2.9), (0.0, 0.8), (0.1, 0.6)
OWNER_SHARE = 0.7
OVERLAP_SHARE = 0.3

Order = Callable[["Disturbances"], Awaitable[None]]


class Disturbances:
    """Disturbs the gateways of one site."""

    def __init__(self, site: ProcessSite) -> None:
        """Disturb gateways of ``site`` that run."""
        self.site = site
        self.done: list[str] = []
        self._busy: set[str] = set()

    def owner(self) -> EmulatedNode:
        """Return the running gateway that ranks first for the tenant."""
        alive = [one for one in self.site.nodes if self.site.processes.pid_of(one.name) is not None]
        return max(
            alive or self.site.nodes,
            key=lambda one: rendezvous_score(TENANT.name, str(Address(one.host, PEER_PORT))),
        )

    async def pause(self, node: EmulatedNode, seconds: float) -> None:
        """Suspend a gateway's process for some time."""
        self.site.signal_node(node, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.site.signal_node(node, signal.SIGCONT)

    async def kill(self, node: EmulatedNode, seconds: float) -> None:
        """Kill a gateway's process and start it again."""
        self.site.kill_node(node)
        await self.site.wait_for_end(node)
        await asyncio.sleep(seconds)
        await self.site.launch(node)

    async def stop(self, node: EmulatedNode, seconds: float) -> None:
        """Stop a gateway as planned and start it again."""
        self.site.signal_node(node, signal.SIGTERM)
        await self.site.wait_for_end(node)
        await asyncio.sleep(seconds)
        await self.site.launch(node)

    async def draw(self, source: random.Random) -> None:
        """Disturb gateways in an order drawn from ``source``."""
        running: list[asyncio.Task[None]] = []
        for _ in range(source.randint(*EVENTS)):
            node = self.owner() if source.random() < OWNER_SHARE else source.choice(self.site.nodes)
            what = source.choice((self.pause, self.pause, self.kill, self.stop))
            seconds = source.uniform(*(PAUSE_S if what == self.pause else DOWN_S))
            overlaps = source.random() < OVERLAP_SHARE
            gap_s = source.uniform(*GAP_S)
            if node.name not in self._busy:
                task = asyncio.create_task(self._run(what, node, seconds))
                running.append(task)
                if not overlaps:
                    await task
            await asyncio.sleep(gap_s)
        await asyncio.gather(*running)

    async def _run(
        self,
        what: Callable[[EmulatedNode, float], Awaitable[None]],
        node: EmulatedNode,
        seconds: float,
    ) -> None:
        """Disturb one gateway, which no other disturbance strikes meanwhile."""
        self._busy.add(node.name)
        self.done.append(f"{getattr(what, '__name__', '')} {node.name} {seconds:.2f}")
        await what(node, seconds)
        self._busy.discard(node.name)


async def freezes_in_series(disturbances: Disturbances) -> None:
    """Pause the owner eight times, for 0.3 s each."""
    for _ in range(8):
        await disturbances.pause(disturbances.owner(), 0.3)
        await asyncio.sleep(0.2)


async def planned_restart(disturbances: Disturbances) -> None:
    """Stop the owner as planned and start it again."""
    await disturbances.stop(disturbances.owner(), 0.1)


async def calm(disturbances: Disturbances) -> None:
    """Disturb nothing."""
    await asyncio.sleep(2.0)


def drawn_order(source: random.Random) -> Order:
    """Return an order of disturbances drawn from ``source``."""

    async def draw(disturbances: Disturbances) -> None:
        await disturbances.draw(source)

    return draw


NAMED: dict[str, tuple[int, Order]] = {
    "calm": (3, calm),
    "freezes in series": (3, freezes_in_series),
    "planned restart": (5, planned_restart),
}


async def ask(site: ProcessSite, per_second: float, until: Callable[[], bool]) -> None:
    """Send requests of the tenant to random gateways until ``until()``."""
    tasks = []
    source = random.Random(site.seed)
    begun, sent = site.loop.time(), 0
    while not until():
        await asyncio.sleep(0.005)
        while sent < (site.loop.time() - begun) * per_second:
            sent += 1
            request = site.send("single", source.randrange(len(site.nodes)), key=TENANT.keys[0])
            tasks.append(asyncio.create_task(request))
    await asyncio.gather(*tasks)


async def measure(seed: int, gateways: int, order: Order, folder: Path) -> dict[str, object]:
    """Return the figures of one order of disturbances."""
    site = ProcessSite(
        asyncio.get_running_loop(),
        seed=seed,
        folder=folder,
        node_count=gateways,
        copies=2,
        shards=1,
        singles=6,
        tenants=(TENANT,),
    )
    disturbances = Disturbances(site)
    try:
        await site.start()
        await asyncio.sleep(START_S)
        usual_until = site.loop.time() + USUAL_S
        await ask(site, USUAL_PER_S, lambda: site.loop.time() >= usual_until)
        over = asyncio.Event()
        asking = asyncio.create_task(ask(site, HOT_PER_S, over.is_set))
        await asyncio.sleep(SETTLE_S)
        await order(disturbances)
        await asyncio.sleep(TAIL_S)
        over.set()
        await asking
    finally:
        await site.close()
    most = site.ledger.max_in_window(TENANT.name, QUOTAS.window_s)
    return {"most": most, "allowed": ALLOWED, "gateways": gateways, "done": disturbances.done}


def main() -> None:
    """Measure named or drawn orders."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--orders", type=int, default=0, help="number of drawn orders")
    parser.add_argument("--first", type=int, default=1, help="seed of the first drawn order")
    parser.add_argument("--named", nargs="*", default=[], choices=sorted(NAMED))
    arguments = parser.parse_args()
    plays: list[tuple[str, int, int, Order]] = [(name, 1, *NAMED[name]) for name in arguments.named]
    for seed in range(arguments.first, arguments.first + arguments.orders):
        source = random.Random(f"orders {seed}")
        gateways = source.randint(*GATEWAYS)
        plays.append((f"seed {seed}", seed, gateways, drawn_order(source)))
    broken = False
    for name, seed, gateways, order in plays:
        with tempfile.TemporaryDirectory() as folder:
            figures = asyncio.run(measure(seed, gateways, order, Path(folder)))
        print(json.dumps({name: figures}), flush=True)
        broken |= float(str(figures["most"])) > ALLOWED
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
