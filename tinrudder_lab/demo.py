"""``make demo``: both deployments on this machine, with failures while callers query.

Fourteen nodes in seven zones, all back ends of both deployments, the platform's stand-in; a
back end drained, one killed, one configuration change and one planned node stop.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import aiosonic
import msgspec
from aiosonic.exceptions import AiosonicError

from tinrudder.api.outcome_mapping import OutcomeBody
from tinrudder.platform.messages import MemberList, PlatformMember, ResourceDocument
from tinrudder.resources.model import BackendSpec, Kind
from tinrudder_lab.backend_model import BackendCounters
from tinrudder_lab.backend_server import ControlMessage
from tinrudder_lab.deployment import (
    ARENA_REGION,
    ARENA_ZONES,
    LOOPBACK,
    PLATA_REGION,
    PLATA_ZONES,
    Deployment,
    QueryKind,
    build_deployment,
)
from tinrudder_lab.platform_server import PlatformState, ResourceWrite
from tinrudder_lab.processes import ProcessGroup

PLATFORM_PORT = 21000
FIRST_CALLER_PORT = 21100
FIRST_PEER_PORT = 21200
FIRST_BACKEND_PORT = 21300
NODES_PER_ZONE = 2
BACKEND_PROCESSES = 4
RUN_SECONDS = 20.0
WORKERS = 24
PAUSE_S = 0.08
START_TIMEOUT_S = 20.0
SERVICE_MS = 1.5
NOTICE_S = 0.3
CONNECTION_ERRORS = (OSError, AiosonicError)


@dataclass(frozen=True, slots=True)
class DemoNode:
    """One node process."""

    name: str
    zone: str
    region: str
    caller_port: int
    peer_port: int


@dataclass(slots=True)
class Tally:
    """What callers saw."""

    queries: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)
    latencies_ms: list[float] = field(default_factory=list)
    needed_shards: int = 0
    coverage: list[float] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    by_kind: dict[str, list[float]] = field(default_factory=dict)


class DemoResult(msgspec.Struct, frozen=True):
    """The last line of the demo."""

    queries: int
    complete: int
    partial: int
    not_run: int
    failed: int
    may_have_run: int
    p50_ms: float
    p99_ms: float
    coverage_mean: float
    extra_load: float
    violations: int


def make_nodes() -> list[DemoNode]:
    """Return two nodes a zone."""
    zones = [(PLATA_REGION, zone) for zone in PLATA_ZONES]
    zones += [(ARENA_REGION, zone) for zone in ARENA_ZONES]
    nodes = []
    for number, ((region, zone), copy) in enumerate(
        itertools.product(zones, range(NODES_PER_ZONE))
    ):
        nodes.append(
            DemoNode(
                f"{zone}-n{copy}",
                zone,
                region,
                FIRST_CALLER_PORT + number,
                FIRST_PEER_PORT + number,
            )
        )
    return nodes


class Demo:
    """One run."""

    def __init__(self, directory: Path) -> None:
        """Keep logs in ``directory``."""
        self.directory = directory
        self.processes = ProcessGroup(directory)
        self.nodes = make_nodes()
        self.deployment: Deployment = build_deployment(FIRST_BACKEND_PORT)
        self.tally = Tally()
        self.events: list[str] = []
        self.client = aiosonic.HTTPClient()
        self.random = random.Random(7)
        self.open_nodes = list(self.nodes)
        self.victim = "route-planning-1-b0"
        self.drained = "storefront-2-b1"
        self.dead_backends: set[str] = set()
        self.received_before = 0

    def start_processes(self) -> None:
        """Start the platform, the back ends and the nodes."""
        members = tuple(
            PlatformMember(node.name, node.zone, node.region, LOOPBACK, node.peer_port)
            for node in self.nodes
        )
        document = ResourceDocument(1, tuple(self.deployment.resources))
        state = PlatformState(document, MemberList(1, members))
        path = self.directory / "platform.json"
        path.write_bytes(msgspec.json.encode(state))
        self.processes.start(
            "platform",
            "tinrudder_lab.platform_server",
            "--port",
            str(PLATFORM_PORT),
            "--state",
            str(path),
        )
        self._start_backends()
        for node in self.nodes:
            self._start_node(node)

    def _start_backends(self) -> None:
        groups: list[list[str]] = [[] for _ in range(BACKEND_PROCESSES)]
        others = [name for name in self.deployment.backends if name != self.victim]
        for number, name in enumerate(others):
            groups[number % BACKEND_PROCESSES].append(name)
        groups.append([self.victim])
        for number, names in enumerate(groups):
            arguments = ["--service-ms", str(SERVICE_MS)]
            for name in names:
                spec = self.deployment.backends[name]
                arguments += ["--backend", f"{name}:{spec.port}:{spec.slots}"]
            process = "victim" if names == [self.victim] else f"backends-{number}"
            self.processes.start(process, "tinrudder_lab.backend_server", *arguments)

    def _start_node(self, node: DemoNode) -> None:
        flags = [
            f"--name={node.name}",
            f"--zone={node.zone}",
            f"--region={node.region}",
            f"--caller-port={node.caller_port}",
            f"--peer-port={node.peer_port}",
            f"--platform-url=http://{LOOPBACK}:{PLATFORM_PORT}",
        ]
        self.processes.start(node.name, "tinrudder.cli.main", "serve", *flags)

    async def run(self) -> DemoResult:
        """Query while things break."""
        await self._wait_until_ready()
        self.received_before = -await self._received_calls()
        end = time.monotonic() + RUN_SECONDS
        workers = [self._work(end, number) for number in range(WORKERS)]
        await asyncio.gather(self._break_things(), *workers)
        received = self.received_before + await self._received_calls()
        await self.client.aclose()
        return self._result(received / max(1, self.tally.needed_shards) - 1)

    async def _wait_until_ready(self) -> None:
        end = time.monotonic() + START_TIMEOUT_S
        for node in self.nodes:
            kind = next(kind for kind in self.deployment.query_kinds if kind.region == node.region)
            while time.monotonic() < end:
                try:
                    if (await self._query(node, kind))[0] == 200:
                        break
                except CONNECTION_ERRORS:
                    pass
                await asyncio.sleep(0.2)

    async def _work(self, end: float, number: int) -> None:
        """One caller: query, check, pause, again."""
        source = random.Random(number)
        while time.monotonic() < end:
            kind = source.choice(self.deployment.query_kinds)
            node = source.choice([node for node in self.open_nodes if node.region == kind.region])
            started = time.monotonic()
            try:
                _, body = await self._query(node, kind)
            except CONNECTION_ERRORS as error:
                self.tally.violations.append(f"{node.name}: request cut off: {error!r}")
                continue
            self._record(kind, body, (time.monotonic() - started) * 1000)
            await asyncio.sleep(PAUSE_S * source.random() * 2)

    async def _query(self, node: DemoNode, kind: QueryKind) -> tuple[int, OutcomeBody]:
        content = {"index": kind.index, "rule": kind.rule, "limit": 20}
        response = await self.client.post(
            f"http://{LOOPBACK}:{node.caller_port}/v1/query",
            headers={"Authorization": kind.caller.authorization},
            data=msgspec.json.encode(content),
        )
        body = await response.content()
        return response.status_code, msgspec.json.decode(body, type=OutcomeBody)

    def _record(self, kind: QueryKind, body: OutcomeBody, elapsed_ms: float) -> None:
        """Count one answer and check what it promises."""
        tally = self.tally
        tally.queries += 1
        tally.outcomes[body.outcome] = tally.outcomes.get(body.outcome, 0) + 1
        tally.latencies_ms.append(elapsed_ms)
        tally.by_kind.setdefault(kind.rule.rstrip("-0123456789"), []).append(elapsed_ms)
        if body.coverage is None:
            return
        tally.coverage.append(body.coverage.ratio)
        missing = (len(owner.missing) for owner in body.coverage.missing_by_owner.values())
        tally.needed_shards += len(body.coverage.included) + sum(missing)
        versions = {msgspec.json.decode(row)["version"] for row in body.rows}
        if versions - {body.version}:
            tally.violations.append(f"{body.query_id}: rows of versions {versions}")
        shards = {msgspec.json.decode(row)["row_id"].split("-")[0] for row in body.rows}
        if shards - set(body.coverage.included):
            tally.violations.append(f"{body.query_id}: rows of shards not in the coverage")

    async def _break_things(self) -> None:
        """The demo's failures, spread over the run."""
        step = RUN_SECONDS / 5
        await asyncio.sleep(step)
        await self._drain_backend()
        await asyncio.sleep(step)
        await self._kill_backend()
        await asyncio.sleep(step)
        await self._change_configuration()
        await asyncio.sleep(step)
        await self._stop_node()

    async def _received_calls(self) -> int:
        """Return how many calls the back ends that still run have received."""
        received = 0
        for name, spec in self.deployment.backends.items():
            if name not in self.dead_backends:
                received += (await self._counters(spec)).received
        return received

    async def _counters(self, spec: BackendSpec) -> BackendCounters:
        response = await self.client.post(f"http://{LOOPBACK}:{spec.port}/counters", data=b"{}")
        return msgspec.json.decode(await response.content(), type=BackendCounters)

    async def _kill_backend(self) -> None:
        counters = await self._counters(self.deployment.backends[self.victim])
        self.received_before += counters.received
        self.dead_backends.add(self.victim)
        self.processes.kill("victim")
        self.events.append(f"killed back end {self.victim}")

    async def _drain_backend(self) -> None:
        spec = self.deployment.backends[self.drained]
        await self.client.post(
            f"http://{LOOPBACK}:{spec.port}/control",
            data=msgspec.json.encode(ControlMessage(draining=True)),
        )
        self.events.append(f"drained back end {self.drained}")

    async def _change_configuration(self) -> None:
        name = "reseller-3-b0"
        old: BackendSpec = self.deployment.backends[name]
        spec = msgspec.structs.replace(old, slots=old.slots + 1)
        write = ResourceWrite(Kind.BACKEND.value, name, msgspec.Raw(msgspec.json.encode(spec)))
        await self.client.put(
            f"http://{LOOPBACK}:{PLATFORM_PORT}/v1/resources", data=msgspec.json.encode(write)
        )
        self.events.append(f"changed slots of {name}")

    async def _stop_node(self) -> None:
        node = self.nodes[3]
        self.open_nodes = [other for other in self.open_nodes if other is not node]
        await asyncio.sleep(NOTICE_S)
        self.processes.begin_stop(node.name)
        code = await asyncio.to_thread(self.processes.wait, node.name)
        self.events.append(f"stopped node {node.name} (exit {code})")
        if code != 0:
            self.tally.violations.append(f"{node.name}: planned stop ended with exit code {code}")

    def _result(self, extra_load: float) -> DemoResult:
        tally = self.tally
        count = tally.outcomes.get
        return DemoResult(
            queries=tally.queries,
            complete=count("complete", 0),
            partial=count("partial", 0),
            not_run=count("not_run", 0),
            failed=count("failed", 0),
            may_have_run=count("may_have_run", 0),
            p50_ms=percentile(tally.latencies_ms, 0.5),
            p99_ms=percentile(tally.latencies_ms, 0.99),
            coverage_mean=round(sum(tally.coverage) / max(1, len(tally.coverage)), 5),
            extra_load=round(extra_load, 5),
            violations=len(tally.violations),
        )


def percentile(values: list[float], share: float) -> float:
    """Return the value below which ``share`` of the values lie, 0.0 for none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 2)


def print_table(demo: Demo) -> None:
    """Print what happened and the latency of each kind of query."""
    for event in demo.events:
        print(f"  - {event}")
    print(f"{'query kind':<20}{'queries':>9}{'p50 ms':>10}{'p99 ms':>10}")
    for kind, values in sorted(demo.tally.by_kind.items()):
        line = f"{kind:<20}{len(values):>9}"
        print(f"{line}{percentile(values, 0.5):>10.1f}{percentile(values, 0.99):>10.1f}")
    for violation in demo.tally.violations[:20]:
        print(f"VIOLATION {violation}")


def main() -> int:
    """Run the demo; non-zero on any violation."""
    with tempfile.TemporaryDirectory(prefix="tinrudder-demo-") as directory:
        demo = Demo(Path(directory))
        try:
            demo.start_processes()
            result = asyncio.run(demo.run())
        finally:
            demo.processes.stop_all()
    print_table(demo)
    print(msgspec.json.encode(result).decode())
    return 1 if result.violations or result.queries == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
