"""Turns what gateways tell each other into protobuf and back, refusing what is no message."""

from __future__ import annotations

from google.protobuf.message import DecodeError

from tinrudder.gateway.model import Address
from tinrudder.gateway.peer_messages import Digest, Snapshot, SnapshotRequest
from tinrudder.gateway.stored_values import StoredValue
from tinrudder.wire import snapshot_pb2 as pb


class MalformedPeerMessageError(Exception):
    """The bytes are no message between gateways."""


def encode_digest(digest: Digest) -> bytes:
    """Return the payload of a datagram."""
    message = pb.Digest(
        peer_address=str(digest.sender),
        configuration_revision=digest.configuration_revision,
        backends_revision=digest.backends_revision,
        known_peers=[str(address) for address in digest.known_peers],
        starting=digest.starting,
    )
    return message.SerializeToString()


def decode_digest(payload: bytes) -> Digest:
    """Read the payload of a datagram.

    :raises MalformedPeerMessageError: it is no digest.
    """
    try:
        message = pb.Digest.FromString(payload)
        return Digest(
            sender=Address.parse(message.peer_address),
            configuration_revision=message.configuration_revision,
            backends_revision=message.backends_revision,
            known_peers=tuple(Address.parse(text) for text in message.known_peers),
            starting=message.starting,
        )
    except (DecodeError, ValueError) as error:
        raise MalformedPeerMessageError(str(error)) from error


def encode_request(request: SnapshotRequest) -> bytes:
    """Return the payload of a request for a snapshot."""
    message = pb.SnapshotRequest(configuration_revision=request.configuration_revision)
    return message.SerializeToString()


def decode_request(payload: bytes) -> SnapshotRequest:
    """Read a request for a snapshot.

    :raises MalformedPeerMessageError: it is none.
    """
    try:
        return SnapshotRequest(pb.SnapshotRequest.FromString(payload).configuration_revision)
    except DecodeError as error:
        raise MalformedPeerMessageError(str(error)) from error


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the payload of a snapshot."""
    message = pb.Snapshot(
        backends=[_encode_value(value) for value in snapshot.backends],
        backends_read=snapshot.backends_read,
    )
    if snapshot.configuration is not None:
        message.configuration.CopyFrom(_encode_value(snapshot.configuration))
    return message.SerializeToString()


def decode_snapshot(payload: bytes) -> Snapshot:
    """Read a snapshot.

    :raises MalformedPeerMessageError: it is none.
    """
    try:
        message = pb.Snapshot.FromString(payload)
    except DecodeError as error:
        raise MalformedPeerMessageError(str(error)) from error
    configuration = None
    if message.HasField("configuration"):
        configuration = _decode_value(message.configuration)
    backends = tuple(_decode_value(value) for value in message.backends)
    return Snapshot(configuration, backends, message.backends_read)


def _encode_value(value: StoredValue) -> pb.Value:
    return pb.Value(key=value.key, revision=value.revision, value=value.value)


def _decode_value(message: pb.Value) -> StoredValue:
    value = message.value if message.HasField("value") else None
    return StoredValue(message.key, message.revision, value)
