"""Received datagrams: sealing, decoding, and rejection of invalid ones."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.support.datagram_network import KEY, Cluster
from tinrudder.cluster.membership_messages import (
    Acknowledgement,
    Enforcement,
    Envelope,
    Gossip,
    MemberUpdate,
    NegativeAcknowledgement,
    Observation,
    ObservationKind,
    Ping,
    PingRequest,
    Place,
    SyncAnswer,
    SyncRequest,
)
from tinrudder.cluster.membership_table import BUCKETS
from tinrudder.cluster.view import MemberStatus
from tinrudder.cluster.wire.datagram_seal import (
    MAX_CLOCK_DIFFERENCE_S,
    DatagramSeal,
    RefusalReason,
    RefusedDatagramError,
)
from tinrudder.cluster.wire.membership_codec import (
    MalformedDatagramError,
    decode_envelope,
    encode_envelope,
)
from tinrudder.peers import PeerAddress

names = st.text(min_size=1, max_size=30)
numbers = st.integers(0, 2**32 - 1)
large_numbers = st.integers(0, 2**64 - 1)
addresses = st.builds(PeerAddress, st.just("10.1.2.3"), st.integers(1, 65535))
updates = st.builds(
    MemberUpdate,
    names,
    large_numbers,
    st.sampled_from(MemberStatus),
    st.none() | st.builds(Place, names, names, addresses),
    large_numbers,
    st.just("") | names,
)
digests = st.lists(numbers, min_size=BUCKETS, max_size=BUCKETS).map(tuple)
bodies = st.one_of(
    st.builds(Ping, numbers, st.just("") | names),
    st.builds(PingRequest, numbers, names, addresses),
    st.builds(Acknowledgement, numbers),
    st.builds(NegativeAcknowledgement, numbers),
    st.builds(Gossip),
    st.builds(SyncRequest, digests, st.booleans()),
    st.builds(SyncAnswer),
)
observations = st.builds(
    Observation, names, st.sampled_from(ObservationKind), names, large_numbers, st.just(1.25)
)
envelopes = st.builds(
    Envelope,
    names,
    large_numbers,
    large_numbers,
    bodies,
    st.lists(updates, max_size=4).map(tuple),
    st.none() | st.builds(Enforcement, large_numbers, large_numbers, st.binary(max_size=90)),
    st.lists(observations, max_size=3).map(tuple),
)


@given(envelopes)
def test_an_envelope_survives_the_wire(envelope):
    assert decode_envelope(encode_envelope(envelope)) == envelope


@given(st.binary(max_size=300))
def test_any_bytes_decode_or_are_refused(payload):
    with contextlib.suppress(MalformedDatagramError):
        decode_envelope(payload)


@given(envelopes, st.integers(0, 10_000), st.integers(1, 255))
def test_a_damaged_envelope_is_refused_or_still_within_limits(envelope, position, change):
    payload = bytearray(encode_envelope(envelope))
    payload[position % len(payload)] ^= change
    try:
        decoded = decode_envelope(bytes(payload))
    except MalformedDatagramError:
        return
    assert all(0 < len(update.name) <= 100 for update in decoded.updates)


@given(envelopes)
def test_a_node_outlives_whatever_a_key_holder_sends(envelope):
    node = Cluster().add("n")
    node._on_datagram(PeerAddress("10.0.0.9", 9), _seal(1).seal(encode_envelope(envelope)))
    assert node.counters.refused == node.counters.malformed == 0


def _seal(session: int, wall_clock_s: float = 1_700_000_000.0, key: bytes = b"") -> DatagramSeal:
    return DatagramSeal((key or KEY,), session, lambda: wall_clock_s)


@given(st.binary(max_size=100), st.integers(0, 10_000), st.integers(1, 255))
def test_a_changed_datagram_is_refused(payload, position, change):
    sealed = bytearray(_seal(1).seal(payload))
    sealed[position % len(sealed)] ^= change
    with pytest.raises(RefusedDatagramError):
        _seal(2).open(bytes(sealed))


@pytest.mark.parametrize(
    ("sender", "reason"),
    [
        (_seal(1, key=b"other"), RefusalReason.FORGED),
        (_seal(1, 1_700_000_000 - MAX_CLOCK_DIFFERENCE_S - 1), RefusalReason.CLOCK),
        (_seal(1, 1_700_000_000 + MAX_CLOCK_DIFFERENCE_S + 1), RefusalReason.CLOCK),
    ],
)
def test_refusals_say_why(sender, reason):
    with pytest.raises(RefusedDatagramError) as caught:
        _seal(2).open(sender.seal(b"payload"))
    assert caught.value.reason is reason


@given(st.lists(st.integers(0, 199), max_size=300))
def test_each_datagram_is_let_in_at_most_once_in_any_order(order):
    sender, receiver = _seal(1), _seal(2)
    sealed = [sender.seal(str(number).encode()) for number in range(200)]
    opened = []
    for number in order:
        try:
            opened.append(receiver.open(sealed[number]))
        except RefusedDatagramError as error:
            assert error.reason is RefusalReason.REPLAYED
    assert len(opened) == len(set(opened))
    assert len(opened) >= min(1, len(order))
