"""Suspicions of a zone end even if datagrams between gateways are slow.

Digests list the zones that a gateway suspects, and a receiver probes gateways in these zones.  If
the answers take longer than the interval of digests, each suspicion reaches more than one other
gateway before it ends, and suspicions that are passed on keep each other alive.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any

import async_solipsism
import pytest

from tests.support.store_revisions import at, position
from tinrudder.common.address import Address
from tinrudder.gateway.peers.peer_datagrams import PeerDatagrams
from tinrudder.gateway.peers.peer_list import PeerList
from tinrudder.gateway.peers.peer_messages import Digest, Member, Probe, ProbeAnswer
from tinrudder.gateway.peers.probes import Probes
from tinrudder.gateway.peers.zone_monitor import ZoneMonitor

ZONES = ("a", "b", "c", "d")
DIGEST_INTERVAL_S = 0.5
DELAY_RANGE_S = (0.1, 0.3)
SUSPECTING_GATEWAYS = 6
SETTLED_AFTER_S = 8.0
MEASURED_S = 2.0


class Gateway:
    """The zone monitor of one gateway, and its digests."""

    def __init__(self, network: SlowNetwork, own: Member, members: list[Member]) -> None:
        loop = network.loop
        source = random.Random(own.address.port)
        self.own = own
        self.network = network
        self.peers = PeerList(own.address, source, loop.time(), own.zone)
        for member in members:
            self.peers.record_message(member, loop.time())
        datagrams = network.socket(own.address)
        self.probes = Probes(datagrams, lambda number: ProbeAnswer(number, at(1)), loop.time)
        self.zone_monitor = ZoneMonitor(own.zone, self.peers, self.probes, source)
        datagrams.handle(Digest, lambda digest, _: self.zone_monitor.apply_digest(digest))
        self.datagrams = datagrams

    async def send_digests(self) -> None:
        """Send digests until cancelled."""
        while True:
            await asyncio.sleep(
                DIGEST_INTERVAL_S * random.Random(self.own.address.port).uniform(0.8, 1.2)
            )
            digest = Digest(
                self.own,
                position(1),
                position(1),
                silent_zones=self.zone_monitor.paths.own_suspicions,
            )
            self.datagrams.send(digest, *self.peers.receivers(self.network.loop.time()))


class SlowNetwork:
    """Gateways on one virtual clock, with a random delay for each datagram."""

    def __init__(self, size: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.probes_sent = 0
        self._random = random.Random(5)
        self._handlers: dict[Address, dict[type[Any], Any]] = {}
        members = [
            Member(Address("10.0.0.1", number + 1), ZONES[number % len(ZONES)])
            for number in range(size)
        ]
        self.gateways = [Gateway(self, member, members) for member in members]

    def socket(self, own: Address) -> PeerDatagrams:
        """Return a socket whose datagrams are delayed."""
        network = self

        class Socket(PeerDatagrams):
            def __init__(self) -> None:
                self._handlers = {}
                network._handlers[own] = self._handlers

            def send(self, datagram: Any, *peers: Address) -> None:
                network.probes_sent += isinstance(datagram, Probe) * len(peers)
                for peer in peers:
                    delay_s = network._random.uniform(*DELAY_RANGE_S)
                    network.loop.call_later(delay_s, network._deliver, datagram, own, peer)

        return Socket()

    def _deliver(self, datagram: Any, sender: Address, receiver: Address) -> None:
        handler = self._handlers[receiver].get(type(datagram))
        if handler is not None:
            handler(datagram, sender)


async def simulate_suspicions(size: int) -> tuple[float, int]:
    """Return the probes per gateway and second, and the number of closed paths, long after a few
    gateways suspected a zone."""
    network = SlowNetwork(size)
    tasks = [asyncio.create_task(gateway.send_digests()) for gateway in network.gateways]
    await asyncio.sleep(1.0)
    for gateway in network.gateways[:SUSPECTING_GATEWAYS]:
        gateway.zone_monitor.note_unanswered("b", network.loop.time())
    await asyncio.sleep(SETTLED_AFTER_S)
    settled = network.probes_sent
    await asyncio.sleep(MEASURED_S)
    per_second = (network.probes_sent - settled) / MEASURED_S / size
    closed = sum(len(gateway.zone_monitor.paths.lost) for gateway in network.gateways)
    for task in tasks:
        task.cancel()
    return per_second, closed


@pytest.mark.parametrize("size", [28, 113])
def test_suspicions_of_a_zone_end_on_slow_networks(size: int) -> None:
    """If gateways pass on suspicions that peers reported to them, 113 gateways send 11 probes a
    second each and close 29 paths; 28 gateways send 10.7 probes a second each and close 9 paths."""
    loop = async_solipsism.EventLoop()
    try:
        per_second, closed = loop.run_until_complete(simulate_suspicions(size))
    finally:
        loop.close()
    assert per_second == 0.0
    assert closed == 0
