"""Goodput by offered load: requests answered in time when the load exceeds back-end capacity.

Runs the emulator (real gateways, virtual time, emulated back ends) with several gateways and one
index.  Less urgent scatters make up the load; a few urgent ones are sent in addition.  Compares
two modes on the same seeds: ``none``, no admission control; ``gate``, scatters queue as a whole at
the gateway.

Run as ``python -m bench.overload [--ways gate,none] [--loads 1,2] [--seed 1]``.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import statistics
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from tinrudder.gateway.scatters.scatter_admission import ScatterAdmission
from tinrudder.gateway.scatters.waiting_scatter import Ticket
from tinrudder_lab.emulator.records import ClientResult
from tinrudder_lab.emulator.site import EmulatedSite, run_site

SHARDS = 6
REPLICAS = 2
SLOTS = 2
WORK_S = 0.03
WORK_SIGMA = 0.35
"""Standard deviation of the logarithm of work."""
GATEWAYS = 3
MEAN_WORK_S = WORK_S * 1.063
"""Mean of a log-normal distribution with this :data:`WORK_SIGMA`."""
CAPACITY_PER_S = REPLICAS * SLOTS / MEAN_WORK_S
"""Scatters per second that the back ends can complete; each calls every shard once."""
LOADS = (0.5, 0.8, 1.0, 1.5, 2.0, 4.0, 8.0)
URGENT_SHARE = 0.1
"""Rate of urgent scatters, as a fraction of capacity; sent in addition to the load."""
WARM_UP_S = 1.0
LOAD_S = 2.0
OBJECTIVE_S = 0.2
DEADLINE_MS = 2000
URGENT, NORMAL = 0, 1
URGENT_ROUTE = {"name": "urgent", "path_prefix": "/urgent/", "priority": URGENT}


@dataclass
class ClientRequest:
    """One client request and the number of its tries."""

    priority: int
    started_at: float
    tries: int = 0
    result: ClientResult | None = None

    @property
    def served(self) -> bool:
        """Return whether the last try was answered with status 200."""
        return self.result is not None and self.result.status == 200

    @property
    def took_s(self) -> float:
        """Return the latency of the last try, in seconds."""
        assert self.result is not None
        return self.result.ended_at - self.result.sent_at

    @property
    def in_time(self) -> bool:
        """Return whether the last try was answered within the objective."""
        return self.served and self.took_s <= OBJECTIVE_S


@dataclass(frozen=True)
class Row:
    """Figures of one mode at one load."""

    mode: str
    load: float
    goodput: float
    urgent: float
    median_s: float
    refused_tries: float
    other: int

    def __str__(self) -> str:
        """Return one line of the table."""
        return (
            f"{self.mode:9} {self.load:5.1f} {self.goodput:9.3f} {self.urgent:8.3f} "
            f"{self.median_s * 1000:8.1f} {self.refused_tries:8.2f} {self.other:6d}"
        )


async def send_with_retries(
    site: EmulatedSite, priority: int, source: random.Random, requests: list[ClientRequest]
) -> None:
    """Send one request, and retry it after refusals while its deadline allows."""
    one = ClientRequest(priority, site.loop.time())
    requests.append(one)
    left_ms = DEADLINE_MS
    while left_ms > 50:
        one.tries += 1
        prefix = "urgent" if priority == URGENT else "all"
        node = source.randrange(len(site.nodes))
        one.result = await site.send(
            "scatter", node, target=f"/{prefix}/{source.random()}", deadline_ms=left_ms
        )
        if one.result.status != 503:
            return
        pause_s = float(one.result.headers["retry-after"])
        left_ms = DEADLINE_MS - int((site.loop.time() - one.started_at) * 1000)
        if pause_s > left_ms / 3000:
            return
        await asyncio.sleep(pause_s)
        left_ms = DEADLINE_MS - int((site.loop.time() - one.started_at) * 1000)


async def traffic(
    site: EmulatedSite, seconds: float, rates: dict[int, float], source: random.Random
) -> list[ClientRequest]:
    """Send requests at random times, each priority at its rate."""
    requests: list[ClientRequest] = []
    tasks = []
    end = site.loop.time() + seconds
    total = sum(rates.values())
    while site.loop.time() < end:
        await asyncio.sleep(source.expovariate(total))
        urgent = source.random() * total < rates[URGENT]
        priority = URGENT if urgent else NORMAL
        tasks.append(site.loop.create_task(send_with_retries(site, priority, source, requests)))
    await asyncio.gather(*tasks)
    return requests


def admit_all(gate: ScatterAdmission, ticket: Ticket) -> None:
    """Start every scatter immediately, without admission control."""
    gate._start(ticket)


MODES: dict[str, Callable[[ScatterAdmission, Ticket], None]] = {
    "none": admit_all,
    "gate": ScatterAdmission.enter,
}


def simulate(mode: str, load: float, seed: int) -> Row:
    """Simulate one load in one mode."""

    async def scenario(site: EmulatedSite) -> Row:
        source = random.Random(seed)
        urgent = URGENT_SHARE * CAPACITY_PER_S
        warm_up_rates = {URGENT: urgent, NORMAL: 0.2 * CAPACITY_PER_S}
        await traffic(site, WARM_UP_S, warm_up_rates, source)
        started_at = site.loop.time()
        requests = await traffic(
            site, LOAD_S, {URGENT: urgent, NORMAL: load * CAPACITY_PER_S}, source
        )
        return summarize(mode, load, requests, started_at + LOAD_S)

    original_enter = ScatterAdmission.enter
    setattr(ScatterAdmission, "enter", MODES[mode])  # noqa: B010
    try:
        row: Row = run_site(
            scenario,
            seed=seed,
            node_count=GATEWAYS,
            shards=SHARDS,
            copies=REPLICAS,
            work_s=WORK_S,
            variants=(URGENT_ROUTE,),
        )
        return row
    finally:
        setattr(ScatterAdmission, "enter", original_enter)  # noqa: B010


def summarize(mode: str, load: float, requests: list[ClientRequest], end: float) -> Row:
    """Return the figures of one run; goodput is a fraction of the back ends' capacity.

    Answers after the end of the load do not count as goodput.
    """
    in_time = [
        one
        for one in requests
        if one.in_time and one.result is not None and one.result.ended_at < end
    ]
    urgent = [one for one in requests if one.priority == URGENT]
    served = [one.took_s for one in requests if one.served]
    ends = [one.result.status for one in requests if one.result is not None]
    other = sum(1 for status in ends if status not in (200, 503))
    refused = sum(one.tries - one.served for one in requests) / max(1, len(requests))
    return Row(
        mode,
        load,
        len(in_time) / (CAPACITY_PER_S * LOAD_S),
        sum(1 for one in urgent if one.in_time) / max(1, len(urgent)),
        statistics.median(served) if served else 0.0,
        refused,
        other,
    )


def main(arguments: Any = None) -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--ways", default=",".join(MODES))
    parser.add_argument("--loads", default=",".join(str(load) for load in LOADS))
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    print(f"capacity {CAPACITY_PER_S:.0f} scatters a second, {GATEWAYS} gateways, {SHARDS} shards")
    print("way        load   goodput   urgent  median  refused  other")
    print("                (of cap.) in time     (ms)  a query  errors")
    for load in options.loads.split(","):
        for mode in options.ways.split(","):
            print(simulate(mode, float(load), options.seed), flush=True)


if __name__ == "__main__":
    main()
