"""Real processes of one run: the platform, back ends that record, and nodes, on loopback."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

import msgspec

from tinrudder_lab.demo_cluster import BACKEND_OFFSET, DemoCluster, DemoNode, find_free_block
from tinrudder_lab.deployment import LOOPBACK
from tinrudder_lab.history import CallSeen, History, NodeSeen, NodeStage, RevisionSeen
from tinrudder_lab.sim.node_host import CLAIM_WINDOW_S, CLOCK_SKEW_S
from tinrudder_lab.topology import both_deployments_resources

NOTICE_S = 0.3
RESTART_S = 0.5
IN_FORCE = "configuration in force"


class _LogLine(msgspec.Struct, frozen=True):
    """The fields of a node's log line that the lab reads."""

    event: str
    time: float = 0.0
    revision: int = 0


class ProcessCluster(DemoCluster):
    """One node a zone; node starts are numbered, each with a log file of its own."""

    def __init__(self, directory: Path, victim: str, history: History) -> None:
        """Write what happens into ``history``; times count from now."""
        super().__init__(directory, victim)
        self.history = history
        self.started_at = time.time()
        first_port = find_free_block()
        self.nodes = [node for node in self.nodes if node.name.endswith("-n0")]
        self.deployment = both_deployments_resources(first_port + BACKEND_OFFSET)
        self.open = {node.name: node for node in self.nodes}
        self._starts: dict[str, int] = {}

    def now(self) -> float:
        """Return seconds since the start of the run."""
        return time.time() - self.started_at

    def see(self, node: str, stage: NodeStage) -> None:
        """Record something that happened to a node."""
        self.history.nodes.append(NodeSeen(self.now(), node, stage))

    def _start_backend_process(self, process: str, names: list[str]) -> None:
        arguments = ["--service-ms", "1.5", "--history", str(self.directory / f"{process}.calls")]
        for name in names:
            spec = self.deployment.backends[name]
            arguments += ["--backend", f"{name}:{spec.port}:{spec.slots}"]
        self.processes.start(process, "tinrudder_lab.backend_server", *arguments)

    def _start_node(self, node: DemoNode) -> None:
        number = self._starts.get(node.name, 0) + 1
        self._starts[node.name] = number
        flags = [
            f"--name={node.name}",
            f"--zone={node.zone}",
            f"--region={node.region}",
            f"--caller-port={node.caller_port}",
            f"--peer-port={node.peer_port}",
            f"--platform-url={self.platform_url}",
            f"--claim-window-s={CLAIM_WINDOW_S}",
            f"--clock-skew-s={CLOCK_SKEW_S}",
        ]
        self.processes.start(self._process(node.name), "tinrudder.cli.main", "serve", *flags)
        self.see(node.name, NodeStage.STARTED)

    def _process(self, node: str) -> str:
        return f"{node}.{self._starts[node]}"

    async def stop_node(self, name: str) -> None:
        """Stop a node as planned and start a new one in its place."""
        node = self.open.pop(name)
        await asyncio.sleep(NOTICE_S)
        self.see(name, NodeStage.STOP_BEGUN)
        self.processes.begin_stop(self._process(name))
        code = await asyncio.to_thread(self.processes.wait, self._process(name))
        self.see(name, NodeStage.STOPPED if code == 0 else NodeStage.CRASHED)
        await self._restart(node)

    async def crash_node(self, name: str) -> None:
        """Kill a node and start a new one in its place."""
        node = self.open.pop(name)
        self.see(name, NodeStage.CRASHED)
        self.processes.kill(self._process(name))
        await self._restart(node)

    async def pause_node(self, name: str, seconds: float) -> None:
        """Stop a node's process with SIGSTOP for a while."""
        node = self.open.pop(name)
        process = self.processes.running[self._process(name)]
        self.see(name, NodeStage.PAUSED)
        process.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            process.send_signal(signal.SIGCONT)
            self.see(name, NodeStage.WOKEN)
        self.open[name] = node

    async def pause_platform(self, seconds: float) -> None:
        """Let the platform answer nobody for a while."""
        process = self.processes.running["platform"]
        process.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            process.send_signal(signal.SIGCONT)

    async def _restart(self, node: DemoNode) -> None:
        await asyncio.sleep(RESTART_S)
        self._start_node(node)
        while not await _listens(node.caller_port):
            await asyncio.sleep(0.1)
        self.open[node.name] = node

    def collect(self) -> None:
        """Read what back ends and nodes recorded into the history."""
        for path in sorted(self.directory.glob("*.calls")):
            for line in path.read_bytes().splitlines():
                call = msgspec.json.decode(line, type=CallSeen)
                at = call.at - self.started_at
                self.history.calls.append(msgspec.structs.replace(call, at=at))
        self.history.calls.sort(key=lambda call: call.at)
        for node, starts in sorted(self._starts.items()):
            for number in range(1, starts + 1):
                self._collect_revisions(node, number)
        self.history.revisions.sort(key=lambda seen: seen.at)
        self.history.finished_at = self.now()

    def _collect_revisions(self, node: str, number: int) -> None:
        for line in (self.directory / f"{node}.{number}.log").read_bytes().splitlines():
            try:
                entry = msgspec.json.decode(line, type=_LogLine)
            except msgspec.MsgspecError:
                continue
            if entry.event == IN_FORCE:
                at = entry.time - self.started_at
                self.history.revisions.append(RevisionSeen(at, node, number, entry.revision))


async def _listens(port: int) -> bool:
    """Tell whether something accepts connections."""
    try:
        _, writer = await asyncio.open_connection(LOOPBACK, port)
    except OSError:
        return False
    writer.close()
    return True
