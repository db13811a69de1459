"""In-memory datagram network in virtual time: loss, delay, partitions and paused nodes."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from tests.support.fakes import ManualTimers
from tinrudder.cluster.membership import Membership
from tinrudder.cluster.membership_list import ListedMember
from tinrudder.cluster.membership_messages import first_incarnation
from tinrudder.cluster.membership_settings import MembershipSettings
from tinrudder.cluster.view import Member, MemberStatus
from tinrudder.peers import PeerAddress

KEY = b"a key of the tests"
WALL_START_S = 1_700_000_000.0


@dataclass
class DatagramNetwork:
    """Delivers a datagram after a random delay unless it is lost or crosses the partition."""

    timers: ManualTimers
    random: random.Random
    loss: float = 0.0
    delay_s: float = 0.002
    partition: frozenset[PeerAddress] = frozenset()
    endpoints: dict[PeerAddress, Endpoint] = field(default_factory=dict)

    def deliver(self, source: PeerAddress, destination: PeerAddress, payload: bytes) -> None:
        if (source in self.partition) != (destination in self.partition):
            return
        if self.random.random() < self.loss:
            return
        when = self.timers.now + self.delay_s * (0.5 + self.random.random())
        self.timers.call_at(when, self._arrive, source, destination, payload)

    def _arrive(self, source: PeerAddress, destination: PeerAddress, payload: bytes) -> None:
        endpoint = self.endpoints.get(destination)
        if endpoint is not None:
            endpoint.run(lambda: endpoint.handler(source, payload))


class Endpoint:
    """Transport and timers of one node; while it is paused, all its callbacks are queued."""

    def __init__(self, network: DatagramNetwork, address: PeerAddress) -> None:
        self.network = network
        self.address = address
        self.paused = False
        self.waiting = []
        self.handler = lambda *_: None
        network.endpoints[address] = self

    def listen(self, on_datagram, on_request) -> None:
        self.handler = on_datagram

    def send_datagram(self, destination: PeerAddress, payload: bytes) -> None:
        assert len(payload) < 1400
        if self.network.endpoints.get(self.address) is self:
            self.network.deliver(self.address, destination, payload)

    def time(self) -> float:
        return self.network.timers.now

    def call_at(self, when: float, callback, *arguments):
        return self.network.timers.call_at(when, lambda: self.run(lambda: callback(*arguments)))

    def run(self, step) -> None:
        if self.paused:
            self.waiting.append(step)
        elif self.network.endpoints.get(self.address) is self:
            step()

    def resume(self) -> None:
        self.paused = False
        steps, self.waiting = self.waiting, []
        for step in steps:
            step()


@dataclass
class Cluster:
    """Nodes on one network, all of them listed by the platform."""

    seed: int = 1
    loss: float = 0.0
    settings: MembershipSettings = field(default_factory=MembershipSettings)
    timers: ManualTimers = field(default_factory=ManualTimers)
    nodes: dict[str, Membership] = field(default_factory=dict)
    endpoints: dict[str, Endpoint] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.network = DatagramNetwork(self.timers, random.Random(self.seed), self.loss)

    def add(self, name: str, keys: tuple[bytes, ...] = (KEY,)) -> Membership:
        address = self.address(name)
        endpoint = Endpoint(self.network, address)
        own = Member(name, first_incarnation(self.wall_clock()), "zone", "region", address)
        source = random.Random(f"{self.seed}{name}{self.timers.now}")
        node = Membership(endpoint, self.wall_clock, source, endpoint, own, keys, self.settings)
        self.nodes[name] = node
        self.endpoints[name] = endpoint
        node.start()
        return node

    def start(self, count: int) -> Cluster:
        names = [f"n{number:03d}" for number in range(count)]
        for name in names:
            self.add(name)
        self.list_everywhere(names)
        self.timers.advance(10)
        return self

    def list_everywhere(self, names: list[str]) -> None:
        listed = tuple(ListedMember(name, self.address(name)) for name in names)
        for node in self.nodes.values():
            node.offer_list(1, listed)

    def kill(self, name: str) -> None:
        del self.network.endpoints[self.address(name)]
        del self.nodes[name]

    def wall_clock(self) -> float:
        return WALL_START_S + self.timers.now

    def address(self, name: str) -> PeerAddress:
        return PeerAddress(
            "10.0.0.1", 1 + sum(ord(letter) * 131**i for i, letter in enumerate(name)) % 60000
        )

    def statuses(self, name: str) -> set[MemberStatus | None]:
        """Return the statuses of ``name`` in the views of the other nodes."""
        views = [node.view() for other, node in self.nodes.items() if other != name]
        members = (view.by_name.get(name) for view in views)
        return {member.status if member is not None else None for member in members}

    def agreed(self) -> bool:
        """Tell whether every node's usable members are exactly the running nodes."""
        expected = sorted(self.nodes)
        return all(
            [member.name for member in node.view().usable()] == expected
            for node in self.nodes.values()
        )
