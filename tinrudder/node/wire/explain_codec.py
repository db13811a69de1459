"""Requests for explanations and their replies as protobuf bytes."""

from __future__ import annotations

from dataclasses import dataclass

from google.protobuf.message import DecodeError

from tinrudder.node.wire import explain_pb2

MAX_REPLY_BYTES = 4 * 1024 * 1024


class ExplainCodecError(Exception):
    """The bytes are not a message of this kind."""


@dataclass(frozen=True, slots=True)
class ExplainQuestion:
    """Which query is asked about.

    :param tenant: whose query it must be, ``None`` for an operator.
    """

    query_id: str
    tenant: str | None


def encode_question(question: ExplainQuestion) -> bytes:
    """Return the bytes of a question."""
    message = explain_pb2.ExplainRequest(query_id=question.query_id, tenant=question.tenant)
    return message.SerializeToString()


def decode_question(payload: bytes) -> ExplainQuestion:
    """Return the question.

    :raises ExplainCodecError: not a question.
    """
    message = explain_pb2.ExplainRequest()
    try:
        message.ParseFromString(payload)
    except DecodeError as error:
        raise ExplainCodecError(f"question: {error}") from error
    return ExplainQuestion(message.query_id, message.tenant if message.HasField("tenant") else None)


def encode_explanation(explanation: bytes | None) -> bytes:
    """Return the bytes of a reply."""
    return explain_pb2.ExplainReply(explanation=explanation).SerializeToString()


def decode_explanation(payload: bytes) -> bytes | None:
    """Return the explanation, ``None`` if the peer does not remember the query.

    :raises ExplainCodecError: not a reply, or larger than allowed.
    """
    if len(payload) > MAX_REPLY_BYTES:
        raise ExplainCodecError(f"reply: {len(payload)} bytes, at most {MAX_REPLY_BYTES}")
    message = explain_pb2.ExplainReply()
    try:
        message.ParseFromString(payload)
    except DecodeError as error:
        raise ExplainCodecError(f"reply: {error}") from error
    return message.explanation if message.HasField("explanation") else None
