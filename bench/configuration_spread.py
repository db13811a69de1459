"""How fast a change of the configuration is in force everywhere, and what that costs, by nodes.

``python -m bench.configuration_spread --nodes 730 --loss 0.05`` runs the product's exchange and
its pace of reading the platform in virtual time; the last line is one JSON object.  Datagrams are
lost at the given rate, delays are 1 to 3 ms one way, an answer of the platform takes 20 ms.
Bytes count payloads sent and answered, without UDP, TCP and IP headers.
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

ONE_WAY_S = (0.001, 0.003)
PLATFORM_ANSWER_S = 0.02
SHORTEST_POLL_S = 1.0
TIME_LIMIT_S = 120.0
CHECK_S = 0.05
SETTLE_S = 20.0
CHANGES_PER_DAY = 1100
SECONDS_PER_DAY = 86_400


@dataclass(frozen=True, slots=True)
class Spread:
    """Seconds and bytes; ``None`` where it took longer than the limit.

    :param in_force_s: from the write on the platform until the last node enforces it.
    :param in_force_platform_down_s: from the moment one node has it, the platform being down.
    :param change_bytes: of one change per node, with the notices that follow it.
    :param quiet_bytes_per_s: of anti-entropy per node.
    :param bytes_per_s: both, at 1,100 changes a day.
    :param documents: times the platform was asked for the whole document after the write.
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
    """What the platform holds, and whether it answers."""

    document: ResourceDocument
    is_up: bool = True
    documents: int = 0


@dataclass
class Wires:
    """Delivers between nodes."""

    loss: float
    random: random.Random
    transports: dict[PeerAddress, WireTransport] = field(default_factory=dict)
    sent_bytes: int = 0

    def delay(self) -> float:
        """Return one way's seconds."""
        return self.random.uniform(*ONE_WAY_S)


class WireTransport:
    """One node's end."""

    def __init__(self, wires: Wires, address: PeerAddress) -> None:
        """Listen at ``address``."""
        self.address = address
        self._wires = wires
        wires.transports[address] = self

    def listen(self, on_datagram: DatagramHandler, on_request: RequestHandler) -> None:
        """Set who handles what arrives."""
        self.on_datagram = on_datagram
        self.on_request = on_request

    def send_datagram(self, destination: PeerAddress, payload: bytes) -> None:
        """Count, then deliver or lose."""
        self._wires.sent_bytes += len(payload)
        if self._wires.random.random() >= self._wires.loss:
            receive = self._wires.transports[destination].on_datagram
            loop = asyncio.get_running_loop()
            loop.call_later(self._wires.delay(), receive, self.address, payload)

    async def request(self, destination: PeerAddress, payload: bytes, timeout_s: float) -> bytes:
        """Count both ways; never lost, for TCP repeats."""
        await asyncio.sleep(self._wires.delay())
        answer = await self._wires.transports[destination].on_request(self.address, payload)
        await asyncio.sleep(self._wires.delay())
        self._wires.sent_bytes += len(payload) + len(answer)
        return answer

    async def close(self) -> None:
        """Hold nothing."""


class SpreadNode:
    """Store, exchange and reading of the platform."""

    def __init__(
        self, number: int, wires: Wires, platform: Platform, seed: int, settings: ExchangeSettings
    ) -> None:
        """Begin with nothing in force."""
        self._platform = platform
        self._random = random.Random(f"{seed} {number}")
        self._wires = wires
        self.store = ConfigurationStore()
        self.address = PeerAddress("10.0.0.1", number)
        self.exchange = StateExchange(
            ReplicatedConfiguration(self.store),
            WireTransport(wires, self.address),
            asyncio.get_running_loop(),
            self._random,
            lambda: [peer for peer in wires.transports if peer != self.address],
            settings,
        )

    def start(self) -> None:
        """Exchange and read the platform from now on."""
        self.store.subscribe(lambda _: self.exchange.announce())
        self.exchange.start()
        # As if every node had last read at a random moment before.
        nodes = len(self._wires.transports)
        first = poll_delay_s(nodes, SHORTEST_POLL_S, self._random) * self._random.random()
        asyncio.get_running_loop().call_later(first, self._poll)

    def _poll(self) -> None:
        loop = asyncio.get_running_loop()
        nodes = len(self._wires.transports)
        loop.call_later(poll_delay_s(nodes, SHORTEST_POLL_S, self._random), self._poll)
        platform = self._platform
        if platform.is_up and platform.document.revision != self.store.current.revision:
            platform.documents += 1
            loop.call_later(PLATFORM_ANSWER_S, self.store.merge_document, platform.document)


async def measure(
    nodes: int, services: int, loss: float, seed: int, settings: ExchangeSettings
) -> Spread:
    """Run the changes one after the other."""
    wires = Wires(loss, random.Random(seed))
    platform = Platform(build_document(services, 1, 5))
    members = [
        SpreadNode(number, wires, platform, seed, settings) for number in range(1, nodes + 1)
    ]
    members[0].store.merge_document(platform.document)
    for member in members[1:]:
        member.store.merge(members[0].store.state)
    for member in members:
        member.start()
    await asyncio.sleep(SETTLE_S)
    quiet = await _sent_during(wires, SETTLE_S) / nodes / SETTLE_S

    before = wires.sent_bytes
    platform.document = build_document(services, 2, 6)
    in_force = await _until_revision(members, 2)
    await asyncio.sleep(SETTLE_S)
    busy_s = SETTLE_S + (in_force or TIME_LIMIT_S)
    change = (wires.sent_bytes - before) / nodes - quiet * busy_s
    documents = platform.documents

    platform.is_up = False
    members[0].store.merge_document(build_document(services, 3, 7))
    platform_down = await _until_revision(members, 3)
    rate = quiet + change * CHANGES_PER_DAY / SECONDS_PER_DAY
    return Spread(
        nodes,
        len(members[0].store.state.resources),
        loss,
        seed,
        in_force,
        platform_down,
        round(change, 1),
        round(quiet, 2),
        round(rate, 2),
        documents,
    )


async def _sent_during(wires: Wires, seconds: float) -> int:
    before = wires.sent_bytes
    await asyncio.sleep(seconds)
    return wires.sent_bytes - before


async def _until_revision(members: list[SpreadNode], revision: int) -> float | None:
    """Return seconds until every node enforces a revision."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    while loop.time() - started < TIME_LIMIT_S:
        if all(member.store.current.revision >= revision for member in members):
            return round(loop.time() - started, 2)
        await asyncio.sleep(CHECK_S)
    return None


def main() -> int:
    """Measure once per seed; the last line is the JSON object of the last."""
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
