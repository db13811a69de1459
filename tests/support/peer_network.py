"""A simulated peer network in one event loop, with datagram loss, partitions and byte counts."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

from tinrudder.peers import DatagramHandler, PeerAddress, PeerLostError, RequestHandler

ONE_WAY_S = 0.001


@dataclass
class PeerNetwork:
    """Delivers messages between its transports.

    ``cut`` holds the pairs of ports that cannot reach each other.
    """

    loss: float = 0.0
    random: random.Random = field(default_factory=lambda: random.Random(7))
    transports: dict[PeerAddress, MemoryPeerTransport] = field(default_factory=dict)
    cut: set[frozenset[int]] = field(default_factory=set)
    extra_delay_s: dict[frozenset[int], float] = field(default_factory=dict)

    def transport(self, port: int) -> MemoryPeerTransport:
        address = PeerAddress("10.0.0.1", port)
        self.transports[address] = MemoryPeerTransport(self, address)
        return self.transports[address]

    def reaches(self, source: PeerAddress, destination: PeerAddress) -> bool:
        pair = frozenset((source.port, destination.port))
        return destination in self.transports and pair not in self.cut


@dataclass
class MemoryPeerTransport:
    """The transport of one peer."""

    network: PeerNetwork
    address: PeerAddress
    sent_bytes: int = 0
    on_datagram: DatagramHandler | None = None
    on_request: RequestHandler | None = None

    def listen(self, on_datagram: DatagramHandler, on_request: RequestHandler) -> None:
        self.on_datagram = on_datagram
        self.on_request = on_request

    def send_datagram(self, destination: PeerAddress, payload: bytes) -> None:
        self.sent_bytes += len(payload)
        reached = self.network.reaches(self.address, destination)
        if not reached or self.network.random.random() < self.network.loss:
            return
        handler = self.network.transports[destination].on_datagram
        asyncio.get_running_loop().call_later(ONE_WAY_S, handler, self.address, payload)

    async def request(self, destination: PeerAddress, payload: bytes, timeout_s: float) -> bytes:
        self.sent_bytes += len(payload)
        pair = frozenset((self.address.port, destination.port))
        await asyncio.sleep(ONE_WAY_S + self.network.extra_delay_s.get(pair, 0.0))
        if not self.network.reaches(self.address, destination):
            await asyncio.sleep(timeout_s)
            raise PeerLostError(str(destination))
        peer = self.network.transports[destination]
        answer = await peer.on_request(self.address, payload)
        peer.sent_bytes += len(answer)
        await asyncio.sleep(ONE_WAY_S)
        return answer

    async def close(self) -> None:
        pass
