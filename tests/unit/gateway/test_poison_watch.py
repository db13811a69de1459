"""Replication of poison evidence between gateways: complete, bounded, and fast."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Coroutine
from typing import Any

import async_solipsism
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tinrudder.common.address import Address
from tinrudder.common.crash_limit import CRASH_LIMIT
from tinrudder.gateway.decisions.admission.poison_requests import MAX_REQUESTS, Standing
from tinrudder.gateway.peers.peer_datagrams import PeerDatagrams
from tinrudder.gateway.peers.peer_list import PeerList
from tinrudder.gateway.peers.peer_messages import (
    Member,
    PoisonReport,
    ReportedCrash,
    ReportedEvidence,
)
from tinrudder.gateway.peers.poison_watch import (
    BATCH_DELAY_S,
    BURST_DATAGRAMS,
    MAX_EVIDENCE_PER_REPORT,
    PoisonWatch,
)
from tinrudder.gateway.runs.request_fingerprint import FINGERPRINT_BYTES
from tinrudder.gateway.wire.peer_datagram_codec import decode_datagram, encode_datagram
from tinrudder.gateway.wire.snapshot_codec import MalformedPeerMessageError
from tinrudder.platform.headers import HEADERS

SAFE_DATAGRAM_BYTES = 1200
FINGERPRINT = bytes(FINGERPRINT_BYTES)
ORIGIN = b"o" * FINGERPRINT_BYTES

# Eighths of a second are whole milliseconds, the unit on the wire, and exact as floats.
ages = st.integers(0, 10**5).map(lambda eighths: eighths / 8)
digest_bytes = st.binary(min_size=FINGERPRINT_BYTES, max_size=FINGERPRINT_BYTES)
evidence = st.builds(
    ReportedEvidence,
    digest_bytes,
    digest_bytes,
    st.lists(
        st.builds(ReportedCrash, st.integers(0, 2**32 - 1), ages, st.booleans(), st.booleans()),
        max_size=10,
    ).map(tuple),
    st.integers(0, 2**32 - 1),
    st.none() | ages,
    st.none() | ages,
)
reports = st.builds(
    PoisonReport, st.lists(evidence, max_size=MAX_EVIDENCE_PER_REPORT).map(tuple), st.booleans()
)


@given(reports)
def test_a_report_comes_out_as_it_went_in_and_fits_one_datagram(report: PoisonReport) -> None:
    payload = encode_datagram(report)
    assert decode_datagram(payload) == report
    assert len(payload) <= SAFE_DATAGRAM_BYTES


@given(st.binary(max_size=200), st.integers(0, 200), reports)
def test_malformed_reports_raise_only_one_kind_of_error(
    noise: bytes, cut: int, report: PoisonReport
) -> None:
    payload = encode_datagram(report)
    for data in (noise, payload[:cut], payload[:cut] + noise, payload + noise):
        try:
            decode_datagram(data)
        except MalformedPeerMessageError:
            continue


@pytest.mark.parametrize("field", ["fingerprint", "origin"])
def test_a_fingerprint_or_origin_of_wrong_length_is_rejected_by_name(field: str) -> None:
    digest = {"fingerprint": FINGERPRINT, "origin": ORIGIN} | {field: b"short"}
    payload = encode_datagram(PoisonReport((ReportedEvidence(**digest),)))
    with pytest.raises(MalformedPeerMessageError, match=field):
        decode_datagram(payload)


class Network:
    """Gateways without sockets; datagrams are queued until the test delivers them."""

    def __init__(self, size: int, lost_share: float = 0.0) -> None:
        self.now = 100.0
        self.sent: Counter[Address] = Counter()
        self.bytes_sent: Counter[Address] = Counter()
        self.queued: list[tuple[Address, Address, PoisonReport]] = []
        self.watches: dict[Address, PoisonWatch] = {}
        self._random = random.Random(1)
        self._lost_share = lost_share
        addresses = [Address("10.0.0.1", number) for number in range(1, size + 1)]
        for own in addresses:
            peers = PeerList(own, random.Random(own.port), 0.0)
            for other in addresses:
                peers.record_message(Member(other), self.now)
            self.watches[own] = PoisonWatch(
                peers,
                self._socket(own),
                lambda: self.now,
                HEADERS,
                random.Random(own.port),
            )

    def _socket(self, own: Address) -> PeerDatagrams:
        network = self

        class Socket(PeerDatagrams):
            def __init__(self) -> None:
                self._handlers = {}

            def send(self, datagram: object, *peers: Address) -> None:
                assert isinstance(datagram, PoisonReport)
                for peer in peers:
                    network.sent[own] += 1
                    network.bytes_sent[own] += len(encode_datagram(datagram))
                    network.queued.append((own, peer, datagram))

        return Socket()

    def deliver(self) -> None:
        """Deliver all queued datagrams; those sent in response are queued for the next hop."""
        queued, self.queued = self.queued, []
        for sender, receiver, report in queued:
            if self._random.random() >= self._lost_share:
                self.watches[receiver]._on_report(report, sender)

    def barred_share(self) -> float:
        """Return the share of the gateways that bar the request."""
        barred = [
            watch.assess(FINGERPRINT, ORIGIN).standing is Standing.BARRED
            for watch in self.watches.values()
        ]
        return sum(barred) / len(barred)


def run_in_virtual_time(play: Coroutine[Any, Any, Any]) -> Any:
    loop = async_solipsism.EventLoop()
    try:
        return loop.run_until_complete(play)
    finally:
        loop.close()


def bar_request(watch: PoisonWatch) -> None:
    for number in range(CRASH_LIMIT):
        last = number == CRASH_LIMIT - 1
        if not last:
            watch.requests.note_crash(FINGERPRINT, ORIGIN, number, 100.0, trial=False)
        else:
            watch.note_crash(FINGERPRINT, ORIGIN, f"back-end-{number}", trial=True)


@pytest.mark.parametrize(
    ("size", "hops", "lost_share", "least"),
    [
        (7, 1, 0.0, 1.0),
        (64, 1, 0.0, 1.0),
        (300, 3, 0.0, 1.0),
        (730, 4, 0.0, 1.0),
        (730, 4, 0.1, 0.99),
    ],
)
def test_every_gateway_knows_a_barred_request_after_few_hops(
    size: int, hops: int, lost_share: float, least: float
) -> None:
    network = Network(size, lost_share)
    bar_request(next(iter(network.watches.values())))
    for _ in range(hops):
        network.deliver()
    assert network.barred_share() >= least
    assert max(network.bytes_sent.values()) <= 64 * 200


def test_forwarding_of_one_barred_request_ends() -> None:
    network = Network(300)
    bar_request(next(iter(network.watches.values())))
    for _ in range(20):
        network.deliver()
    assert network.queued == []


def test_a_gateway_that_is_not_synced_does_not_answer_that_there_is_no_evidence() -> None:
    network = Network(3)
    first, second, third = network.watches.values()
    first._on_report(PoisonReport(asks=True), Address("10.0.0.1", 2))
    assert network.queued == []
    third.requests.note_crash(FINGERPRINT, ORIGIN, 1, 100.0, trial=False)
    third._on_report(PoisonReport(asks=True), Address("10.0.0.1", 2))
    network.deliver()
    assert second.requests.find(FINGERPRINT) is not None


def test_a_cleared_request_is_reported_to_peers_that_know_an_earlier_crash() -> None:
    async def play() -> Standing:
        network = Network(3)
        first, second, _ = network.watches.values()
        first.note_crash(FINGERPRINT, ORIGIN, "back-end-1", trial=True)
        network.deliver()
        first.note_crash(FINGERPRINT, ORIGIN, "back-end-2", trial=False)
        first.note_answer(FINGERPRINT)
        network.deliver()
        return second.assess(FINGERPRINT, ORIGIN).standing

    assert run_in_virtual_time(play()) is Standing.FREE


def test_a_survivor_does_not_suppress_the_report_of_another_crash() -> None:
    async def play() -> Standing:
        network = Network(3)
        first, second, _ = network.watches.values()
        first.note_crash(FINGERPRINT, ORIGIN, "back-end-1", trial=False)
        first.note_crash(FINGERPRINT, ORIGIN, "back-end-2", trial=False)
        first.withdraw_crash(FINGERPRINT, "back-end-1")
        await asyncio.sleep(2 * BATCH_DELAY_S)
        network.deliver()
        return second.assess(FINGERPRINT, ORIGIN).standing

    assert run_in_virtual_time(play()) is Standing.SUSPECT


def test_a_request_cleared_before_its_first_report_is_not_reported() -> None:
    async def play() -> int:
        network = Network(3)
        first, *_ = network.watches.values()
        first.note_crash(FINGERPRINT, ORIGIN, "back-end-1", trial=False)
        first.note_answer(FINGERPRINT)
        await asyncio.sleep(2 * BATCH_DELAY_S)
        return len(network.queued)

    assert run_in_virtual_time(play()) == 0


def test_requests_for_all_evidence_do_not_delay_new_changes() -> None:
    network = Network(3)
    first, second, _ = network.watches.values()
    for number in range(MAX_REQUESTS):
        fingerprint = number.to_bytes(FINGERPRINT_BYTES, "little")
        first.requests.note_crash(fingerprint, ORIGIN, number, 99.0, trial=False)
    for _ in range(2):
        first._on_report(PoisonReport(asks=True), Address("10.0.0.1", 3))
    assert network.sent.total() <= BURST_DATAGRAMS
    bar_request(first)
    network.deliver()
    assert second.assess(FINGERPRINT, ORIGIN).standing is Standing.BARRED
