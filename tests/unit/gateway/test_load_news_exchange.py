"""Load news and its log lines stay bounded, however many services are overloaded."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

import pytest

from tests.support.fakes import ManualTimers
from tinrudder.common.address import Address
from tinrudder.gateway.backends import load_report_exchange
from tinrudder.gateway.backends.load_report_exchange import (
    LOG_INTERVAL_S,
    LoadReportExchange,
    instance_hash_of,
)
from tinrudder.gateway.decisions.fleet.peer_load_reports import (
    BATCH_DELAY_S,
    BURST_BYTES,
    BYTES_PER_S,
    ReportedLoad,
)
from tinrudder.gateway.decisions.placement.backend_observations import BackendObservations
from tinrudder.gateway.model.configuration import BackendEntry
from tinrudder.gateway.peers.peer_list import PeerList
from tinrudder.gateway.peers.peer_messages import LoadNews, Member
from tinrudder.gateway.wire.peer_datagram_codec import encode_datagram

IP_AND_UDP_BYTES = 28
SERVICES = 50
SECONDS = 30
PEERS = 112


class CountingSocket:
    """Counts the bytes that would be sent through a socket."""

    def __init__(self) -> None:
        self.bytes = 0

    def handle(self, kind: type[LoadNews], handler: Any) -> None:
        self.handler = handler

    def send(self, news: LoadNews, *peers: Address) -> None:
        self.bytes += len(peers) * (len(encode_datagram(news)) + IP_AND_UDP_BYTES)


def backend(number: int) -> Any:
    entry = BackendEntry(f"b{number}", f"service-{number}", "10.0.0.1", 1, "z", 4, False)
    return SimpleNamespace(
        entry=entry, backend_id=entry.backend_id, observations=BackendObservations(slots=4)
    )


@pytest.mark.parametrize("peers", [0, 6, PEERS])
def test_bytes_and_lines_are_bounded_in_the_worst_overload(
    peers: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    lines: list[str] = []
    monkeypatch.setattr(
        load_report_exchange, "log_event", lambda event, fields: lines.append(event)
    )
    timers, socket = ManualTimers(now=100.0), CountingSocket()
    known = PeerList(Address("10.0.0.9", 1), random.Random(1), 0.0)
    for number in range(peers):
        known.record_message(Member(Address(f"10.0.1.{number}", 1)), 100.0)
    backends = [backend(number) for number in range(SERVICES)]
    exchange = LoadReportExchange(known, socket, timers, lambda: backends)  # type: ignore[arg-type]
    for _ in range(SECONDS * 10):
        for one in backends:
            one.observations.reported(4, 12, 4, timers.now)
            exchange.on_load(one, shed=False, service_time_s=0.25)
        timers.advance(0.1)
    assert socket.bytes <= BURST_BYTES + BYTES_PER_S * SECONDS
    assert (socket.bytes > 0) == (peers > 0)
    assert 0 < len(lines) <= SECONDS / LOG_INTERVAL_S + 1


def test_load_that_a_peer_has_reported_meanwhile_is_not_sent() -> None:
    timers, socket = ManualTimers(now=100.0), CountingSocket()
    known = PeerList(Address("10.0.0.9", 1), random.Random(1), 0.0)
    known.record_message(Member(Address("10.0.1.1", 1)), 100.0)
    one = backend(1)
    exchange = LoadReportExchange(known, socket, timers, lambda: [one])  # type: ignore[arg-type]
    one.observations.reported(4, 12, 4, timers.now)
    exchange.on_load(one, shed=False, service_time_s=0.25)
    timers.advance(BATCH_DELAY_S / 2)
    peer_load = ReportedLoad(instance_hash_of(one.entry), 7, 4, 1.0, 0.001)
    socket.handler(LoadNews((peer_load,)), Address("10.0.1.1", 1))
    timers.advance(BATCH_DELAY_S)
    assert one.observations.reported_backlog == 7
    assert socket.bytes == 0
