"""Propagation time and traffic of a configuration change, by number of nodes.

``python -m bench.configuration_spread --nodes 730 --loss 0.05`` runs the product's state exchange
and poll intervals in virtual time; the last line is one JSON object.  Datagrams are lost at the
given rate, one-way delays are 1 to 3 ms, and the platform answers after 20 ms.  Bytes count the
payloads of datagrams, requests and answers, without UDP, TCP and IP headers.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
from dataclasses import dataclass, field

import async_solipsism
import msgspec

from bench.state_slopes import build_document
from tinrudder.cluster.replication.state_exchange import ExchangeSettings, StateExchange
from tinrudder.node.configuration_service.messages import ResourceDocument
from tinrudder.node.configuration_service.poll_interval import poll_delay_s
from tinrudder.node.resources.exchange import ReplicatedConfiguration
from tinrudder.node.resources.store import ConfigurationStore
from tinrudder.peers import DatagramHandler, PeerAddress, RequestHandler

ONE_WAY_DELAY_S = (0.001, 0.003)
PLATFORM_LATENCY_S = 0.02
SHORTEST_POLL_S = 1.0
"""Lower bound in seconds for a node's mean poll interval."""
TIME_LIMIT_S = 120.0
CHECK_INTERVAL_S = 0.05
SETTLE_S = 20.0
CHANGES_PER_DAY = 1100
SECONDS_PER_DAY = 86_400


@dataclass(frozen=True, slots=True)
class PropagationFigures:
    """Figures of one run; a time is ``None`` if it exceeds ``TIME_LIMIT_S``.

    :param in_force_s: from the write at the platform until the change is in force on all nodes.
    :param in_force_platform_down_s: from the change on one node until it is in force on all
        nodes, while the platform is down.
    :param change_bytes: traffic per node of one change, including the notices that follow it.
    :param quiet_bytes_per_s: anti-entropy traffic per node without changes.
    :param bytes_per_s: both kinds of traffic per node, at 1,100 changes a day.
    :param documents: fetches of the whole document from the platform after the write.
    """

    nodes: int
    resources: int
    loss: float
    seed: int
    in_force_s: float | None
    in_force_platform_down_s: float | None
    change_bytes: float
    quiet_bytes_per_s: float
    bytes_per_s: float
    documents: int


@dataclass
class Platform:
    """The platform's document, whether it answers, and how often it was fetched."""

    document: ResourceDocument
    is_up: bool = True
    documents: int = 0


@dataclass
class SimulatedNetwork:
    """Delivers messages between nodes, with delay and loss."""

    loss: float
    random: random.Random
    transports: dict[PeerAddress, SimulatedTransport] = field(default_factory=dict)
    sent_bytes: int = 0

    def delay(self) -> float:
        """Return a random one-way delay, in seconds."""
        return self.random.uniform(*ONE_WAY_DELAY_S)


class SimulatedTransport:
    """Peer transport of one node."""

    def __init__(self, network: SimulatedNetwork, address: PeerAddress) -> None:
        """Attach to the network at ``address``."""
        self.address = address
        self._network = network
        network.transports[address] = self

    def listen(self, on_datagram: DatagramHandler, on_request: RequestHandler) -> None:
        """Register the handlers of datagrams and requests."""
        self.on_datagram = on_datagram
        self.on_request = on_request

    def send_datagram(self, destination: PeerAddress, payload: bytes) -> None:
        """Count the datagram, then deliver or drop it."""
        self._network.sent_bytes += len(payload)
        if self._network.random.random() >= self._network.loss:
            receive = self._network.transports[destination].on_datagram
            loop = asyncio.get_running_loop()
            loop.call_later(self._network.delay(), receive, self.address, payload)

    async def request(self, destination: PeerAddress, payload: bytes, timeout_s: float) -> bytes:
        """Count request and answer; neither is lost, since TCP retransmits."""
        await asyncio.sleep(self._network.delay())
        answer = await self._network.transports[destination].on_request(self.address, payload)
        await asyncio.sleep(self._network.delay())
        self._network.sent_bytes += len(payload) + len(answer)
        return answer

    async def close(self) -> None:
        """Do nothing: there is nothing to close."""


