"""News of long queues: bounded, merged by moment, and what is decided by it."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tinrudder.gateway.decisions.admission.retry_after import WAITED_SHARE, retry_after_by_share_s
from tinrudder.gateway.decisions.admission.shared_service import has_room, judge, two_of
from tinrudder.gateway.decisions.fleet.load_news import (
    BYTES_PER_S,
    DATAGRAM_BYTES,
    LOAD_BYTES,
    MOST_BYTES,
    MOST_IN_A_DATAGRAM,
    Noted,
    PendingNews,
    ReportedLoad,
    take_load,
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

# Eighths of a second are whole in milliseconds, the unit that travels, and exact as floats.
eighths = st.integers(0, 6).map(lambda number: number / 8)
loads = st.builds(
    ReportedLoad,
    backend=st.integers(0, 2**32 - 1),
    calls=st.integers(0, 99),
    slots=st.integers(1, 99),
    slowdown=st.integers(1, 500).map(lambda percent: percent / 100),
    age_s=eighths,
    shed=st.booleans(),
    work_s=eighths,
)


@given(st.lists(loads, max_size=MOST_IN_A_DATAGRAM).map(tuple))
def test_news_comes_out_as_it_went_in_and_is_small(told: tuple[ReportedLoad, ...]) -> None:
    payload = encode_datagram(LoadNews(told))
    assert decode_datagram(payload) == LoadNews(told)
    assert IP_AND_UDP_BYTES + len(payload) <= DATAGRAM_BYTES + LOAD_BYTES * len(told)


def test_an_age_is_never_told_too_short() -> None:
    payload = encode_datagram(LoadNews((ReportedLoad(1, 4, 2, 1.0, 0.0301),)))
    decoded = decode_datagram(payload)
    assert isinstance(decoded, LoadNews)
    assert decoded.loads[0].age_s == 0.031


@given(
    pauses=st.lists(st.floats(0.0, 2.0), min_size=1, max_size=60),
    wanted=st.integers(1, 729),
    noted=st.integers(1, 8),
)
def test_what_leaves_in_any_time_is_bounded(pauses: list[float], wanted: int, noted: int) -> None:
    pending = PendingNews()
    now = 0.0
    sent: list[tuple[float, int]] = []  # moments and bytes
    for pause in pauses:
        now += pause
        for backend in range(noted):
            pending.note(Noted(backend, False, 0.0, NOW))
        assert len(pending) <= noted
        told, copies = pending.take(now, wanted)
        assert len(told) <= MOST_IN_A_DATAGRAM
        sent.append((now, copies * (DATAGRAM_BYTES + LOAD_BYTES * len(told))))
    for first, (begin, _) in enumerate(sent):
        for last, (end, _) in enumerate(sent[first:], first):
            total = sum(size for _, size in sent[first : last + 1])
            assert total <= MOST_BYTES + BYTES_PER_S * (end - begin) + 1e-6


def test_nothing_is_held_for_peers_that_there_are_not() -> None:
    pending = PendingNews()
    pending.note(Noted(1, True, 0.0, NOW))
    assert pending.take(0.0, 0) == ([], 0)
    assert len(pending) == 0


@given(
    deadlines=st.lists(st.integers(0, 40), min_size=1, max_size=12),
    seed=st.integers(0, 999),
    lost=st.integers(0, 11),
)
def test_the_newest_report_holds_in_any_order_with_any_loss_and_repetition(
    deadlines: list[int], seed: int, lost: int
) -> None:
    """The backlog names the moment; told at any age, some twice, the one numbered lost never."""
    source = random.Random(seed)
    heard = [one for number, one in enumerate(deadlines) if number != lost] or deadlines
    arrivals = heard + source.sample(heard, source.randint(0, len(heard)))
    source.shuffle(arrivals)
    known = BackendObservations(slots=SLOTS)
    now = NOW
    for moment in arrivals:
        told = ReportedLoad(1, moment, SLOTS, 1.0, now - moment / 64 - 9.0)
        take_load(told, known, now)
        now += source.choice((0.0, 1 / 64))
    assert known.reported_backlog == max(heard)
    assert known.reported_at == max(heard) / 64 + 9.0


def test_only_calls_sent_since_the_reports_moment_are_added_to_it() -> None:
    known = BackendObservations(slots=SLOTS)
    for number in range(4):
        known.begin(NOW + number / 10, 0.02)
    known.reported(4, 8, SLOTS, NOW + 0.5, 1.0, age_s=0.35)
    assert known.sent_since_report == 2
    known.reported(4, 8, SLOTS, NOW + 0.6)
    assert known.sent_since_report == 0


def test_an_older_report_changes_nothing() -> None:
    known = BackendObservations(slots=SLOTS)
    assert known.reported(1, 0, SLOTS, NOW)
    known.begin(NOW + 0.1, 0.02)
    assert not known.reported(4, 12, 2, NOW + 0.2, 3.0, age_s=0.21)
    assert not known.reported(4, 12, 2, NOW + 0.2, 3.0, age_s=0.2)
    assert (known.reported_backlog, known.slots, known.sent_since_report) == (1, SLOTS, 1)


def test_a_shed_counts_as_the_longest_queue_and_passes() -> None:
    known = BackendObservations(slots=SLOTS)
    known.reported(4, 11, SLOTS, NOW - 0.5)
    assert known.shed(NOW)
    assert known.wait_s(NOW, 0.1) == pytest.approx(0.1 * 12 / 4)
    assert known.wait_s(NOW + BACKLOG_LIFETIME_S, 0.1) == 0.0
    assert known.sheds_above(NOW) == 11
    assert known.sheds_above(NOW + 10.0) == 0


def test_a_shed_without_a_queue_is_a_fault_and_closes_nothing() -> None:
    known = BackendObservations(slots=SLOTS)
    assert not known.shed(NOW)
    known.reported(1, 0, SLOTS, NOW)
    assert not known.shed(NOW + 0.1)
    assert known.wait_s(NOW + 0.1, 0.1) == 0.0
    assert known.sheds_above(NOW + 0.1) == 0
    assert known.shed(NOW + 0.2, backlog=9)


def service(*waiting: int, age_s: float = 0.1) -> list[BackendObservations]:
    """Return four back ends that reported so many waiting calls; others are not heard."""
    backends = [BackendObservations(slots=SLOTS) for _ in range(4)]
    for known, calls in zip(backends, waiting, strict=False):
        known.reported(SLOTS, calls, SLOTS, NOW, age_s=age_s)
        known.worked(0.25)
    return backends


def share(backends: list[BackendObservations], left_s: float = 0.9, *, late: bool = False) -> float:
    judgement = judge(backends, NOW, 0.25, left_s, priority_steps=0, returning=late, late=late)
    return judgement.share


def test_who_is_admitted_follows_from_what_is_known_of_all_back_ends() -> None:
    assert share(service()) == 1.0
    assert share(service(0, 0, 0, 0)) == 1.0
    assert share(service(12, 12, 12, 12)) == 0.0
    assert 0.0 < share(service(6, 6, 6, 6)) < 1.0
    # One is stale: it must not count as free.
    stale = service(12, 12, 12, 12)
    stale[0].reported_at = NOW - 0.79
    assert share(stale) < 0.1
    # One is slow, the others are free, or not heard since they had no queue.
    assert share(service(12, 0, 0, 0)) > 0.9
    assert share(service(12)) == 1.0
    assert share(service(12, 12, 12, 12, age_s=0.8)) == 1.0


def test_who_comes_late_is_served_from_what_is_left_free() -> None:
    assert share(service(3, 3, 3, 3), late=True) < share(service(3, 3, 3, 3))
    assert share(service(0, 0, 0, 0), late=True) == 1.0


def test_no_queue_is_filled_where_back_ends_shed_however_much_time_is_left() -> None:
    backends = service(11, 11, 11, 11)
    assert share(backends, 60.0) == 1.0
    for known in backends:
        known.shed(NOW - 1.0, backlog=16)
    assert share(backends, 60.0) < 0.1


def test_a_rejected_call_is_tried_elsewhere_only_where_it_fits() -> None:
    assert has_room(service(12, 12, 12, 1), NOW, 0.25, 0.9)
    assert not has_room(service(12, 12, 12, 12), NOW, 0.25, 0.8)
    assert has_room(service(12, 12, 12), NOW, 0.25, 0.3)


def test_without_queues_all_back_ends_stay_to_choose_from() -> None:
    backends = service()
    for known in backends:
        known.reported(SLOTS - 1, 0, SLOTS, NOW)
    assert two_of(backends, lambda one: one, NOW, random.Random(1)) is backends
    busy = service(9, 0, 0, 0)
    drawn = [two_of(busy, lambda one: one, NOW, random.Random(seed)) for seed in range(30)]
    assert all(len(set(map(id, two))) == 2 for two in drawn)


@given(
    wait_s=st.floats(0.0, 5.0),
    admitted=st.floats(0.0, 1.0),
    left_s=st.floats(-1.0, 20.0),
    chance=st.floats(0.0, 1.0),
)
def test_a_pause_is_never_longer_than_clients_honour(
    wait_s: float, admitted: float, left_s: float, chance: float
) -> None:
    pause_s = retry_after_by_share_s(wait_s, admitted, left_s, chance)
    assert 0.0 <= pause_s <= max(0.0, left_s) * WAITED_SHARE


def test_a_rejected_call_goes_elsewhere_where_nobody_waits_however_long_calls_take() -> None:
    """A back end that is leaving rejects as well, and a late answer is worth something."""
    assert has_room(service(0, 0), NOW, usual_s=1.5, left_s=0.9)
