"""A node's configuration with the platform up, down or restored, with real membership.

Guards against a node that stays behind while peers are ahead, and against a platform restored to an
older revision that reverts the tier.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import async_solipsism

from tests.support.documents import document, tenant
from tests.support.fakes import RecordingTransport
from tests.support.peer_network import PeerNetwork
from tinrudder.node.configuration_service.messages import (
    MemberList,
    PlatformMember,
    PlatformUnavailableError,
    ResourceDocument,
)
from tinrudder.node.environment import Environment
from tinrudder.node.node import Node
from tinrudder.node.settings import NodeSettings


@dataclass
class FakePlatform:
    """A platform that can be down for some nodes."""

    current: ResourceDocument
    members: tuple[PlatformMember, ...] = ()
    down_for: set[str] = field(default_factory=set)
    polls: int = 0


@dataclass
class PlatformOfNode:
    """The platform as seen by one node."""

    platform: FakePlatform
    node: str

    async def fetch_resources(self, known_revision: int) -> ResourceDocument | None:
        self._check()
        current = self.platform.current
        return None if current.revision == known_revision else current

    async def fetch_members(self) -> MemberList:
        self._check()
        return MemberList(1, self.platform.members)

    def _check(self) -> None:
        self.platform.polls += 1
        if self.node in self.platform.down_for:
            raise PlatformUnavailableError("down")


class Tier:
    """Nodes on one network with one platform."""

    def __init__(self, size: int) -> None:
        self.network = PeerNetwork()
        names = [f"n{number}" for number in range(size)]
        self.ports = {name: 100 + number for number, name in enumerate(names)}
        members = tuple(
            PlatformMember(name, "z", "r", "10.0.0.1", port) for name, port in self.ports.items()
        )
        self.platform = FakePlatform(document(4, tenant("a")), members)
        self.nodes: dict[str, Node] = {}
        self.paused_s = 0.0

    async def start(self, name: str, **more: str) -> Node:
        loop = asyncio.get_running_loop()
        port = self.ports[name]
        environment = Environment(
            timers=loop,
            wall_clock=lambda: 1e9 + loop.time() + self.paused_s,
            random=random.Random(port),
            backends=RecordingTransport(),
            peers=self.network.transport(port),
            platform=PlatformOfNode(self.platform, name),
        )
        settings = NodeSettings(
            name=name,
            zone="z",
            region="r",
            host="10.0.0.1",
            peer_port=port,
            platform_url="http://platform",
            stop_grace_s=0.0,
            **more,
        )
        self.nodes[name] = Node(settings, environment)
        await self.nodes[name].start()
        return self.nodes[name]

    async def stop(self) -> None:
        for node in self.nodes.values():
            await node.leave()
            await node.stop()


Scenario = Callable[[Tier], Awaitable[None]]


def run(scenario: Scenario, size: int = 3) -> None:
    async def run_scenario() -> None:
        tier = Tier(size)
        await scenario(tier)
        await tier.stop()

    loop = async_solipsism.EventLoop()
    try:
        loop.run_until_complete(run_scenario())
    finally:
        loop.close()


def revisions(tier: Tier) -> dict[str, int]:
    return {name: node.configuration().revision for name, node in tier.nodes.items()}


def test_every_node_knows_the_enforced_revision_of_each() -> None:
    async def scenario(tier: Tier) -> None:
        await asyncio.gather(*(tier.start(name) for name in tier.ports))
        tier.platform.down_for = {"n1", "n2"}
        tier.platform.current = document(5, tenant("a", 2, weight=3))
        await asyncio.sleep(5)
        assert revisions(tier) == {"n0": 5, "n1": 5, "n2": 5}
        for node in tier.nodes.values():
            known = {one.name: one.revision for one in node.node_revisions()}
            assert known == {"n0": 5, "n1": 5, "n2": 5}

    run(scenario)


def test_a_node_that_starts_while_the_platform_is_down_learns_from_its_seeds() -> None:
    async def scenario(tier: Tier) -> None:
        await asyncio.gather(tier.start("n0"), tier.start("n1"))
        tier.platform.down_for = set(tier.ports)
        late = await tier.start("n2", seed_peers="10.0.0.1:100,10.0.0.1:101")
        assert late.configuration().revision == 4
        assert late.configuration_store.platform.unavailable == "down"

    run(scenario)


def test_a_restored_platform_reverts_no_node_and_is_reported_as_behind() -> None:
    async def scenario(tier: Tier) -> None:
        await asyncio.gather(tier.start("n0"), tier.start("n1"))
        tier.platform.current = document(2, tenant("a", 1, weight=9))
        newcomer = await tier.start("n2")
        await asyncio.sleep(5)
        assert revisions(tier) == {"n0": 4, "n1": 4, "n2": 4}
        assert newcomer.configuration_store.platform.behind

    run(scenario)


def test_a_reused_revision_is_detected_reported_and_resolved_alike() -> None:
    async def scenario(tier: Tier) -> None:
        await asyncio.gather(*(tier.start(name) for name in tier.ports))
        tier.platform.current = document(4, tenant("a", 1, weight=9))
        await asyncio.sleep(2000)
        digests = {node.configuration_store.state.digest for node in tier.nodes.values()}
        assert len(digests) == 1
        assert any(node.configuration_store.platform.reused for node in tier.nodes.values())

    run(scenario)


def test_a_paused_node_catches_up_at_once() -> None:
    async def scenario(tier: Tier) -> None:
        await asyncio.gather(*(tier.start(name) for name in tier.ports))
        paused_node = tier.nodes["n2"]
        own = tier.ports["n2"]
        tier.network.cut = {frozenset((own, port)) for port in tier.ports.values() if port != own}
        tier.platform.down_for = {"n2"}
        tier.platform.current = document(6, tenant("a", 2))
        await asyncio.sleep(30)
        assert paused_node.configuration().revision == 4
        tier.network.cut.clear()
        tier.paused_s += 30.0
        await asyncio.sleep(0.5)
        assert paused_node.configuration().revision == 6

    run(scenario)
