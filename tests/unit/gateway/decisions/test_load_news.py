"""Load reports between gateways: their traffic is bounded, and the newest report wins."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tinrudder.gateway.decisions.fleet.peer_load_reports import (
    BURST_BYTES,
    BYTES_PER_S,
    DATAGRAM_BYTES,
    LOAD_BYTES,
    MAX_PER_DATAGRAM,
    PendingReport,
    PendingReports,
    ReportedLoad,
    apply_report,
)
from tinrudder.gateway.decisions.placement.backend_observations import (
    BACKLOG_LIFETIME_S,
    BackendObservations,
)
from tinrudder.gateway.peers.peer_messages import LoadNews
from tinrudder.gateway.wire.peer_datagram_codec import decode_datagram, encode_datagram

IP_AND_UDP_BYTES = 28

SLOTS = 4

NOW = 10.0

# Eighths of a second are whole milliseconds, the unit of the encoding, and exact as floats.
eighths = st.integers(0, 6).map(lambda number: number / 8)

loads = st.builds(
    ReportedLoad,
    backend=st.integers(0, 2**32 - 1),
    calls=st.integers(0, 99),
    slots=st.integers(1, 99),
    slowdown=st.integers(1, 500).map(lambda percent: percent / 100),
    age_s=eighths,
    shed=st.booleans(),
    service_time_s=eighths,
)


@given(st.lists(loads, max_size=MAX_PER_DATAGRAM).map(tuple))
def test_reports_survive_the_encoding_within_the_size_bound(
    reports: tuple[ReportedLoad, ...],
) -> None:
    payload = encode_datagram(LoadNews(reports))
    assert decode_datagram(payload) == LoadNews(reports)
    assert IP_AND_UDP_BYTES + len(payload) <= DATAGRAM_BYTES + LOAD_BYTES * len(reports)


def test_an_encoded_age_is_never_rounded_down() -> None:
    payload = encode_datagram(LoadNews((ReportedLoad(1, 4, 2, 1.0, 0.0301),)))
    decoded = decode_datagram(payload)
    assert isinstance(decoded, LoadNews)
    assert decoded.loads[0].age_s == 0.031


@given(
    pauses=st.lists(st.floats(0.0, 2.0), min_size=1, max_size=60),
    wanted=st.integers(1, 729),
    noted=st.integers(1, 8),
)
def test_the_bytes_sent_in_any_period_are_bounded(
    pauses: list[float], wanted: int, noted: int
) -> None:
    pending = PendingReports()
    now = 0.0
    sent: list[tuple[float, int]] = []  # time and bytes
    for pause in pauses:
        now += pause
        for backend in range(noted):
            pending.note(PendingReport(backend, False, 0.0, NOW))
        assert len(pending) <= noted
        reports, copies = pending.take(now, wanted)
        assert len(reports) <= MAX_PER_DATAGRAM
        sent.append((now, copies * (DATAGRAM_BYTES + LOAD_BYTES * len(reports))))
    for first, (begin, _) in enumerate(sent):
        for last, (end, _) in enumerate(sent[first:], first):
            total = sum(size for _, size in sent[first : last + 1])
            assert total <= BURST_BYTES + BYTES_PER_S * (end - begin) + 1e-6


def test_without_peers_pending_reports_are_dropped() -> None:
    pending = PendingReports()
    pending.note(PendingReport(1, True, 0.0, NOW))
    assert pending.take(0.0, 0) == ([], 0)
    assert len(pending) == 0


@given(
    moments=st.lists(st.integers(0, 40), min_size=1, max_size=12),
    seed=st.integers(0, 999),
    lost=st.integers(0, 11),
)
def test_the_newest_report_holds_in_any_order_with_any_loss_and_repetition(
    moments: list[int], seed: int, lost: int
) -> None:
    """Each report's backlog identifies its time; some arrive twice, and number ``lost`` never."""
    source = random.Random(seed)
    received = [one for number, one in enumerate(moments) if number != lost] or moments
    arrivals = received + source.sample(received, source.randint(0, len(received)))
    source.shuffle(arrivals)
    observed = BackendObservations(slots=SLOTS)
    now = NOW
    for moment in arrivals:
        report = ReportedLoad(1, moment, SLOTS, 1.0, now - moment / 64 - 9.0)
        apply_report(report, observed, now)
        now += source.choice((0.0, 1 / 64))
    assert observed.reported_backlog == max(received)
    assert observed.reported_at == max(received) / 64 + 9.0


def test_only_calls_sent_since_the_reports_moment_are_added_to_it() -> None:
    observed = BackendObservations(slots=SLOTS)
    for number in range(4):
        observed.begin(NOW + number / 10, 0.02)
    observed.reported(4, 8, SLOTS, NOW + 0.5, 1.0, age_s=0.35)
    assert observed.sent_since_report == 2
    observed.reported(4, 8, SLOTS, NOW + 0.6)
    assert observed.sent_since_report == 0


def test_an_older_report_changes_nothing() -> None:
    observed = BackendObservations(slots=SLOTS)
    assert observed.reported(1, 0, SLOTS, NOW)
    observed.begin(NOW + 0.1, 0.02)
    assert not observed.reported(4, 12, 2, NOW + 0.2, 3.0, age_s=0.21)
    assert not observed.reported(4, 12, 2, NOW + 0.2, 3.0, age_s=0.2)
    assert (observed.reported_backlog, observed.slots, observed.sent_since_report) == (1, SLOTS, 1)


def test_a_shed_counts_as_the_longest_queue_until_it_is_old() -> None:
    observed = BackendObservations(slots=SLOTS)
    observed.reported(4, 11, SLOTS, NOW - 0.5)
    assert observed.shed(NOW)
    assert observed.wait_s(NOW, 0.1) == pytest.approx(0.1 * 12 / 4)
    assert observed.wait_s(NOW + BACKLOG_LIFETIME_S, 0.1) == 0.0
    assert observed.shed_queue_length(NOW) == 11
    assert observed.shed_queue_length(NOW + 10.0) == 0


def test_a_shed_without_a_queue_counts_as_a_fault_and_not_as_load() -> None:
    observed = BackendObservations(slots=SLOTS)
    assert not observed.shed(NOW)
    observed.reported(1, 0, SLOTS, NOW)
    assert not observed.shed(NOW + 0.1)
    assert observed.wait_s(NOW + 0.1, 0.1) == 0.0
    assert observed.shed_queue_length(NOW + 0.1) == 0
    assert observed.shed(NOW + 0.2, backlog=9)