class PropagationNode:
    """One node: configuration store, state exchange and polling of the platform."""

    def __init__(
        self,
        number: int,
        network: SimulatedNetwork,
        platform: Platform,
        seed: int,
        settings: ExchangeSettings,
    ) -> None:
        """Create the node without a configuration."""
        self._platform = platform
        self._random = random.Random(f"{seed} {number}")
        self._network = network
        self.store = ConfigurationStore()
        self.address = PeerAddress("10.0.0.1", number)
        self.exchange = StateExchange(
            ReplicatedConfiguration(self.store),
            SimulatedTransport(network, self.address),
            asyncio.get_running_loop(),
            self._random,
            lambda: [peer for peer in network.transports if peer != self.address],
            settings,
        )

    def start(self) -> None:
        """Start the state exchange and the polling of the platform."""
        self.store.subscribe(lambda _: self.exchange.announce())
        self.exchange.start()
        # Spreads the first polls as if every node had last polled at a random time before.
        nodes = len(self._network.transports)
        first_poll_s = poll_delay_s(nodes, SHORTEST_POLL_S, self._random) * self._random.random()
        asyncio.get_running_loop().call_later(first_poll_s, self._poll)

    def _poll(self) -> None:
        loop = asyncio.get_running_loop()
        nodes = len(self._network.transports)
        loop.call_later(poll_delay_s(nodes, SHORTEST_POLL_S, self._random), self._poll)
        platform = self._platform
        if platform.is_up and platform.document.revision != self.store.current.revision:
            platform.documents += 1
            loop.call_later(PLATFORM_LATENCY_S, self.store.merge_document, platform.document)


async def measure(
    nodes: int, services: int, loss: float, seed: int, settings: ExchangeSettings
) -> PropagationFigures:
    """Measure one change with the platform up, then one with it down."""
    network = SimulatedNetwork(loss, random.Random(seed))
    platform = Platform(build_document(services, 1, 5))
    members = [
        PropagationNode(number, network, platform, seed, settings) for number in range(1, nodes + 1)
    ]
    members[0].store.merge_document(platform.document)
    for member in members[1:]:
        member.store.merge(members[0].store.state)
    for member in members:
        member.start()
    await asyncio.sleep(SETTLE_S)
    quiet_bytes_per_s = await _sent_during(network, SETTLE_S) / nodes / SETTLE_S

    before = network.sent_bytes
    platform.document = build_document(services, 2, 6)
    in_force_s = await _until_revision(members, 2)
    await asyncio.sleep(SETTLE_S)
    busy_s = SETTLE_S + (in_force_s or TIME_LIMIT_S)
    change_bytes = (network.sent_bytes - before) / nodes - quiet_bytes_per_s * busy_s
    documents = platform.documents

    platform.is_up = False
    members[0].store.merge_document(build_document(services, 3, 7))
    platform_down_s = await _until_revision(members, 3)
    rate = quiet_bytes_per_s + change_bytes * CHANGES_PER_DAY / SECONDS_PER_DAY
    return PropagationFigures(
        nodes,
        len(members[0].store.state.resources),
        loss,
        seed,
        in_force_s,
        platform_down_s,
        round(change_bytes, 1),
        round(quiet_bytes_per_s, 2),
        round(rate, 2),
        documents,
    )


async def _sent_during(network: SimulatedNetwork, seconds: float) -> int:
    before = network.sent_bytes
    await asyncio.sleep(seconds)
    return network.sent_bytes - before


async def _until_revision(members: list[PropagationNode], revision: int) -> float | None:
    """Return the seconds until a revision is in force on all nodes, ``None`` on time-out."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    while loop.time() - started < TIME_LIMIT_S:
        if all(member.store.current.revision >= revision for member in members):
            return round(loop.time() - started, 2)
        await asyncio.sleep(CHECK_INTERVAL_S)
    return None


def main() -> int:
    """Measure once per seed and print one JSON object for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=30)
    parser.add_argument("--services", type=int, default=2, help="of 145 resources each")
    parser.add_argument("--loss", type=float, default=0.05)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--fanout", type=int, default=ExchangeSettings().fanout)
    parser.add_argument("--rounds", type=int, default=ExchangeSettings().rounds)
    arguments = parser.parse_args()
    settings = ExchangeSettings(fanout=arguments.fanout, rounds=arguments.rounds)
    for seed in range(1, arguments.seeds + 1):
        loop = async_solipsism.EventLoop()
        asyncio.set_event_loop(loop)
        run = measure(arguments.nodes, arguments.services, arguments.loss, seed, settings)
        print(msgspec.json.encode(loop.run_until_complete(run)).decode(), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
