"""Runs processes of two builds together, as during a rolling upgrade, and checks them.

    python -m tinrudder_lab.mixed_builds gateways --other CHECKOUT [--seed N] [--gateways N]
    python -m tinrudder_lab.mixed_builds nodes --other CHECKOUT

CHECKOUT is a directory with the other build and a virtual environment in ``.venv``.  Half of the
processes of every zone run from there.  Owns the choice of the build for each process and the
search of the logs; relies on the soak's site, faults and checks for gateways, and on the demo for
nodes.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from tinrudder_lab.demo import (
    KILLED_BACKEND,
    Demo,
    DemoResult,
    has_passed,
    print_table,
    result_of,
    run_demo,
)
from tinrudder_lab.demo_cluster import DemoCluster
from tinrudder_lab.processes import ProcessGroup
from tinrudder_lab.soak import faults
from tinrudder_lab.soak.process_site import REVOCATION_S, ProcessSite
from tinrudder_lab.soak.proxy import LinkMode
from tinrudder_lab.soak.run import (
    ROUTES,
    SETTLE_S,
    START_S,
    find_violations,
    send_crashing_requests,
    send_over_quota,
)

GATEWAYS = 12
"""Number of gateway processes; from this number on coordinators run scatters for others."""
REQUESTS_PER_SECOND = 40.0
CALM_S = 4.0
"""Seconds of traffic without faults, once before the faults and once after them."""
FAULTS_S = 14.0
"""Seconds within which all faults are injected and end."""
SUSPECT_WORDS = ("malformed", "unreadable", "unknown message", "exception", "Traceback", "failed:")
"""Lines with such words are reported: neither build may misread messages of the other or fail."""
EXPECTED_WORDS = ("unreadable_load_report",)
"""Events with such a word that the emulated back ends cause on purpose."""
NOT_LISTENING = "ConnectionRefusedError"
"""A peer that is starting, or is down for a fault, refuses connections: no message was misread."""


@dataclass
class MixedProcesses(ProcessGroup):
    """Starts half of the processes of ``module`` from the other checkout.

    :param other: the other checkout; ``None`` runs all processes from this one.
    :param module: module whose processes alternate; all others run from this checkout.
    :param builds: build of each alternating process, by the process's name.
    """

    other: Path | None = None
    module: str = ""
    builds: dict[str, str] = field(default_factory=dict)

    async def start(self, name: str, module: str, *arguments: str) -> None:
        """Run ``python -m module``, from the other checkout for half of the names."""
        if module == self.module and name not in self.builds:
            # Zones alternate between processes; own, other, other, own puts both builds in each.
            other = len(self.builds) % 4 in (1, 2)
            self.builds[name] = "other" if other and self.other is not None else "own"
        if self.builds.get(name) != "other" or self.other is None:
            await super().start(name, module, *arguments)
            return
        command = (str(self.other / ".venv/bin/python"), "-m", module, *arguments)
        with self.log_of(name).open("ab") as log:
            # The working directory is first on Python's path, so it selects the build.
            self._processes[name] = await asyncio.create_subprocess_exec(
                *command, stdout=log, stderr=log, cwd=self.other
            )


class MixedResult(msgspec.Struct, frozen=True):
    """The result of a run with gateways of two builds.

    :param served_before: share of requests served before the first fault.
    :param served_after: share of requests served after the last fault.
    :param coordinated: number of delegated scatters by the builds of both gateways, as
        ``entry>coordinator``.
    :param suspect_lines: log lines that report a message which could not be decoded, or an error.
    """

    seed: int
    builds: dict[str, int]
    requests: int
    served_before: float
    served_after: float
    statuses_calm: dict[str, int]
    coordinated: dict[str, int]
    events: dict[str, int]
    broken: list[str]
    suspect_lines: list[str]


async def run_gateways(other: Path | None, seed: int, count: int, folder: Path) -> MixedResult:
    """Run gateways of two builds without faults, with faults, and without faults again."""
    loop = asyncio.get_running_loop()
    site = ProcessSite(
        loop,
        seed=seed,
        folder=folder,
        node_count=count,
        tenants=faults.TENANTS,
        revocation_s=REVOCATION_S,
    )
    site.processes = MixedProcesses(folder, other=other, module="tinrudder.cli.gateway_process")
    try:
        await site.start()
        await asyncio.sleep(START_S)
        first = await _send_calm_traffic(site)
        await asyncio.gather(
            site.traffic(FAULTS_S, REQUESTS_PER_SECOND, ROUTES),
            send_over_quota(site, FAULTS_S),
            send_crashing_requests(site, FAULTS_S),
            _inject_faults(site),
        )
        await asyncio.sleep(SETTLE_S)
        last = await _send_calm_traffic(site)
        served_before, served_after = _served_share(first), _served_share(last)
        return MixedResult(
            seed,
            dict(Counter(site.processes.builds.values())),
            len(site.ledger.results),
            served_before,
            served_after,
            dict(Counter(str(status) for status in first + last)),
            dict(count_coordinated(site.processes)),
            dict(Counter(str(line.get("event")) for line in _lines(site.processes))),
            find_violations(site, min(served_before, served_after)),
            find_suspect_lines(site.processes),
        )
    finally:
        await site.close()


async def _send_calm_traffic(site: ProcessSite) -> list[int]:
    """Send requests for ``CALM_S``; return their statuses."""
    before = len(site.ledger.results)
    await site.traffic(CALM_S, REQUESTS_PER_SECOND, ROUTES)
    return [result.status for result in site.ledger.results[before:]]


def _served_share(statuses: list[int]) -> float:
    return sum(status == 200 for status in statuses) / max(1, len(statuses))


async def _inject_faults(site: ProcessSite) -> None:
    """Change configurations, reset store links, stop a gateway of each build, and kill one."""
    own, other = site.nodes[2], site.nodes[3]
    await asyncio.sleep(1.0)
    await faults.configure(site)
    await faults.revoke_key(site)
    for node in (own, other):
        site.links[node.name].set_mode(LinkMode.RESETTING)
    await asyncio.sleep(2.0)
    await faults.change_limit(site)
    for node in (own, other):
        site.links[node.name].set_mode(LinkMode.PASSING)
    for node in (own, other):
        site.signal_node(node, signal.SIGTERM)
        code = await site.wait_for_end(node)
        if code != 0:
            site.problems.append(f"planned stop: {node.name} ended with {code}")
        await site.launch(node)
    await faults.kill(site)
    await faults.configure(site)


def _lines(processes: MixedProcesses) -> Iterator[dict[str, object]]:
    """Yield the log lines of all alternating processes; a line that is not JSON as ``text``."""
    for name in processes.builds:
        for text in processes.log_of(name).read_text(errors="replace").splitlines():
            try:
                yield {**json.loads(text), "process": name}
            except ValueError:
                yield {"event": "", "process": name, "text": text}


def count_coordinated(processes: MixedProcesses) -> Counter[str]:
    """Count delegated scatters by the builds of the entry gateway and the coordinator."""
    entries: dict[object, str] = {}
    coordinators: dict[object, str] = {}
    for line in _lines(processes):
        if line.get("event") == "request":
            entries[line.get("request")] = processes.builds[str(line["process"])]
        elif line.get("event") == "coordinated":
            coordinators[line.get("request")] = processes.builds[str(line["process"])]
    pairs = (f"{entries[one]}>{build}" for one, build in coordinators.items() if one in entries)
    return Counter(pairs)


def find_suspect_lines(processes: MixedProcesses) -> list[str]:
    """Return the log lines with suspect words, each after the build that wrote it."""
    found = []
    for line in _lines(processes):
        text = json.dumps(line)
        expected = line.get("event") in EXPECTED_WORDS or NOT_LISTENING in text
        if not expected and any(word in text for word in SUSPECT_WORDS):
            found.append(f"{processes.builds[str(line['process'])]}: {text}")
    return found


def run_nodes(other: Path | None, folder: Path) -> tuple[DemoResult, list[str]]:
    """Run the demo with half of the nodes of the other build; return result and suspect lines."""
    cluster = DemoCluster(folder, KILLED_BACKEND)
    processes = MixedProcesses(folder, other=other, module="tinrudder.cli.main")
    cluster.processes = processes
    demo = Demo(cluster)
    extra_load = asyncio.run(run_demo(demo))
    result = result_of(demo, extra_load)
    print_table(demo)
    print("builds:", dict(Counter(processes.builds.values())))
    return result, find_suspect_lines(processes)


def main() -> int:
    """Run the programs that the command line names; 1 on a failed check or a suspect log line."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("programs", choices=("gateways", "nodes"))
    parser.add_argument("--other", type=Path, help="checkout of the other build; default: none")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--gateways", type=int, default=GATEWAYS)
    parser.add_argument("--folder", type=Path, help="directory for settings and logs")
    parsed = parser.parse_args()
    folder = parsed.folder or Path(tempfile.mkdtemp(prefix="tinrudder-mixed-"))
    folder.mkdir(parents=True, exist_ok=True)
    random.seed(parsed.seed)
    if parsed.programs == "nodes":
        nodes, suspect = run_nodes(parsed.other, folder)
        print("\n".join(suspect))
        print(msgspec.json.encode(nodes).decode())
        return 0 if has_passed(nodes) and not suspect else 1
    gateways = asyncio.run(run_gateways(parsed.other, parsed.seed, parsed.gateways, folder))
    print(msgspec.json.encode(gateways).decode())
    return 1 if gateways.broken or gateways.suspect_lines else 0


if __name__ == "__main__":
    sys.exit(main())
