"""Encodes and decodes requests between gateways and their answers, and rejects malformed bytes.

Owns the encoding of these messages; relies on the generated protobuf classes.
"""

from __future__ import annotations

from google.protobuf.message import DecodeError

from tinrudder.gateway.model.http_messages import HttpRequest
from tinrudder.gateway.model.outcomes import Merged, NoAnswer, NotRun, RequestOutcome, TimedOut
from tinrudder.gateway.peers.peer_messages import (
    Declined,
    MissingShard,
    PeerRequest,
    ScatterAnswer,
    ScatterEnd,
    ScatterRequest,
    SnapshotRequest,
)
from tinrudder.gateway.wire import gateway_relay_pb2 as pb
from tinrudder.gateway.wire import snapshot_pb2
from tinrudder.gateway.wire.snapshot_codec import (
    MalformedPeerMessageError,
    position_from_message,
    position_to_message,
)

MICROSECONDS_PER_S = 1e6
"""Microseconds per second: durations are sent in microseconds."""


def encode_request(request: PeerRequest) -> bytes:
    """Return the payload of a request to a peer."""
    if isinstance(request, SnapshotRequest):
        snapshot = snapshot_pb2.SnapshotRequest(
            operator_revision=request.operator.revision.number,
            backends_revision=request.backends.revision.number,
            members_wanted=request.members_wanted,
            operator=position_to_message(request.operator),
            backends=position_to_message(request.backends),
            configuration_version=request.configuration_version,
        )
        return pb.PeerRequest(snapshot=snapshot).SerializeToString()
    return pb.PeerRequest(scatter=_encode_scatter(request)).SerializeToString()


def decode_request(payload: bytes) -> PeerRequest:
    """Decode a peer's request.

    :raises MalformedPeerMessageError: the bytes are not a valid request.
    """
    try:
        message = pb.PeerRequest.FromString(payload)
    except DecodeError as error:
        raise MalformedPeerMessageError(str(error)) from error
    match message.WhichOneof("request"):
        case "snapshot":
            snapshot = message.snapshot
            return SnapshotRequest(
                position_from_message(snapshot, "operator", snapshot.operator_revision),
                position_from_message(snapshot, "backends", snapshot.backends_revision),
                snapshot.members_wanted,
                snapshot.configuration_version,
            )
        case "scatter":
            return _decode_scatter(message.scatter)
        case _:
            raise MalformedPeerMessageError(
                "request: the oneof field is not set or of an unknown kind"
            )


def encode_answer(answer: ScatterAnswer) -> bytes:
    """Return the payload of a coordinator's answer."""
    if isinstance(answer, Declined):
        return pb.ScatterAnswer(declined=pb.Text(detail=answer.detail)).SerializeToString()
    message = pb.ScatterAnswer(
        configuration_version=answer.configuration_version,
        repeats=answer.repeats,
        missing_shards=[
            pb.MissingShard(service=shard.service, problem=shard.problem)
            for shard in answer.missing_shards
        ],
        elapsed_us=int(answer.elapsed_s * MICROSECONDS_PER_S),
    )
    _encode_outcome(answer.outcome, message)
    return message.SerializeToString()


def decode_answer(payload: bytes) -> ScatterAnswer:
    """Decode a coordinator's answer.

    :raises MalformedPeerMessageError: the bytes are not a valid answer.
    """
    try:
        message = pb.ScatterAnswer.FromString(payload)
    except DecodeError as error:
        raise MalformedPeerMessageError(str(error)) from error
    if message.WhichOneof("outcome") == "declined":
        return Declined(message.declined.detail)
    missing = tuple(MissingShard(one.service, one.problem) for one in message.missing_shards)
    return ScatterEnd(
        _decode_outcome(message),
        message.configuration_version,
        message.repeats,
        missing,
        message.elapsed_us / MICROSECONDS_PER_S,
    )


def _encode_scatter(scatter: ScatterRequest) -> pb.ScatterRequest:
    request = scatter.request
    return pb.ScatterRequest(
        method=request.method,
        target=request.target,
        headers=[pb.Header(name=name, value=value) for name, value in request.headers],
        body=request.body,
        request_id=scatter.request_id,
        objective_left_us=int(scatter.objective_left_s * MICROSECONDS_PER_S),
        deadline_left_us=int(scatter.deadline_left_s * MICROSECONDS_PER_S),
        returning=scatter.returning,
        configuration_revision=scatter.configuration_revision,
        shards=scatter.shards,
        minimum_share=scatter.minimum_share,
        priority=max(0, scatter.priority),
        configuration_version=scatter.configuration_version,
    )


def _decode_scatter(message: pb.ScatterRequest) -> ScatterRequest:
    headers = tuple((header.name, header.value) for header in message.headers)
    return ScatterRequest(
        request=HttpRequest(message.method, message.target, headers, message.body),
        request_id=message.request_id,
        objective_left_s=message.objective_left_us / MICROSECONDS_PER_S,
        deadline_left_s=message.deadline_left_us / MICROSECONDS_PER_S,
        returning=message.returning,
        configuration_revision=message.configuration_revision,
        shards=tuple(message.shards),
        minimum_share=message.minimum_share,
        priority=message.priority,
        configuration_version=_optional_version(message),
    )


def _optional_version(message: pb.ScatterRequest) -> int | None:
    """Return the entry's configuration version; ``None``: its software is too old to send it."""
    return message.configuration_version if message.HasField("configuration_version") else None


def _encode_outcome(outcome: RequestOutcome, message: pb.ScatterAnswer) -> None:
    match outcome:
        case Merged():
            message.merged.body = outcome.body
            message.merged.stamps.extend(outcome.stamps)
            message.merged.missing = outcome.missing
        case NotRun():
            message.not_run.detail = outcome.detail
            message.not_run.retry_after_s = outcome.retry_after_s
        case NoAnswer():
            message.no_answer.detail = outcome.detail
        case TimedOut():
            message.timed_out.detail = outcome.detail
        case _:
            raise ValueError(f"{type(outcome).__name__} is not a valid outcome of a scatter")


def _decode_outcome(message: pb.ScatterAnswer) -> RequestOutcome:
    match message.WhichOneof("outcome"):
        case "merged":
            merged = message.merged
            return Merged(merged.body, tuple(merged.stamps), merged.missing)
        case "not_run":
            return NotRun(message.not_run.detail, message.not_run.retry_after_s)
        case "no_answer":
            return NoAnswer(message.no_answer.detail)
        case "timed_out":
            return TimedOut(message.timed_out.detail)
        case _:
            raise MalformedPeerMessageError(
                "outcome: the oneof field is not set or of an unknown kind"
            )
