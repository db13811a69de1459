"""A hollow node: membership and configuration as in the product, without the query path."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass

from tinrudder.cluster.membership import Membership
from tinrudder.cluster.membership_events import MemberChanged
from tinrudder.cluster.membership_list import ListedMember
from tinrudder.cluster.membership_messages import ObservationKind, first_incarnation
from tinrudder.cluster.state_exchange import StateExchange
from tinrudder.cluster.view import Member, MemberStatus
from tinrudder.configuration_service.messages import ResourceDocument
from tinrudder.peers import DatagramHandler, PeerAddress, RequestHandler
from tinrudder.resources.exchange import ReplicatedConfiguration
from tinrudder.resources.store import ConfigurationStore
from tinrudder.wire.channels import Channel, ChannelRouter
from tinrudder.wire.peer_transport import TcpPeerTransport

KEY = b"a key of the lab's hollow nodes"
ZONES = 7


@dataclass(slots=True)
class Traffic:
    """What left a node, without UDP, TCP and IP headers."""

    datagrams: int = 0
    datagram_bytes: int = 0
    requests: int = 0
    request_bytes: int = 0


class LossyTransport:
    """Counts what is sent and loses a share of the datagrams."""

    def __init__(self, transport: TcpPeerTransport, source: random.Random, loss: float) -> None:
        """Lose datagrams with probability ``loss``; requests are TCP's to repeat."""
        self.traffic = Traffic()
        self._transport = transport
        self._random = source
        self._loss = loss

    def listen(self, on_datagram: DatagramHandler, on_request: RequestHandler) -> None:
        """Set who handles what arrives, and count answers to requests."""

        async def count_answer(source: PeerAddress, payload: bytes) -> bytes:
            answer = await on_request(source, payload)
            self.traffic.request_bytes += len(answer)
            return answer

        self._transport.listen(on_datagram, count_answer)

    def send_datagram(self, destination: PeerAddress, payload: bytes) -> None:
        """Count, then send or lose."""
        self.traffic.datagrams += 1
        self.traffic.datagram_bytes += len(payload)
        if self._random.random() >= self._loss:
            self._transport.send_datagram(destination, payload)

    async def request(self, destination: PeerAddress, payload: bytes, timeout_s: float) -> bytes:
        """Count and send."""
        self.traffic.requests += 1
        self.traffic.request_bytes += len(payload)
        return await self._transport.request(destination, payload, timeout_s)

    async def close(self) -> None:
        """Close the sockets."""
        await self._transport.close()


class HollowNode:
    """One node of many in a process."""

    def __init__(self, number: int, loss: float) -> None:
        """Open nothing yet."""
        self.name = f"node-{number:04d}"
        self.zone = f"zone-{number % ZONES}"
        self.false_deaths = 0
        self.false_suspicions = 0
        self.heard: set[str] = set()
        self.killed: frozenset[str] = frozenset()
        self.running = False
        self._random = random.Random(f"hollow {number} {time.time()}")
        self._sockets = TcpPeerTransport("127.0.0.1", 0)
        self.transport = LossyTransport(self._sockets, self._random, loss)

    async def open(self) -> PeerAddress:
        """Listen on a free port."""
        self.address = await self._sockets.open()
        return self.address

    def start(self, listed: tuple[ListedMember, ...]) -> None:
        """Join."""
        loop = asyncio.get_running_loop()
        channels = ChannelRouter(self.transport)
        own = Member(self.name, first_incarnation(time.time()), self.zone, "region", self.address)
        self.membership = Membership(
            loop, time.time, self._random, channels.channel(Channel.MEMBERSHIP), own, (KEY,)
        )
        self.store = ConfigurationStore()
        self.exchange = StateExchange(
            ReplicatedConfiguration(self.store),
            channels.channel(Channel.CONFIGURATION),
            loop,
            self._random,
            self._peers,
        )
        self._connect()
        self.membership.offer_list(1, listed)
        self.membership.start()
        self.exchange.start()
        self.running = True

    def offer(self, document: ResourceDocument) -> None:
        """Take a document as if the platform had answered this node alone."""
        self.store.offer(document)

    def publish(self, backend: str) -> None:
        """Say that a back end is leaving."""
        self.heard.add(backend)
        self.membership.publish_observation(backend, ObservationKind.DRAINING)

    async def kill(self) -> None:
        """Fall silent without a word."""
        self.running = False
        self.exchange.stop()
        await self._sockets.close()
        self.membership.pause_detector.stop()

    def avoids_killed(self) -> bool:
        """Tell whether this node would give no new work to any killed one."""
        members = self.membership.view().by_name
        held = (members.get(name) for name in self.killed)
        return not any(one is not None and one.status is MemberStatus.ALIVE for one in held)

    def _connect(self) -> None:
        membership, exchange = self.membership, self.exchange
        self.store.subscribe(lambda state: membership.set_enforced_revision(state.version.revision))
        self.store.subscribe(lambda _: exchange.announce())
        membership.on_newer_revision(
            lambda member, revision: exchange.on_newer_revision(member.address, revision)
        )
        membership.on_observation(lambda heard: self.heard.add(heard.backend))
        membership.on_member_changed(self._on_member_changed)

    def _peers(self) -> list[PeerAddress]:
        members = self.membership.view().members
        return [
            member.address
            for member in members
            if member.name != self.name and member.status is not MemberStatus.DEAD
        ]

    def _on_member_changed(self, change: MemberChanged) -> None:
        if not self.running or change.member.name in self.killed:
            return
        if change.member.status is MemberStatus.DEAD:
            self.false_deaths += 1
        elif change.member.status is MemberStatus.SUSPECT:
            self.false_suspicions += 1
