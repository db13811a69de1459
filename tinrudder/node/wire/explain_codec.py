"""Protobuf codec for explanation requests and replies.

Owns the encoding and the size limit of replies.
"""

from __future__ import annotations

from dataclasses import dataclass

from google.protobuf.message import DecodeError

from tinrudder.node.wire import explain_pb2

MAX_REPLY_BYTES = 4 * 1024 * 1024


class ExplainCodecError(Exception):
    """The bytes are not a message of this kind, or exceed the size limit."""


@dataclass(frozen=True, slots=True)
class ExplainLookupRequest:
    """A request for the explanation of one query.

    :param tenant: tenant that must own the query, ``None`` for an operator.
    """

    query_id: str
    tenant: str | None


def encode_lookup_request(lookup_request: ExplainLookupRequest) -> bytes:
    """Encode a request."""
    message = explain_pb2.ExplainRequest(
        query_id=lookup_request.query_id, tenant=lookup_request.tenant
    )
    return message.SerializeToString()


def decode_lookup_request(payload: bytes) -> ExplainLookupRequest:
    """Decode a request.

    :raises ExplainCodecError: the payload is not a request.
    """
    message = explain_pb2.ExplainRequest()
    try:
        message.ParseFromString(payload)
    except DecodeError as error:
        raise ExplainCodecError(f"question: {error}") from error
    return ExplainLookupRequest(
        message.query_id, message.tenant if message.HasField("tenant") else None
    )


def encode_explanation(explanation: bytes | None) -> bytes:
    """Encode a reply; ``None`` means that this node has no record of the query."""
    return explain_pb2.ExplainReply(explanation=explanation).SerializeToString()


def decode_explanation(payload: bytes) -> bytes | None:
    """Decode a reply; return ``None`` if the peer has no record of the query.

    :raises ExplainCodecError: the payload is not a reply, or exceeds ``MAX_REPLY_BYTES``.
    """
    if len(payload) > MAX_REPLY_BYTES:
        raise ExplainCodecError(f"reply: {len(payload)} bytes, at most {MAX_REPLY_BYTES}")
    message = explain_pb2.ExplainReply()
    try:
        message.ParseFromString(payload)
    except DecodeError as error:
        raise ExplainCodecError(f"reply: {error}") from error
    return message.explanation if message.HasField("explanation") else None
