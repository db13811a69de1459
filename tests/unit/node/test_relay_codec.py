"""The relay codec: messages survive a round trip, and malformed or oversized ones are rejected."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tinrudder.node.outcomes import Answer, Complete, Coverage, NotRun, NotRunReason, Outcome, Row
from tinrudder.node.query.request import QueryRequest
from tinrudder.node.wire import relay_pb2
from tinrudder.node.wire.relay_codec import (
    MAX_OUTCOME_BYTES,
    MAX_REQUEST_BYTES,
    RelayCodecError,
    RelayedQuery,
    decode_outcome,
    decode_query,
    encode_outcome,
    encode_query,
)

TEXT = st.text(st.characters(codec="utf-8"), max_size=20)
FLOAT = st.floats(allow_nan=False)
st.register_type_strategy(str, TEXT)
st.register_type_strategy(float, FLOAT)
REQUESTS = st.builds(
    QueryRequest,
    limit=st.integers(0, 2**32 - 1),
    version=st.none() | st.integers(0, 2**64 - 1),
    deadline=st.just(0.0),
)
ANSWERS = st.builds(Answer, version=st.integers(0, 2**64 - 1))
st.register_type_strategy(Answer, ANSWERS)


@given(st.builds(RelayedQuery, REQUESTS, FLOAT, FLOAT, st.booleans()))
def test_query_round_trip(query: RelayedQuery) -> None:
    assert decode_query(encode_query(query)) == query


@given(st.from_type(Outcome))
def test_outcome_round_trip(outcome: Outcome) -> None:
    assert decode_outcome(encode_outcome(outcome)) == outcome


@given(st.binary(max_size=200))
def test_garbage_is_an_error_or_a_value(payload: bytes) -> None:
    for decode in (decode_query, decode_outcome):
        try:
            decode(payload)
        except RelayCodecError:
            continue


def test_empty_outcome_and_unknown_reason_are_refused() -> None:
    with pytest.raises(RelayCodecError):
        decode_outcome(b"")
    encoded = encode_outcome(NotRun(NotRunReason.OVERLOADED))
    with pytest.raises(RelayCodecError):
        decode_outcome(encoded.replace(encoded[4:], b"?" * len(encoded[4:])))


def test_rows_of_uneven_columns_are_refused() -> None:
    message = relay_pb2.RelayOutcome()
    message.complete.orders.append(1.0)
    with pytest.raises(RelayCodecError):
        decode_outcome(message.SerializeToString())


@given(REQUESTS)
def test_oversized_query_is_refused(request: QueryRequest) -> None:
    oversized = replace(request, match={"field": "x" * MAX_REQUEST_BYTES})
    with pytest.raises(RelayCodecError, match="at most"):
        encode_query(RelayedQuery(oversized, 1.0, 0.0))


def test_oversized_outcome_is_refused_both_ways() -> None:
    row = Row(math.inf, "r", b"x" * MAX_OUTCOME_BYTES)
    with pytest.raises(RelayCodecError, match="at most"):
        encode_outcome(Complete(Answer(1, (row,), Coverage(()))))
    with pytest.raises(RelayCodecError, match="at most"):
        decode_outcome(b"x" * (MAX_OUTCOME_BYTES + 1))


def test_number_out_of_range_is_refused() -> None:
    request = QueryRequest("q", "t", "i", "r", {}, "time", False, -1, 0.0)
    with pytest.raises(RelayCodecError):
        encode_query(RelayedQuery(request, 1.0, 0.0))
