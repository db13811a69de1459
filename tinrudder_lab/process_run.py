"""``--mode process``: real processes over loopback TCP, really stopped, paused and killed.

The same promises are checked on the same kind of history.  Times are real, so two runs of one
seed differ.
"""

from __future__ import annotations

import asyncio
import random
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import aiosonic
import msgspec

from tinrudder.resources.model import BackendSpec, BackendState, IndexSpec, Kind, ServiceSpec
from tinrudder_lab.backend_server import ControlMessage
from tinrudder_lab.checkers.all import check_history
from tinrudder_lab.deployment import LOOPBACK
from tinrudder_lab.history import (
    CallStage,
    DrainSigned,
    FaultSet,
    History,
    VersionPublished,
)
from tinrudder_lab.measures import Deployed, plain_result
from tinrudder_lab.platform_server import ResourceWrite
from tinrudder_lab.process_callers import ProcessCallers
from tinrudder_lab.process_cluster import ProcessCluster
from tinrudder_lab.report import RunResult

VICTIM = "gate-b1"
WARM_UP_S = 6.0
SETTLE_S = 1.0


class SimulationOnlyError(Exception):
    """The scenario needs faults that only the simulator has."""


@dataclass(eq=False)
class ProcessRun:
    """One run: its processes, its client and its history."""

    cluster: ProcessCluster
    client: aiosonic.HTTPClient
    history: History

    def note(self, text: str) -> None:
        """Record a fault."""
        self.history.faults.append(FaultSet(self.cluster.now(), text))

    async def drain_by_answer(self, name: str) -> None:
        """Let a back end say that it leaves."""
        spec = self.cluster.deployment.backends[name]
        body = msgspec.json.encode(ControlMessage(draining=True))
        await self.client.post(f"http://{LOOPBACK}:{spec.port}/control", data=body)
        self.history.drains.append(DrainSigned(self.cluster.now(), name))

    async def drain_by_configuration(self, name: str) -> None:
        """Declare a back end draining."""
        spec = self.cluster.deployment.backends[name]
        await self.write(name, msgspec.structs.replace(spec, state=BackendState.DRAINING))
        self.history.drains.append(DrainSigned(self.cluster.now(), name))

    async def change_slots(self, name: str) -> None:
        """Change a back end's slots, so that a new revision has to get into force."""
        spec = self.cluster.deployment.backends[name]
        await self.write(name, msgspec.structs.replace(spec, slots=spec.slots + 1))

    async def write(self, name: str, spec: BackendSpec) -> None:
        """Write a back end to the platform."""
        write = ResourceWrite(Kind.BACKEND.value, name, msgspec.Raw(msgspec.json.encode(spec)))
        url = f"{self.cluster.platform_url}/v1/resources"
        await self.client.put(url, data=msgspec.json.encode(write))
        self.note(f"wrote {name}")


Act = Callable[[ProcessRun], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class TimedAct:
    """A fault and when it strikes, seconds after the warm-up."""

    at: float
    act: Act


async def _kill_victim(run: ProcessRun) -> None:
    run.note(f"killed {VICTIM}")
    run.cluster.kill_victim()


def _pause(node: str, seconds: float) -> Act:
    return lambda run: run.cluster.pause_node(node, seconds)


def _stop(node: str) -> Act:
    return lambda run: run.cluster.stop_node(node)


def _crash(node: str) -> Act:
    return lambda run: run.cluster.crash_node(node)


def _acts(scenario: str, source: random.Random) -> list[TimedAct]:
    """Return a scenario's faults.

    :raises SimulationOnlyError: it has none that real processes can show.
    """
    drain = TimedAct(2.0, lambda run: run.drain_by_answer("finance-b0"))
    declare = TimedAct(4.0, lambda run: run.drain_by_configuration("telemetry-b1"))
    change = TimedAct(1.0, lambda run: run.change_slots("finance-b1"))
    platform = TimedAct(3.0, lambda run: run.cluster.pause_platform(6.0))
    kill = TimedAct(2.0, _kill_victim)
    stops = [TimedAct(1.0, _stop("mvd-a-n0")), TimedAct(5.0, _stop("chm-b-n0"))]
    pauses = [TimedAct(1.0, _pause("chm-a-n0", 4.0)), TimedAct(2.0, _pause("mvd-b-n0", 1.0))]
    crash = TimedAct(7.0, _crash("chm-c-n0"))
    by_name = {
        "steady": [],
        "drain": [drain, declare],
        "replica-loss": [kill],
        "rolling-stop": stops,
        "paused-node": [*pauses, declare],
        "config-down": [change, platform, crash],
        "duplicate-purchase": [*pauses, kill, crash],
    }
    if scenario == "everything":
        drawn = source.sample(
            [drain, declare, change, platform, kill, crash, stops[0], pauses[0]], 4
        )
        return sorted(drawn, key=lambda one: one.at)
    if scenario not in by_name:
        raise SimulationOnlyError(f"{scenario}: not in process mode; has {sorted(by_name)}")
    return by_name[scenario]


def run_in_processes(scenario: str, seed: int, duration_s: float = 12.0) -> RunResult:
    """Run a scenario on real processes.

    :raises SimulationOnlyError: the scenario needs the simulator.
    """
    acts = _acts(scenario, random.Random(f"process/{seed}"))
    history = History()
    with tempfile.TemporaryDirectory(prefix="tinrudder-lab-") as directory:
        cluster = ProcessCluster(Path(directory), VICTIM, history)
        try:
            cluster.start()
            asyncio.run(_run(cluster, acts, seed, duration_s))
            cluster.collect()
        finally:
            cluster.processes.stop_all()
    deployed = Deployed("process", len(cluster.nodes), len(cluster.deployment.backends))
    received = sum(1 for call in history.calls if call.stage is CallStage.RECEIVED)
    violations = check_history(history)
    return plain_result(scenario, seed, "default", deployed, history, received, violations)


async def _run(cluster: ProcessCluster, acts: list[TimedAct], seed: int, duration_s: float) -> None:
    """Warm up, let callers work while the faults strike, settle."""
    _see_versions(cluster)
    client = aiosonic.HTTPClient()
    run = ProcessRun(cluster, client, cluster.history)
    callers = ProcessCallers(cluster, client, seed)
    await callers.wait_until_ready()
    await asyncio.sleep(WARM_UP_S)
    striking = [asyncio.create_task(_strike(run, act)) for act in acts]
    await callers.work(duration_s)
    await asyncio.gather(*striking)
    await asyncio.sleep(SETTLE_S)
    await client.aclose()


async def _strike(run: ProcessRun, timed: TimedAct) -> None:
    await asyncio.sleep(timed.at)
    await timed.act(run)


def _see_versions(cluster: ProcessCluster) -> None:
    """Record the index versions that are deployed."""
    specs = {(raw.kind, raw.name): raw.spec for raw in cluster.deployment.resources}
    for (kind, name), raw in specs.items():
        if kind == Kind.INDEX.value:
            index = msgspec.json.decode(raw, type=IndexSpec)
            service = msgspec.json.decode(
                specs[Kind.SERVICE.value, index.service], type=ServiceSpec
            )
            for version in index.versions:
                shards = tuple(shard.shard for shard in version.shards)
                cluster.history.versions.append(
                    VersionPublished(0.0, name, version.version, shards, service.tenants)
                )
