"""Codecs for messages between gateways: encoded messages decode unchanged, and malformed bytes are
rejected."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from tests.support.store_revisions import position
from tinrudder.common.address import Address
from tinrudder.gateway.model.http_messages import HttpRequest
from tinrudder.gateway.model.outcomes import (
    Merged,
    NoAnswer,
    NotRun,
    RequestOutcome,
    TimedOut,
    UnknownRoute,
)
from tinrudder.gateway.peers.peer_messages import (
    Declined,
    Digest,
    Member,
    MissingShard,
    ReportedMember,
    ScatterAnswer,
    ScatterEnd,
    ScatterRequest,
    SnapshotRequest,
)
from tinrudder.gateway.store.store_revision import EpochStart, StoreRevision, TopicPosition
from tinrudder.gateway.wire import gateway_relay_pb2, snapshot_pb2
from tinrudder.gateway.wire.gateway_relay_codec import (
    decode_answer,
    decode_request,
    encode_answer,
    encode_request,
)
from tinrudder.gateway.wire.peer_datagram_codec import decode_datagram, encode_datagram
from tinrudder.gateway.wire.snapshot_codec import (
    MalformedPeerMessageError,
    digest_from_message,
    digest_to_message,
)

MICROSECOND = 1e-6
TEXT = st.text(max_size=20)
REVISION = st.integers(0, 2**63)
STORE_REVISIONS = st.builds(StoreRevision, st.integers(0, 2**31 - 1), REVISION)
BEGINS = st.builds(EpochStart, st.integers(0, 120).map(float), REVISION)
POSITIONS = st.builds(TopicPosition, STORE_REVISIONS, STORE_REVISIONS, st.none() | BEGINS)
SECONDS = st.floats(0, 100).map(lambda value: round(value, 3))
HEADERS = st.lists(st.tuples(st.binary(max_size=8), st.binary(max_size=8)), max_size=4).map(tuple)
REQUESTS = st.builds(
    HttpRequest, st.binary(max_size=8), st.binary(max_size=20), HEADERS, st.binary(max_size=50)
)
SCATTERS = st.builds(
    ScatterRequest,
    request=REQUESTS,
    request_id=st.binary(max_size=16),
    objective_left_s=st.floats(-10, 10),
    deadline_left_s=st.floats(0, 60),
    returning=st.booleans(),
    configuration_revision=REVISION,
    shards=st.lists(TEXT, max_size=4).map(tuple),
    minimum_share=st.floats(0, 1),
    configuration_version=st.none() | REVISION,
)
OUTCOMES = st.one_of(
    st.builds(
        Merged,
        body=st.binary(max_size=64),
        stamps=st.lists(st.binary(max_size=8), max_size=4).map(tuple),
        missing=st.integers(0, 200),
    ),
    st.builds(NotRun, TEXT, st.floats(0, 10)),
    st.builds(NoAnswer, TEXT),
    st.builds(TimedOut, TEXT),
)
ANSWERS = st.one_of(
    st.builds(Declined, TEXT),
    st.builds(
        ScatterEnd,
        outcome=OUTCOMES,
        configuration_version=REVISION,
        repeats=st.integers(0, 500),
        missing_shards=st.lists(st.builds(MissingShard, TEXT, TEXT), max_size=4).map(tuple),
    ),
)
MEMBERS = st.builds(
    Member,
    address=st.integers(1, 250).map(lambda number: Address(f"10.0.0.{number}", 81)),
    zone=TEXT,
    capacity=st.sampled_from([0.5, 2.0]),
    leaving=st.booleans(),
    starting=st.booleans(),
)
DIGESTS = st.builds(
    Digest,
    sender=MEMBERS,
    operator=POSITIONS,
    backends=POSITIONS,
    configuration_version=REVISION,
    members=st.lists(st.builds(ReportedMember, MEMBERS, SECONDS), max_size=8).map(tuple),
    operator_unconfirmed_s=st.none() | SECONDS,
    backends_unconfirmed_s=st.none() | SECONDS,
)


@given(SCATTERS)
def test_a_scatter_is_read_as_it_was_written(scatter: ScatterRequest) -> None:
    read = decode_request(encode_request(scatter))
    assert isinstance(read, ScatterRequest)
    assert abs(read.objective_left_s - scatter.objective_left_s) <= MICROSECOND
    assert abs(read.deadline_left_s - scatter.deadline_left_s) <= MICROSECOND
    same = replace(read, objective_left_s=0.0, deadline_left_s=0.0)
    assert same == replace(scatter, objective_left_s=0.0, deadline_left_s=0.0)


@given(POSITIONS, POSITIONS, st.booleans(), REVISION)
def test_a_request_for_a_snapshot_is_read_as_it_was_written(
    operator: TopicPosition, backends: TopicPosition, members_wanted: bool, version: int
) -> None:
    request = SnapshotRequest(operator, backends, members_wanted, version)
    assert decode_request(encode_request(request)) == request


def test_older_gateways_exchange_revision_numbers_without_epochs() -> None:
    """Both versions run side by side during an upgrade; the older one knows only the first fields,
    which hold revision numbers without epochs."""
    older = snapshot_pb2.SnapshotRequest(operator_revision=40, backends_revision=57)
    payload = gateway_relay_pb2.PeerRequest(snapshot=older).SerializeToString()
    assert decode_request(payload) == SnapshotRequest(position(40), position(57))
    request = SnapshotRequest(position(60, 2), position(57, 2))
    decoded = gateway_relay_pb2.PeerRequest.FromString(encode_request(request)).snapshot
    assert (decoded.operator_revision, decoded.backends_revision) == (60, 57)

    sender = snapshot_pb2.Member(address="10.0.0.1:81")
    older_digest = snapshot_pb2.Digest(sender=sender, operator_revision=40, backends_revision=57)
    digest = digest_from_message(older_digest)
    assert (digest.operator, digest.backends) == (position(40), position(57))
    message = digest_to_message(Digest(digest.sender, position(60, 2), position(57, 2)))
    assert (message.operator_revision, message.backends_revision) == (60, 57)


def test_an_older_entry_sends_no_configuration_version() -> None:
    payload = gateway_relay_pb2.PeerRequest(
        scatter=gateway_relay_pb2.ScatterRequest(configuration_revision=63)
    ).SerializeToString()
    scatter = decode_request(payload)
    assert isinstance(scatter, ScatterRequest)
    assert (scatter.configuration_version, scatter.configuration_revision) == (None, 63)


@given(ANSWERS)
def test_an_answer_is_read_as_it_was_written(answer: ScatterAnswer) -> None:
    assert decode_answer(encode_answer(answer)) == answer


@given(DIGESTS)
def test_a_digest_is_read_as_it_was_written(digest: Digest) -> None:
    read = decode_datagram(encode_datagram(digest))
    assert read.sender == digest.sender
    assert (read.operator, read.backends) == (digest.operator, digest.backends)
    assert read.configuration_version == digest.configuration_version
    assert [told.member for told in read.members] == [told.member for told in digest.members]
    for ours, theirs in zip(read.members, digest.members, strict=True):
        assert abs(ours.age_s - theirs.age_s) <= 0.001
    assert (read.operator_unconfirmed_s is None) == (digest.operator_unconfirmed_s is None)


@given(st.binary(max_size=200))
def test_other_bytes_are_refused_or_read_but_never_break(data: bytes) -> None:
    for decode in (decode_request, decode_answer, decode_datagram):
        with contextlib.suppress(MalformedPeerMessageError):
            decode(data)


def test_an_empty_message_is_neither_request_nor_answer() -> None:
    for decode in (decode_request, decode_answer, decode_datagram):
        with pytest.raises(MalformedPeerMessageError):
            decode(b"")


def test_only_outcomes_of_a_scatter_can_be_encoded() -> None:
    outcome: RequestOutcome = UnknownRoute()
    with pytest.raises(ValueError, match="UnknownRoute"):
        encode_answer(ScatterEnd(outcome, 1))
