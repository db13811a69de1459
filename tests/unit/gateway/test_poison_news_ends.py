"""Replication of poison evidence dies out even if datagrams between gateways are slow.

Evidence is sent with its age, and network delay makes it look more recent.  If receivers kept the
latest time of an event, they would forward the same evidence forever: with one request at 113
gateways, each sent 32, 565 and 11,900 datagrams a second after 1.5, 2 and 2.5 s.  The tests delay
datagrams by up to 0.5 s, let ten requests lose a call and be answered, and count later datagrams.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any

import async_solipsism
import pytest

from tinrudder.common.address import Address
from tinrudder.gateway.decisions.admission.crash_evidence import (
    EVIDENCE_RETENTION_S,
    Crash,
    Evidence,
)
from tinrudder.gateway.peers.peer_datagrams import PeerDatagrams
from tinrudder.gateway.peers.peer_list import PeerList
from tinrudder.gateway.peers.peer_messages import Member, PoisonReport
from tinrudder.gateway.peers.poison_watch import PoisonWatch
from tinrudder.gateway.runs.request_fingerprint import FINGERPRINT_BYTES
from tinrudder.platform.headers import HEADERS

ORIGIN = b"o" * FINGERPRINT_BYTES
REQUESTS = 10
ARRIVAL_SPAN_S = 1.0
ANSWERED_AFTER_S = 0.15
SETTLED_AFTER_S = 3.0
REPEAT_RECEIVERS = {7: 6, 28: 3, 113: 3}
"""Number of peers, by fleet size, to which each gateway repeats evidence every 0.8 to 1 s."""
MAX_DATAGRAMS_PER_REQUEST = 25
"""Datagrams that each gateway may send for a request: it forwards evidence to 8 peers when a crash
is recorded and again when it is dropped, and repeats it in between."""


class SlowNetwork:
    """Gateways on one virtual clock, with a random delay for each datagram."""

    def __init__(self, size: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.sent = 0
        self._random = random.Random(5)
        addresses = [Address("10.0.0.1", number) for number in range(1, size + 1)]
        self.watches: dict[Address, PoisonWatch] = {}
        for own in addresses:
            peers = PeerList(own, random.Random(own.port), self.loop.time())
            for other in addresses:
                peers.record_message(Member(other), self.loop.time())
            self.watches[own] = PoisonWatch(
                peers, self._socket(own), self.loop.time, HEADERS, random.Random(own.port)
            )

    def _socket(self, own: Address) -> PeerDatagrams:
        network = self

        class Socket(PeerDatagrams):
            def __init__(self) -> None:
                self._handlers = {}

            def send(self, datagram: Any, *peers: Address) -> None:
                for peer in peers:
                    network.sent += 1
                    network.loop.call_later(
                        network._random.uniform(0.05, 0.5), network._deliver, datagram, own, peer
                    )

        return Socket()

    def _deliver(self, report: PoisonReport, sender: Address, receiver: Address) -> None:
        self.watches[receiver]._on_report(report, sender)

    async def lose_and_answer(self, number: int) -> None:
        """Let one gateway lose a call of a request that a back end answers soon after."""
        await asyncio.sleep(self._random.uniform(0.0, ARRIVAL_SPAN_S))
        watch = self._random.choice(list(self.watches.values()))
        fingerprint = number.to_bytes(FINGERPRINT_BYTES, "big")
        watch.note_crash(fingerprint, ORIGIN, f"back-end-{number}", trial=number % 4 == 0)
        await asyncio.sleep(ANSWERED_AFTER_S)
        watch.note_answer(fingerprint)


async def simulate_answered_requests(size: int) -> tuple[float, float, int]:
    """Return the datagrams per gateway in total, those per gateway in one second after the network
    has settled, and how many pieces of evidence all gateways together still hold at the end."""
    network = SlowNetwork(size)
    tasks = [asyncio.create_task(watch.run()) for watch in network.watches.values()]
    await asyncio.sleep(3.0)
    before = network.sent
    await asyncio.gather(*(network.lose_and_answer(number) for number in range(REQUESTS)))
    await asyncio.sleep(SETTLED_AFTER_S)
    total = (network.sent - before) / size
    settled = network.sent
    await asyncio.sleep(1.0)
    per_second = (network.sent - settled) / size
    held = sum(
        bool(evidence.counted_crashes)
        for watch in network.watches.values()
        for _, evidence in watch.requests.all()
    )
    for task in tasks:
        task.cancel()
    return total, per_second, held


@pytest.mark.parametrize("size", [7, 28, 113])
def test_evidence_of_answered_requests_stops_spreading_on_slow_networks(size: int) -> None:
    loop = async_solipsism.EventLoop()
    try:
        total, per_second, held = loop.run_until_complete(simulate_answered_requests(size))
    finally:
        loop.close()
    assert held == 0
    assert per_second <= 1.25 * REPEAT_RECEIVERS[size]
    assert total <= REQUESTS * MAX_DATAGRAMS_PER_REQUEST


async def simulate_forgetting() -> tuple[int, int]:
    """Return the datagrams that 113 gateways send in a second, and the number of gateways that know
    a request, after each has forgotten it at a time that differs by the propagation delay."""
    network = SlowNetwork(113)
    tasks = [asyncio.create_task(watch.run()) for watch in network.watches.values()]
    await asyncio.sleep(3.0)
    now = network.loop.time()
    ages = random.Random(7)
    for watch in network.watches.values():
        crash = Crash(1, now - EVIDENCE_RETENTION_S + ages.uniform(2.0, 3.0), False)
        watch.requests.merge(b"f" * FINGERPRINT_BYTES, Evidence(ORIGIN, (crash,)))
    await asyncio.sleep(6.0)
    before = network.sent
    await asyncio.sleep(1.0)
    for task in tasks:
        task.cancel()
    return network.sent - before, sum(len(watch.requests) for watch in network.watches.values())


def test_forgotten_evidence_is_not_merged_again_from_peers_that_still_have_it() -> None:
    loop = async_solipsism.EventLoop()
    try:
        sent, known = loop.run_until_complete(simulate_forgetting())
    finally:
        loop.close()
    assert (sent, known) == (0, 0)
