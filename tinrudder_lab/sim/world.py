"""A simulated deployment: machines, back ends, platform and callers around real node code."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

import msgspec

from tinrudder.api.caller_app import CallerApplication
from tinrudder.api.cursor import CursorCodec
from tinrudder.backends.messages import SearchRequest
from tinrudder.environment import Environment
from tinrudder.node import Node
from tinrudder.peers import PeerAddress
from tinrudder.platform.messages import MemberList, MemberState, PlatformMember, ResourceDocument
from tinrudder.resources.model import IndexSpec, Kind, ServiceSpec
from tinrudder.settings import NodeSettings
from tinrudder_lab.backend_model import BackendBehaviour, BackendModel
from tinrudder_lab.datasets import ShardStore
from tinrudder_lab.history import (
    LEFT,
    LOST,
    CallSeen,
    CallStage,
    DrainSigned,
    FaultSet,
    History,
    NodeSeen,
    NodeStage,
    QueryEnded,
    QuerySent,
    RevisionSeen,
    VersionPublished,
)
from tinrudder_lab.platform_server import PlatformState, ResourceWrite
from tinrudder_lab.sim.backends import SimBackend, SimBackendTransport
from tinrudder_lab.sim.callers import HttpExchange, read_outcome
from tinrudder_lab.sim.loop import Machine, MachineLoop
from tinrudder_lab.sim.network import Cut, Network, Place
from tinrudder_lab.sim.peers import PeerSwitchboard, SimPeerTransport
from tinrudder_lab.sim.platform import SimPlatform, SimPlatformService
from tinrudder_lab.topology import PAGE_LIMIT, PATIENCE_S, Arrival, Topology

EPOCH_S = 1_760_000_000.0
PEER_PORT = 8081
CALLER_DELAY_S = {"montevideo": 0.001, "swiss-middle": 0.003}
RETRY_PAUSE_S = 0.05
LOAD_BALANCER_LAG_S = 0.5
NEVER = float("inf")
IN_FLIGHT_CHECK_S = 0.01
CURSOR_KEYS = (b"lab",)


@dataclass(eq=False)
class NodeHost:
    """One start of one node.

    :param unhealthy_at: when callers' load balancer has noticed that it does not answer.
    """

    machine: Machine
    node: Node
    app: CallerApplication
    backends: SimBackendTransport
    peers: SimPeerTransport
    start_number: int
    accepting: bool = True
    in_flight: int = 0
    ended: asyncio.Event = field(default_factory=asyncio.Event)
    revision: int = -1
    unhealthy_at: float = NEVER


class World:
    """Everything of one simulated run."""

    def __init__(self, topology: Topology, seed: int, loop: MachineLoop) -> None:
        """Build back ends and platform; nodes start with :meth:`start`."""
        self.topology = topology
        self.loop = loop
        self.random = random.Random(f"world/{seed}")
        self.history = History()
        self.network = Network(loop, random.Random(f"network/{seed}"))
        self.board = PeerSwitchboard()
        self.seed = seed
        self.zone_of = {zone.name: zone for zone in topology.zones}
        self.backends = {name: self._make_backend(name) for name in topology.deployment.backends}
        self.members = self._make_members()
        document = ResourceDocument(1, tuple(topology.deployment.resources))
        self.platform = SimPlatformService(PlatformState(document, MemberList(1, self.members)))
        self.platform.remember(0.0)
        self._see_versions(document)
        self.hosts: dict[str, NodeHost] = {}
        self.starts = 0
        self.errors: list[str] = []
        self.closed = False
        self._queries = 0
        self._transports: list[SimBackendTransport] = []
        self._running: set[asyncio.Task[None]] = set()

    def now(self) -> float:
        """Return seconds since the start of the run."""
        return float(self.loop.time())

    async def sleep(self, seconds: float) -> None:
        """Let virtual time pass."""
        await asyncio.sleep(seconds)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run something of the lab's own beside the run."""
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
        model.observer = lambda stage, request, node: self._see_call(name, stage, request, node)
        return SimBackend(model, Place(spec.zone, self.zone_of[spec.zone].region))

    def _make_members(self) -> tuple[PlatformMember, ...]:
        members = []
        for number, zone in enumerate(self.topology.zones):
            for copy in range(self.topology.nodes_per_zone):
                name = f"{zone.name}-n{copy}"
                host = f"10.0.{number}.{copy + 1}"
                members.append(PlatformMember(name, zone.name, zone.region, host, PEER_PORT))
        return tuple(members)

    def _see_call(self, backend: str, stage: CallStage, request: SearchRequest, node: str) -> None:
        for shard in request.shards:
            self.history.calls.append(
                CallSeen(
                    round(self.now(), 6),
                    backend,
                    node,
                    stage,
                    request.query_id,
                    request.index,
                    request.version,
                    shard,
                    _operation_name(request),
                )
            )

    def _see_versions(self, document: ResourceDocument) -> None:
        """Record index versions that were not there before."""
        known = {(event.index, event.version) for event in self.history.versions}
        specs = {(raw.kind, raw.name): raw.spec for raw in document.resources}
        for (kind, name), raw in specs.items():
            if kind != Kind.INDEX.value:
                continue
            index = msgspec.json.decode(raw, type=IndexSpec)
            service_spec = specs[Kind.SERVICE.value, index.service]
            service = msgspec.json.decode(service_spec, type=ServiceSpec)
            for version in index.versions:
                if (name, version.version) not in known:
                    shards = tuple(shard.shard for shard in version.shards)
                    event = VersionPublished(
                        round(self.now(), 6), name, version.version, shards, service.tenants
                    )
                    self.history.versions.append(event)

    def note(self, text: str) -> None:
        """Record that a fault was turned on or off."""
        self.history.faults.append(FaultSet(round(self.now(), 6), text))

    def see_node(self, name: str, stage: NodeStage, unfinished: int = 0) -> None:
        """Record something that happened to a node."""
        self.history.nodes.append(NodeSeen(round(self.now(), 6), name, stage, unfinished))

    # Nodes ---------------------------------------------------------------------------------

    def start_node(self, name: str) -> NodeHost:
        """Start a node's process on a new machine under an old name."""
        member = next(member for member in self.members if member.name == name)
        machine = Machine(name, member.zone, member.region)
        self.starts += 1
        address = PeerAddress(member.host, member.port)
        peers = SimPeerTransport(address, machine, self.network, self.board)
        backends = SimBackendTransport(machine, self.network, self.backends)
        self._transports.append(backends)
        environment = Environment(
            timers=self.loop,
            wall_clock=lambda: EPOCH_S + self.loop.time() + machine.wall_offset_s,
            random=random.Random(f"node/{self.seed}/{name}/{self.starts}"),
            backends=backends,
            peers=peers,
            platform=SimPlatform(self.platform, machine, self.network),
        )
        settings = NodeSettings(
            name=name,
            zone=member.zone,
            region=member.region,
            host=member.host,
            peer_port=member.port,
            platform_url="http://platform",
        )
        node = machine.context.run(Node, settings, environment)
        app = CallerApplication(self.loop, node.entry, node.configuration, CursorCodec(CURSOR_KEYS))
        host = NodeHost(machine, node, app, backends, peers, self.starts)
        self.hosts[name] = host
        self.see_node(name, NodeStage.STARTED)
        self.loop.create_task(node.start(), context=machine.context)
        return host

    def crash_node(self, name: str) -> None:
        """Kill a node's process."""
        host = self.hosts[name]
        self.see_node(name, NodeStage.CRASHED)
        self._end_machine(host)

    def _end_machine(self, host: NodeHost) -> None:
        host.accepting = False
        host.machine.crash()
        host.backends.abort()
        host.peers.disconnect()
        host.ended.set()

    def pause_node(self, name: str, seconds: float) -> None:
        """Stop a node's process for a while."""
        host = self.hosts[name]
        if host.machine.paused or host.machine.gone:
            return
        self.see_node(name, NodeStage.PAUSED)
        host.machine.pause()
        host.unhealthy_at = self.now() + LOAD_BALANCER_LAG_S
        self.loop.call_later(seconds, self._wake_node, host)

    def _wake_node(self, host: NodeHost) -> None:
        if host.machine.gone:
            return
        self.see_node(host.machine.name, NodeStage.WOKEN)
        host.machine.resume(self.loop)
        host.unhealthy_at = NEVER

    async def stop_node(self, name: str) -> None:
        """Stop a node as planned: it accepts no more, finishes, then its process ends."""
        host = self.hosts[name]
        self.see_node(name, NodeStage.STOP_BEGUN)
        self.loop.call_later(LOAD_BALANCER_LAG_S, setattr, host, "accepting", False)
        self.loop.create_task(_stop(host), context=host.machine.context)
        await host.ended.wait()
        if not host.machine.gone:
            unfinished = host.peers.unfinished_at_close + host.in_flight
            self.see_node(name, NodeStage.STOPPED, unfinished)
            self._end_machine(host)

    # Back ends and platform ----------------------------------------------------------------

    def sign_drain(self, backend: str) -> None:
        """Record the first sign that a back end leaves."""
        self.history.drains.append(DrainSigned(round(self.now(), 6), backend))

    def write_resource(self, write: ResourceWrite) -> int:
        """Write to the platform as an operator does."""
        revision = self.platform.state.write(write)
        self._see_versions(self.platform.state.document)
        self.platform.remember(self.now())
        return revision

    def set_member_state(self, name: str, state: MemberState) -> None:
        """Change the platform's list."""
        self.platform.state.set_member_state(name, state)
        self.platform.remember(self.now())

    def cut(self, sources: frozenset[str], destinations: frozenset[str], seconds: float) -> None:
        """Cut places off from others, one way, for a while.

        Nodes on both sides count as isolated: none of them can know all that others know.
        """
        cut = Cut(sources, destinations)
        self.network.cuts.append(cut)
        names = [m.name for m in self.members if {m.zone, m.region} & (sources | destinations)]
        for name in names:
            self.see_node(name, NodeStage.ISOLATED)
        self.loop.call_later(seconds, self._heal, cut, names)

    def _heal(self, cut: Cut, names: list[str]) -> None:
        self.network.cuts.remove(cut)
        for name in names:
            self.see_node(name, NodeStage.REJOINED)

    # Callers -------------------------------------------------------------------------------

    def ask(self, arrival: Arrival) -> None:
        """Let one caller ask, page by page."""
        self.spawn(self._ask_pages(arrival))

    async def _ask_pages(self, arrival: Arrival) -> None:
        cursor: str | None = None
        session = self._queries + 1
        after: tuple[float, str] | None = None
        for _ in range(arrival.pages):
            for attempt in range(arrival.retries + 1):
                if attempt:
                    await asyncio.sleep(RETRY_PAUSE_S)
                ended, cursor = await self._ask_once(arrival, session, cursor, after)
                if ended.version is not None:
                    break
            if cursor is None:
                return
            after = (ended.rows[-1].time, ended.rows[-1].row_id)

    async def _ask_once(
        self,
        arrival: Arrival,
        session: int,
        cursor: str | None,
        after: tuple[float, str] | None,
    ) -> tuple[QueryEnded, str | None]:
        self._queries += 1
        number = self._queries
        kind = arrival.kind
        host = self._pick_node(kind.region, arrival.node_draw)
        self.history.sent[number] = QuerySent(
            at=round(self.now(), 6),
            query=number,
            tenant=kind.caller.tenant,
            index=kind.index,
            rule=kind.rule,
            node=host.machine.name,
            limit=PAGE_LIMIT,
            match=arrival.match,
            session=session,
            after=after,
        )
        content: dict[str, object] = {
            "index": kind.index,
            "rule": kind.rule,
            "match": arrival.match,
            "limit": PAGE_LIMIT,
        }
        if cursor is not None:
            content["cursor"] = cursor
        exchange = HttpExchange(msgspec.json.encode(content), kind.caller.authorization)
        delay = CALLER_DELAY_S.get(kind.region, 0.001)
        await asyncio.sleep(delay)
        failure = await self._run_at(host, exchange, arrival.patience_s)
        await asyncio.sleep(delay)
        at = round(self.now(), 6)
        if failure is None:
            event, cursor = read_outcome(at, number, b"".join(exchange.parts))
        else:
            event, cursor = QueryEnded(at, number, "", failure), None
        self.history.end_query(event)
        return event, cursor

    def _pick_node(self, region: str, draw: float) -> NodeHost:
        """Return the node a caller of a region reaches; a refused connection means the next."""
        nearby = [host for host in self.hosts.values() if host.machine.region == region]
        now = self.now()
        healthy = [host for host in nearby if host.accepting and host.unhealthy_at > now]
        hosts = healthy or nearby
        return hosts[int(draw * len(hosts))]

    async def _run_at(
        self, host: NodeHost, exchange: HttpExchange, patience_s: float
    ) -> str | None:
        """Run one exchange at a node; return why there is no answer, if there is none."""
        if host.machine.gone:
            return LOST
        host.in_flight += 1
        running = self.loop.create_task(exchange.run(host.app.app), context=host.machine.context)
        ended = self.loop.create_task(host.ended.wait())
        try:
            await asyncio.wait(
                (running, ended), timeout=patience_s, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            host.in_flight -= 1
            ended.cancel()
        if running.done():
            running.result()
            return None
        exchange.gone.set()
        return LOST if host.machine.gone or patience_s >= PATIENCE_S else LEFT

    async def finish_callers(self) -> None:
        """Wait until every caller has its outcome."""
        while self._running:
            await asyncio.wait(tuple(self._running))

    def sample_revisions(self) -> None:
        """Record which revision each running node enforces, where it changed."""
        for name, host in self.hosts.items():
            if host.machine.gone or host.machine.paused:
                continue
            revision = host.node.configuration().revision
            if revision != host.revision:
                host.revision = revision
                self.history.revisions.append(
                    RevisionSeen(round(self.now(), 6), name, host.start_number, revision)
                )


async def _stop(host: NodeHost) -> None:
    """Stop as ``tinrudder serve`` does: leave, finish the callers' requests, then end."""
    await host.node.leave()
    host.accepting = False
    while host.in_flight:
        await asyncio.sleep(IN_FLIGHT_CHECK_S)
    await host.node.stop()
    host.ended.set()


_STORE = ShardStore()


def _operation_name(request: SearchRequest) -> str | None:
    """Return what identifies an operation over all its submissions, ``None`` for a search."""
    if request.operation is None:
        return None
    return f"{request.operation}/{request.request_key}"
