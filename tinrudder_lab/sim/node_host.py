"""One start of one node: its machine, its transports and its caller API."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

from tinrudder.node.api.caller_app import CallerApplication
from tinrudder.node.api.cursor import CursorCodec
from tinrudder.node.api.operation_app import operation_route
from tinrudder.node.environment import Environment
from tinrudder.node.node import Node
from tinrudder.node.settings import NodeSettings
from tinrudder_lab.sim.backends import SimBackendTransport
from tinrudder_lab.sim.loop import Machine, MachineLoop
from tinrudder_lab.sim.peers import SimPeerTransport
from tinrudder_lab.sim.platform import SimPlatform

EPOCH_S = 1_760_000_000.0
CLAIM_WINDOW_S = 4.0
CLOCK_SKEW_S = 0.5
NEVER = float("inf")
IN_FLIGHT_CHECK_S = 0.01
CURSOR_KEYS = (b"lab",)


@dataclass(eq=False)
class NodeHost:
    """One start of one node.

    :param unhealthy_at: when the callers' load balancer detects that the node does not answer.
    """

    machine: Machine
    node: Node
    app: CallerApplication
    backends: SimBackendTransport
    peers: SimPeerTransport
    start_number: int
    accepting: bool = False
    stopping: bool = False
    in_flight: int = 0
    ended: asyncio.Event = field(default_factory=asyncio.Event)
    revision: int = -1
    unhealthy_at: float = NEVER

    async def serve(self) -> None:
        """Start the node, then accept callers, as ``tinrudder serve`` does."""
        await self.node.start()
        self.accepting = True

    async def stop(self) -> None:
        """Leave the cluster, finish callers' requests, then stop, as ``tinrudder serve`` does."""
        await self.node.leave()
        self.accepting = False
        while self.in_flight:
            await asyncio.sleep(IN_FLIGHT_CHECK_S)
        await self.node.stop()
        self.ended.set()


def make_host(
    machine: Machine,
    loop: MachineLoop,
    backends: SimBackendTransport,
    peers: SimPeerTransport,
    platform: SimPlatform,
    source: random.Random,
    start_number: int,
) -> NodeHost:
    """Build a node on its machine; :meth:`NodeHost.serve` starts it."""
    settings = NodeSettings(
        name=machine.name,
        zone=machine.zone,
        region=machine.region,
        host=peers.address.host,
        peer_port=peers.address.port,
        platform_url="http://platform",
        claim_window_s=CLAIM_WINDOW_S,
        clock_skew_s=CLOCK_SKEW_S,
    )
    environment = Environment(
        timers=loop,
        wall_clock=lambda: EPOCH_S + loop.true_time() + machine.wall_offset_s,
        random=source,
        backends=backends,
        peers=peers,
        platform=platform,
    )
    node = machine.context.run(Node, settings, environment)
    app = CallerApplication(loop, node.entry, node.configuration, CursorCodec(CURSOR_KEYS))
    app.app.router.routes.append(operation_route(loop, node.operations, node.configuration))
    return NodeHost(machine, node, app, backends, peers, start_number)
