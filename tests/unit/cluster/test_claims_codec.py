"""Claim messages decode to what was encoded; invalid bytes raise only ``MalformedClaimError``."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tinrudder.cluster.claims.claims import (
    KEY_BYTES,
    Abstained,
    AbstainReason,
    AnswerQuestion,
    AnswerStatus,
    ClaimKey,
    Granted,
    Held,
    KnownList,
    NeedElectorates,
    ProposerId,
    StoredAnswer,
    VoteRelease,
    VoteRequest,
)
from tinrudder.cluster.claims.electorate import Voter, make_electorate
from tinrudder.cluster.wire.claims_codec import (
    MalformedClaimError,
    SentReply,
    SentRequest,
    decode_reply,
    decode_request,
    encode_reply,
    encode_request,
)
from tinrudder.peers import PeerAddress

NUMBERS = st.integers(0, 2**64 - 1)
ADDRESSES = st.builds(PeerAddress, st.text(max_size=20), st.integers(0, 65535))
PROPOSERS = st.builds(ProposerId, st.text(max_size=20), NUMBERS, NUMBERS, ADDRESSES)
KEYS = st.builds(ClaimKey, st.binary(min_size=KEY_BYTES, max_size=KEY_BYTES))
VOTERS = st.builds(Voter, st.text(max_size=20), st.text(max_size=20), ADDRESSES)
ELECTORATES = st.lists(VOTERS, min_size=1, max_size=5).map(make_electorate)
TIMES = st.floats(allow_nan=False, allow_infinity=False)
REQUESTS = st.one_of(
    st.builds(VoteRequest, KEYS, PROPOSERS, TIMES, st.lists(NUMBERS, max_size=8).map(tuple)),
    st.builds(VoteRelease, KEYS, PROPOSERS),
    st.builds(KnownList, VOTERS),
    st.builds(AnswerQuestion, KEYS, PROPOSERS, st.binary(max_size=20)),
)
REPLIES = st.one_of(
    st.just(Granted()),
    st.builds(Held, PROPOSERS),
    st.builds(Abstained, st.sampled_from(AbstainReason)),
    st.builds(NeedElectorates, st.lists(ELECTORATES, max_size=4).map(tuple)),
    st.builds(StoredAnswer, st.sampled_from(AnswerStatus), st.binary(max_size=50)),
)


@given(st.builds(SentRequest, NUMBERS, REQUESTS, NUMBERS), st.data())
def test_requests_round_trip_and_truncated_ones_are_refused_or_decoded(sent, data):
    payload = encode_request(sent)
    assert decode_request(payload) == sent
    with contextlib.suppress(MalformedClaimError):
        decode_request(payload[: data.draw(st.integers(0, len(payload)))])


@given(st.builds(SentReply, NUMBERS, REPLIES))
def test_replies_round_trip_with_recomputed_fingerprints(sent):
    decoded = decode_reply(encode_reply(sent))
    assert decoded == sent
    if isinstance(decoded.reply, NeedElectorates):
        before = [one.fingerprint for one in sent.reply.electorates]
        assert [one.fingerprint for one in decoded.reply.electorates] == before


@given(st.binary(max_size=300))
def test_random_bytes_raise_only_malformed_claim_error(payload):
    for decode in (decode_request, decode_reply):
        with contextlib.suppress(MalformedClaimError):
            decode(payload)


@pytest.mark.parametrize("valid_until", [float("nan"), float("inf")])
def test_a_vote_without_an_end_is_refused(valid_until):
    proposer = ProposerId("a", 1, 1, PeerAddress("10.0.0.1", 1))
    request = VoteRequest(ClaimKey(bytes(KEY_BYTES)), proposer, valid_until, ())
    with pytest.raises(MalformedClaimError):
        decode_request(encode_request(SentRequest(1, request)))
