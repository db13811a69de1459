"""Protobuf codec for relayed queries and their outcomes.

Owns the encoding and the size limits, which apply to both encoding and decoding.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import starmap
from typing import TypeVar

from google.protobuf.message import DecodeError, EncodeError, Message

from tinrudder.node.outcomes import (
    Answer,
    Complete,
    Coverage,
    Failed,
    FailedReason,
    MayHaveRun,
    MayHaveRunReason,
    MissingReason,
    MissingShard,
    NotRun,
    NotRunReason,
    Outcome,
    Partial,
    Row,
)
from tinrudder.node.query.request import QueryRequest
from tinrudder.node.wire import relay_pb2

MAX_REQUEST_BYTES = 256 * 1024
MAX_OUTCOME_BYTES = 15 * 1024 * 1024

ProtobufMessage = TypeVar("ProtobufMessage", bound=Message)


class RelayCodecError(Exception):
    """The message cannot be encoded or decoded, or exceeds its size limit."""


@dataclass(frozen=True, slots=True)
class RelayedQuery:
    """A query relayed to a coordinator.

    :param request: the query; its ``deadline`` is valid on the sender only.
    :param remaining_s: seconds until the deadline at the time of sending.
    :param sent_at: the sender's wall-clock time of sending, seconds.
    :param forwarded: the receiver runs the query itself, whatever its coordinator sets say.
    """

    request: QueryRequest
    remaining_s: float
    sent_at: float
    forwarded: bool = False


def encode_query(query: RelayedQuery) -> bytes:
    """Encode a relayed query.

    :raises RelayCodecError: it exceeds ``MAX_REQUEST_BYTES``, or a field is out of range.
    """
    request = query.request
    try:
        message = relay_pb2.RelayRequest(
            query_id=request.query_id,
            tenant=request.tenant,
            index=request.index,
            rule=request.rule,
            match=[
                relay_pb2.MatchField(name=name, value=value)
                for name, value in request.match.items()
            ],
            order_by=request.order_by,
            descending=request.descending,
            limit=request.limit,
            remaining_s=query.remaining_s,
            sent_at=query.sent_at,
            version=request.version,
            after=_position_message(request.after),
            operation=request.operation,
            request_key=request.request_key,
            valid_until=request.valid_until,
            shards=request.shards,
            forwarded=query.forwarded,
        )
    except (ValueError, TypeError) as error:
        raise RelayCodecError(f"query: {error}") from error
    return _serialize(message, MAX_REQUEST_BYTES)


def decode_query(payload: bytes) -> RelayedQuery:
    """Decode a relayed query; its ``deadline`` is 0 until the receiver sets it.

    :raises RelayCodecError: the payload is not a relayed query, or exceeds ``MAX_REQUEST_BYTES``.
    """
    message = _parse(relay_pb2.RelayRequest, payload, MAX_REQUEST_BYTES)
    request = QueryRequest(
        query_id=message.query_id,
        tenant=message.tenant,
        index=message.index,
        rule=message.rule,
        match={field.name: field.value for field in message.match},
        order_by=message.order_by,
        descending=message.descending,
        limit=message.limit,
        deadline=0.0,
        version=message.version if message.HasField("version") else None,
        after=_position(message.after) if message.HasField("after") else None,
        operation=message.operation if message.HasField("operation") else None,
        request_key=message.request_key if message.HasField("request_key") else None,
        valid_until=message.valid_until if message.HasField("valid_until") else None,
        shards=tuple(message.shards),
    )
    return RelayedQuery(request, message.remaining_s, message.sent_at, message.forwarded)


def encode_outcome(outcome: Outcome) -> bytes:
    """Encode an outcome.

    :raises RelayCodecError: it exceeds ``MAX_OUTCOME_BYTES``.
    """
    message = relay_pb2.RelayOutcome()
    match outcome:
        case Complete(answer):
            _fill_answer(message.complete, answer)
        case Partial(answer):
            _fill_answer(message.partial, answer)
        case NotRun(not_run_reason, detail, retry_after_s):
            message.not_run.CopyFrom(
                relay_pb2.NotRunMessage(
                    reason=not_run_reason, detail=detail, retry_after_s=retry_after_s
                )
            )
        case MayHaveRun(may_reason, detail):
            message.may_have_run.CopyFrom(
                relay_pb2.MayHaveRunMessage(reason=may_reason, detail=detail)
            )
        case Failed(failed_reason, detail, coverage):
            message.failed.reason = failed_reason
            message.failed.detail = detail
            _fill_coverage(message.failed.coverage, coverage)
    return _serialize(message, MAX_OUTCOME_BYTES)


def decode_outcome(payload: bytes) -> Outcome:
    """Decode an outcome.

    :raises RelayCodecError: the payload is not an outcome, has a reason unknown to this node, or
        exceeds ``MAX_OUTCOME_BYTES``.
    """
    message = _parse(relay_pb2.RelayOutcome, payload, MAX_OUTCOME_BYTES)
    try:
        return _outcome(message)
    except ValueError as error:
        raise RelayCodecError(f"outcome: {error}") from error


def _outcome(message: relay_pb2.RelayOutcome) -> Outcome:
    """Convert a message to its outcome type.

    :raises ValueError: no outcome is set, or its reason is unknown.
    """
    match message.WhichOneof("outcome"):
        case "complete":
            return Complete(_answer(message.complete))
        case "partial":
            return Partial(_answer(message.partial))
        case "not_run":
            not_run = message.not_run
            retry_after_s = not_run.retry_after_s if not_run.HasField("retry_after_s") else None
            return NotRun(NotRunReason(not_run.reason), not_run.detail, retry_after_s)
        case "may_have_run":
            may_have_run = message.may_have_run
            return MayHaveRun(MayHaveRunReason(may_have_run.reason), may_have_run.detail)
        case "failed":
            failed = message.failed
            return Failed(FailedReason(failed.reason), failed.detail, _coverage(failed.coverage))
    raise ValueError("no outcome is set")


def _fill_answer(message: relay_pb2.AnswerMessage, answer: Answer) -> None:
    message.version = answer.version
    message.orders.extend([row.order for row in answer.rows])
    message.row_ids.extend([row.row_id for row in answer.rows])
    message.payloads.extend([row.payload for row in answer.rows])
    _fill_coverage(message.coverage, answer.coverage)
    if answer.next_after is not None:
        message.next_after.order, message.next_after.row_id = answer.next_after


def _answer(message: relay_pb2.AnswerMessage) -> Answer:
    columns = zip(message.orders, message.row_ids, message.payloads, strict=True)
    return Answer(
        message.version,
        tuple(starmap(Row, columns)),
        _coverage(message.coverage),
        _position(message.next_after) if message.HasField("next_after") else None,
    )


def _fill_coverage(message: relay_pb2.CoverageMessage, coverage: Coverage) -> None:
    message.included.extend(coverage.included)
    message.SetInParent()
    for missing_shard in coverage.missing:
        message.missing.add(
            shard=missing_shard.shard, owner=missing_shard.owner, reason=missing_shard.reason
        )


def _coverage(message: relay_pb2.CoverageMessage) -> Coverage:
    missing = tuple(
        MissingShard(missing_shard.shard, missing_shard.owner, MissingReason(missing_shard.reason))
        for missing_shard in message.missing
    )
    return Coverage(tuple(message.included), missing)


def _position_message(position: tuple[float, str] | None) -> relay_pb2.Position | None:
    if position is None:
        return None
    return relay_pb2.Position(order=position[0], row_id=position[1])


def _position(message: relay_pb2.Position) -> tuple[float, str]:
    return message.order, message.row_id


def _serialize(message: Message, limit: int) -> bytes:
    try:
        payload = message.SerializeToString()
    except EncodeError as error:
        raise RelayCodecError(f"message: {error}") from error
    if len(payload) > limit:
        raise RelayCodecError(f"message: {len(payload)} bytes, at most {limit}")
    return payload


def _parse(message_type: type[ProtobufMessage], payload: bytes, limit: int) -> ProtobufMessage:
    if len(payload) > limit:
        raise RelayCodecError(f"message: {len(payload)} bytes, at most {limit}")
    message = message_type()
    try:
        message.ParseFromString(payload)
    except DecodeError as error:
        raise RelayCodecError(f"message: {error}") from error
    return message
