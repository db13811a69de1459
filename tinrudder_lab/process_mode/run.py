"""One run of real processes: what faults may do to it."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import msgspec

from tinrudder.node.configuration_service.messages import MemberState
from tinrudder.node.resources.model import AnySpec, Kind
from tinrudder_lab.backend_server import ControlMessage
from tinrudder_lab.deployment import LOOPBACK
from tinrudder_lab.history import CallStage, NodeStage
from tinrudder_lab.platform_server import PlatformState, ResourceWrite
from tinrudder_lab.process_mode.callers import ProcessCallers
from tinrudder_lab.process_mode.cluster import PLATFORM, ProcessCluster
from tinrudder_lab.process_mode.exchange import send_request
from tinrudder_lab.process_mode.load_balancer import LoadBalancer
from tinrudder_lab.process_mode.recorder import Recorder

SpecType = TypeVar("SpecType")
START_TIMEOUT_S = 20.0


class ProcessRun:
    """The processes of one run, its callers and its history.

    A fault that would strike something that is down already strikes nothing.
    """

    def __init__(self, cluster: ProcessCluster) -> None:
        """Run on ``cluster``, of which nothing is started yet."""
        self.cluster = cluster
        self.recorder = Recorder()
        self.history = self.recorder.history
        self.balancer = LoadBalancer(list(cluster.nodes.values()), self.recorder)
        self.callers = ProcessCallers(cluster.topology, self.balancer, self.recorder)
        self._sleeping: set[str] = set()
        self._stopping: set[str] = set()
        self._running: list[asyncio.Task[None]] = []

    @property
    def sent_calls(self) -> int:
        """Return how many calls reached back ends; those on the way to a dead one are lost."""
        return sum(call.stage is CallStage.RECEIVED for call in self.history.calls)

    async def start(self) -> None:
        """Start everything and wait until all nodes are ready."""
        self.recorder.see_versions(self.cluster.first_state.document)
        await self.cluster.start_platform(self.cluster.first_state)
        self.cluster.start_backends()
        for name in self.cluster.nodes:
            self.cluster.start_node(name)
            self.recorder.see_node(name, NodeStage.STARTED)
        await self.balancer.wait_until_ready(list(self.cluster.nodes), START_TIMEOUT_S)

    def spawn(self, act: Coroutine[Any, Any, None]) -> None:
        """Run something beside the rest; :meth:`finish` waits for it."""
        self._running.append(asyncio.create_task(act))

    async def finish(self) -> None:
        """Wait until every fault has ended and every caller has its outcome."""
        while self._running:
            await self._running.pop()
        await self.callers.finish()

    # Nodes ---------------------------------------------------------------------------------

    def is_up(self, name: str) -> bool:
        """Tell whether a process runs and was not told to stop."""
        return (
            name in self.cluster.processes.running
            and name not in self._sleeping
            and name not in self._stopping
        )

    async def pause_node(self, name: str, seconds: float) -> None:
        """Let a node's process sleep; it wakes believing what it last saw."""
        if not self.is_up(name):
            return
        self.recorder.see_node(name, NodeStage.PAUSED)
        self._sleeping.add(name)
        self.cluster.processes.pause(name)
        try:
            await asyncio.sleep(seconds)
        finally:
            self.cluster.processes.resume(name)
            self._sleeping.discard(name)
            self.recorder.see_node(name, NodeStage.WOKEN)

    async def crash_node(self, name: str, restart_after_s: float) -> None:
        """Kill a node's process; a new one under the same name starts later."""
        if not self.is_up(name):
            return
        self.recorder.see_node(name, NodeStage.CRASHED)
        await asyncio.to_thread(self.cluster.processes.kill, name)
        await asyncio.sleep(restart_after_s)
        self._start_again(name)

    async def stop_node(self, name: str) -> None:
        """Stop a node as planned, then start a new one in its place."""
        if not self.is_up(name):
            return
        await self._list_node(name, MemberState.LEAVING)
        self._stopping.add(name)
        address = f"{LOOPBACK}:{self.cluster.nodes[name].peer_port}"
        self.recorder.see_node(name, NodeStage.STOP_BEGUN, address=address)
        self.cluster.processes.begin_stop(name)
        exit_code = await asyncio.to_thread(self.cluster.processes.wait, name)
        unfinished = self.cluster.unfinished_at_end(name, exit_code)
        self.recorder.see_node(name, NodeStage.STOPPED, unfinished)
        self._stopping.discard(name)
        await self._list_node(name, MemberState.LIVE)
        self._start_again(name)
        await self.balancer.wait_until_ready([name], START_TIMEOUT_S)

    def _start_again(self, name: str) -> None:
        self.cluster.start_node(name)
        self.balancer.node_started(name)
        self.recorder.see_node(name, NodeStage.STARTED)

    async def _list_node(self, name: str, state: MemberState) -> None:
        """Change the platform's list, if there is a platform now."""
        if self.is_up(PLATFORM):
            await self.cluster.set_member_state(name, state)

    # Back ends -----------------------------------------------------------------------------

    async def kill_backend(self, name: str, restart_after_s: float | None) -> None:
        """Kill a back end's process; it may come back."""
        if not self.is_up(name):
            return
        await asyncio.to_thread(self.cluster.processes.kill, name)
        self.recorder.note(f"{name} killed")
        if restart_after_s is not None:
            await asyncio.sleep(restart_after_s)
            self.cluster.start_backend_process(name)
            self.recorder.note(f"{name} started again")

    async def control_backend(self, name: str, message: ControlMessage) -> None:
        """Set a back end's behaviour."""
        port = self.cluster.deployment.backends[name].port
        await send_request(port, "POST", "/control", msgspec.json.encode(message))

    # Platform ------------------------------------------------------------------------------

    async def read_spec(self, kind: Kind, name: str, spec_type: type[SpecType]) -> SpecType:
        """Return a resource's specification as the platform holds it."""
        document = (await self.cluster.read_platform()).document
        raw = next(raw for raw in document.resources if (raw.kind, raw.name) == (kind.value, name))
        return msgspec.json.decode(raw.spec, type=spec_type)

    async def write_spec(self, kind: Kind, name: str, spec: AnySpec) -> int:
        """Write a resource to the platform; return the new revision."""
        write = ResourceWrite(kind.value, name, msgspec.Raw(msgspec.json.encode(spec)))
        body = await self.cluster.write_platform("/v1/resources", msgspec.json.encode(write))
        revision: int = msgspec.json.decode(body)["revision"]
        return revision

    async def restart_platform(
        self, seconds: float, meanwhile: PlatformState | None = None
    ) -> None:
        """Kill the platform for a while; it comes back with all that it held.

        :param meanwhile: an old copy that it is restored from for this time.
        """
        if not self.is_up(PLATFORM):
            return
        held = await self.cluster.read_platform()
        await asyncio.to_thread(self.cluster.processes.kill, PLATFORM)
        self._stopping.add(PLATFORM)
        self.recorder.note("platform killed")
        if meanwhile is not None:
            await self.cluster.start_platform(meanwhile)
            self.recorder.note(f"platform restored at revision {meanwhile.document.revision}")
        await asyncio.sleep(seconds)
        if meanwhile is not None:
            await asyncio.to_thread(self.cluster.processes.kill, PLATFORM)
        await self.cluster.start_platform(held)
        self._stopping.discard(PLATFORM)
        self.recorder.note(f"platform up at revision {held.document.revision}")
