"""Follows the readiness of every node, as the callers' load balancer does."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import msgspec

from tinrudder.node.api.health import OK, HealthBody
from tinrudder_lab.demo_cluster import DemoNode
from tinrudder_lab.history import RevisionSeen
from tinrudder_lab.process_mode.exchange import ExchangeLostError, send_request
from tinrudder_lab.process_mode.recorder import Recorder

CHECK_S = 0.1
CHECK_TIMEOUT_S = 0.5


@dataclass(slots=True)
class NodeHealth:
    """What was last heard of one node.

    :param start: how often its process was started.
    """

    node: DemoNode
    ready: bool = False
    revision: int = 0
    start: int = 1


class LoadBalancer:
    """Which nodes are ready, and the revision that each enforces."""

    def __init__(self, nodes: list[DemoNode], recorder: Recorder) -> None:
        """Check ``nodes``; nothing is known before :meth:`follow` runs."""
        self._recorder = recorder
        self.health = {node.name: NodeHealth(node) for node in nodes}

    async def follow(self) -> None:
        """Check all nodes until cancelled; a node that sleeps does not hold up the others."""
        await asyncio.gather(*(self._follow(health) for health in self.health.values()))

    async def wait_until_ready(self, names: list[str], timeout_s: float) -> None:
        """Wait until nodes are ready.

        :raises TimeoutError: some node is not.
        """
        async with asyncio.timeout(timeout_s):
            while not all(self.health[name].ready for name in names):
                await asyncio.sleep(CHECK_S)

    async def wait_for_revision(self, revision: int, timeout_s: float) -> None:
        """Wait until some node enforces a revision.

        :raises TimeoutError: none does.
        """
        async with asyncio.timeout(timeout_s):
            while max(health.revision for health in self.health.values()) < revision:
                await asyncio.sleep(CHECK_S)

    def ready_in(self, region: str) -> list[DemoNode]:
        """Return the nodes to choose from in a region: all of them when none is ready."""
        nearby = [health for health in self.health.values() if health.node.region == region]
        ready = [health.node for health in nearby if health.ready]
        return ready or [health.node for health in nearby]

    def node_started(self, name: str) -> None:
        """Take the start of a new process under an old name."""
        health = self.health[name]
        health.start += 1
        health.revision = 0
        health.ready = False

    async def _follow(self, health: NodeHealth) -> None:
        while True:
            start = health.start
            health.ready, body = await _check(health.node)
            if body is not None and start == health.start and body.revision != health.revision:
                health.revision = body.revision
                event = RevisionSeen(self._recorder.now(), health.node.name, start, body.revision)
                self._recorder.history.revisions.append(event)
            await asyncio.sleep(CHECK_S)


async def _check(node: DemoNode) -> tuple[bool, HealthBody | None]:
    """Ask one node; return whether it is ready, and its answer if there is one."""
    try:
        async with asyncio.timeout(CHECK_TIMEOUT_S):
            reply = await send_request(node.caller_port, "GET", "/readyz")
        return reply.status == OK, msgspec.json.decode(reply.body, type=HealthBody)
    except (ExchangeLostError, TimeoutError, msgspec.MsgspecError):
        return False, None
