"""A simulated deployment: machines, back ends, platform and callers around real node code."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine
from typing import Any

from tinrudder.node.backends.messages import SearchRequest
from tinrudder.node.configuration_service.messages import (
    MemberList,
    MemberState,
    PlatformMember,
    ResourceDocument,
)
from tinrudder.peers import PeerAddress
from tinrudder_lab.backend_model import BackendBehaviour, BackendModel
from tinrudder_lab.datasets import ShardStore
from tinrudder_lab.history import (
    CallStage,
    DrainSigned,
    FaultSet,
    History,
    NodeSeen,
    NodeStage,
    RevisionSeen,
)
from tinrudder_lab.history_events import call_events, version_events
from tinrudder_lab.platform_server import PlatformState, ResourceWrite
from tinrudder_lab.sim.backends import SimBackend, SimBackendTransport
from tinrudder_lab.sim.loop import Machine, MachineLoop
from tinrudder_lab.sim.network import Cut, Location, Network
from tinrudder_lab.sim.node_host import NEVER, NodeHost, make_host
from tinrudder_lab.sim.peers import PeerDirectory, SimPeerTransport
from tinrudder_lab.sim.platform import SimPlatform, SimPlatformService
from tinrudder_lab.topology import Topology

PEER_PORT = 8081
LOAD_BALANCER_LAG_S = 0.5
MAX_CLOCK_OFFSET_S = 0.2


class World:
    """The state of one simulated run."""

    def __init__(self, topology: Topology, seed: int, loop: MachineLoop) -> None:
        """Build back ends and platform; :meth:`start_node` starts nodes."""
        self.topology = topology
        self.loop = loop
        self.random = random.Random(f"world/{seed}")
        self.history = History()
        self.network = Network(loop, random.Random(f"network/{seed}"))
        self.peer_directory = PeerDirectory()
        self.seed = seed
        self.zone_of = {zone.name: zone for zone in topology.zones}
        self.backends = {name: self._make_backend(name) for name in topology.deployment.backends}
        self.members = self._make_members()
        document = ResourceDocument(1, tuple(topology.deployment.resources))
        self.platform = SimPlatformService(PlatformState(document, MemberList(1, self.members)))
        self.platform.record_state(0.0)
        self._record_versions(document)
        self.hosts: dict[str, NodeHost] = {}
        self.starts = 0
        self._declared_drains: dict[int, str] = {}
        self.errors: list[str] = []
        self.closed = False
        self._transports: list[SimBackendTransport] = []
        self._running: set[asyncio.Task[None]] = set()

    def now(self) -> float:
        """Return seconds since the start of the run."""
        return float(self.loop.time())

    async def sleep(self, seconds: float) -> None:
        """Let virtual time pass."""
        await asyncio.sleep(seconds)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a task of the lab concurrently with the nodes."""
        task = self.loop.create_task(coroutine)
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    @property
    def sent_calls(self) -> int:
        """Return how many calls all nodes have sent to back ends."""
        return sum(transport.sent for transport in self._transports)

    def _make_backend(self, name: str) -> SimBackend:
        spec = self.topology.deployment.backends[name]
        behaviour = BackendBehaviour(
            slots=spec.slots, service_median_s=self.topology.service_median_s
        )
        source = random.Random(f"backend/{self.seed}/{name}")
        model = BackendModel(name, self.loop, source, _STORE, behaviour)
        model.observer = lambda stage, request, node: self._record_call(name, stage, request, node)
        return SimBackend(model, Location(spec.zone, self.zone_of[spec.zone].region))

    def _make_members(self) -> tuple[PlatformMember, ...]:
        members = []
        for number, zone in enumerate(self.topology.zones):
            for copy in range(self.topology.nodes_per_zone):
                name = f"{zone.name}-n{copy}"
                host = f"10.0.{number}.{copy + 1}"
                members.append(PlatformMember(name, zone.name, zone.region, host, PEER_PORT))
        return tuple(members)

    def _record_call(
        self, backend: str, stage: CallStage, request: SearchRequest, node: str
    ) -> None:
        at = round(self.now(), 6)
        self.history.calls.extend(call_events(at, backend, stage, request, node))

    def _record_versions(self, document: ResourceDocument) -> None:
        """Record index versions that are new in a document."""
        known = {(event.index, event.version) for event in self.history.versions}
        for event in version_events(round(self.now(), 6), document):
            if (event.index, event.version) not in known:
                self.history.versions.append(event)

    def record_fault(self, text: str) -> None:
        """Record that a fault was turned on or off."""
        self.history.faults.append(FaultSet(round(self.now(), 6), text))

    def record_node_event(self, name: str, stage: NodeStage, unfinished: int = 0) -> None:
        """Record an event in the life of a node."""
        member = next(member for member in self.members if member.name == name)
        address = f"{member.host}:{member.port}"
        self.history.nodes.append(NodeSeen(round(self.now(), 6), name, stage, unfinished, address))

    # Nodes ---------------------------------------------------------------------------------

    def start_node(self, name: str) -> NodeHost:
        """Start a node's process on a new machine."""
        member = next(member for member in self.members if member.name == name)
        offset_s = self.random.uniform(-MAX_CLOCK_OFFSET_S, MAX_CLOCK_OFFSET_S)
        machine = Machine(name, member.zone, member.region, offset_s)
        self.starts += 1
        address = PeerAddress(member.host, member.port)
        peers = SimPeerTransport(address, machine, self.network, self.peer_directory)
        backends = SimBackendTransport(machine, self.network, self.backends)
        self._transports.append(backends)
        platform = SimPlatform(self.platform, machine, self.network)
        source = random.Random(f"node/{self.seed}/{name}/{self.starts}")
        host = make_host(machine, self.loop, backends, peers, platform, source, self.starts)
        self.hosts[name] = host
        self.record_node_event(name, NodeStage.STARTED)
        self.loop.create_task(host.serve(), context=machine.context)
        return host

    def crash_node(self, name: str) -> None:
        """Kill a node's process."""
        host = self.hosts[name]
        self.record_node_event(name, NodeStage.CRASHED)
        self._end_machine(host)

    def _end_machine(self, host: NodeHost) -> None:
        host.accepting = False
        host.machine.crash()
        host.backends.abort()
        host.peers.disconnect()
        host.ended.set()

    def pause_node(self, name: str, seconds: float, *, clock_frozen: bool = False) -> None:
        """Pause a node's process for some seconds, and its monotonic clock if ``clock_frozen``."""
        host = self.hosts[name]
        if host.machine.paused or host.machine.crashed:
            return
        self.record_node_event(name, NodeStage.PAUSED)
        host.machine.pause()
        host.unhealthy_at = self.now() + LOAD_BALANCER_LAG_S
        frozen_s = seconds if clock_frozen else 0.0
        self.loop.call_later(seconds, self._resume_node, host, frozen_s)

    def _resume_node(self, host: NodeHost, frozen_s: float) -> None:
        if host.machine.crashed:
            return
        self.record_node_event(host.machine.name, NodeStage.WOKEN)
        host.machine.resume(self.loop, frozen_s)
        host.unhealthy_at = NEVER

    async def stop_node(self, name: str) -> None:
        """Stop a node as planned: it accepts no new requests, finishes open ones, then exits."""
        host = self.hosts[name]
        if host.stopping:
            await host.ended.wait()
            return
        host.stopping = True
        self.record_node_event(name, NodeStage.STOP_BEGUN)
        self.loop.call_later(LOAD_BALANCER_LAG_S, setattr, host, "accepting", False)
        self.loop.create_task(host.stop(), context=host.machine.context)
        await host.ended.wait()
        if not host.machine.crashed:
            unfinished = host.peers.unfinished_at_close + host.in_flight
            self.record_node_event(name, NodeStage.STOPPED, unfinished)
            self._end_machine(host)

    # Back ends and platform ----------------------------------------------------------------

    def record_drain(self, backend: str) -> None:
        """Record the first signal that a back end is draining."""
        self.history.drains.append(DrainSigned(round(self.now(), 6), backend))

    def expect_drain(self, revision: int, backend: str) -> None:
        """Record a drain once some node enforces the revision that declares it."""
        self._declared_drains[revision] = backend

    def write_resource(self, write: ResourceWrite) -> int:
        """Write to the platform as an operator does."""
        revision = self.platform.state.write(write)
        self._record_versions(self.platform.state.document)
        self.platform.record_state(self.now())
        return revision

    def set_member_state(self, name: str, state: MemberState) -> None:
        """Change a node's state in the platform's member list."""
        self.platform.state.set_member_state(name, state)
        self.platform.record_state(self.now())

    def cut(self, sources: frozenset[str], destinations: frozenset[str], seconds: float) -> None:
        """Partition places from others, one way, for some seconds.

        Nodes on both sides count as isolated, because none of them can know all that others know.
        """
        cut = Cut(sources, destinations)
        self.network.cuts.append(cut)
        names = [m.name for m in self.members if {m.zone, m.region} & (sources | destinations)]
        for name in names:
            self.record_node_event(name, NodeStage.ISOLATED)
        self.loop.call_later(seconds, self._heal, cut, names)

    def _heal(self, cut: Cut, names: list[str]) -> None:
        self.network.cuts.remove(cut)
        for name in names:
            self.record_node_event(name, NodeStage.REJOINED)

    async def finish_running(self) -> None:
        """Wait for all spawned tasks, including callers."""
        while self._running:
            await asyncio.wait(tuple(self._running))

    def sample_revisions(self) -> None:
        """Record the revision that each running node enforces if it has changed."""
        for name, host in self.hosts.items():
            if host.machine.crashed or host.machine.paused:
                continue
            revision = host.node.configuration().revision
            if revision != host.revision:
                host.revision = revision
                for declared in [r for r in self._declared_drains if r <= revision]:
                    self.record_drain(self._declared_drains.pop(declared))
                self.history.revisions.append(
                    RevisionSeen(round(self.now(), 6), name, host.start_number, revision)
                )


_STORE = ShardStore()
