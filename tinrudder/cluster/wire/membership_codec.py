"""Encodes and decodes membership messages as protobuf, and rejects those that exceed a limit.

Owns the caches of encoded and decoded updates.
"""

from __future__ import annotations

import functools
import struct

from google.protobuf.message import DecodeError

from tinrudder.cluster.membership_messages import (
    Acknowledgement,
    Body,
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
from tinrudder.cluster.wire import membership_pb2 as pb
from tinrudder.peers import PeerAddress

MAX_NAME_CHARACTERS = 100
"""Characters of the longest accepted name of a member, back end, zone or region."""
MAX_HOST_CHARACTERS = 45
"""Characters of the longest textual IP address, an IPv4-mapped IPv6 address."""
MAX_PORT = 65535
"""Highest valid port number."""
MAX_UPDATES = 128
"""Updates accepted in one datagram; more than fit into a datagram that a node sends."""
MAX_OBSERVATIONS = 32
"""Observations accepted in one datagram."""
CACHED_UPDATES = 2048
"""Updates in each of the two caches: a node sends and receives the same update many times."""
_DIGESTS = struct.Struct(f"!{BUCKETS}I")

_STATUS_TO_WIRE = {
    MemberStatus.ALIVE: pb.ALIVE,
    MemberStatus.SUSPECT: pb.SUSPECT,
    MemberStatus.LEAVING: pb.LEAVING,
    MemberStatus.DEAD: pb.DEAD,
}
_STATUS_FROM_WIRE = {wire: status for status, wire in _STATUS_TO_WIRE.items()}


class MalformedDatagramError(Exception):
    """The payload is not a valid membership message; the error text names the faulty part."""


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode a message as the payload of a datagram."""
    message = pb.Envelope(
        sender=envelope.sender,
        incarnation=envelope.incarnation,
        enforced_revision=envelope.enforced_revision,
    )
    _encode_body(message, envelope.body)
    message.updates.extend(_encode_update(update) for update in envelope.updates)
    if envelope.enforcement is not None:
        message.enforcement.revision = envelope.enforcement.revision
        message.enforcement.roster_digest = envelope.enforcement.roster_digest
        message.enforcement.bits = envelope.enforcement.bits
    for observation in envelope.observations:
        message.observations.add(
            backend=observation.backend,
            kind=pb.ObservationKind.ValueType(observation.kind),
            origin=observation.origin,
            sequence=observation.sequence,
            age_ms=int(observation.age_s * 1000),
        )
    return message.SerializeToString()


def decode_envelope(payload: bytes) -> Envelope:
    """Decode the payload of a datagram.

    :raises MalformedDatagramError: if the payload is malformed or exceeds a limit.
    """
    message = pb.Envelope()
    try:
        message.ParseFromString(payload)
    except (DecodeError, ValueError) as error:
        raise MalformedDatagramError("payload is not a membership message") from error
    _check(len(message.updates) <= MAX_UPDATES, "updates")
    _check(len(message.observations) <= MAX_OBSERVATIONS, "observations")
    enforcement = None
    if message.HasField("enforcement"):
        enforcement_message = message.enforcement
        enforcement = Enforcement(
            enforcement_message.revision,
            enforcement_message.roster_digest,
            enforcement_message.bits,
        )
    return Envelope(
        _name(message.sender),
        message.incarnation,
        message.enforced_revision,
        _decode_body(message),
        tuple(_decode_update(update) for update in message.updates),
        enforcement,
        tuple(_decode_observation(observation) for observation in message.observations),
    )


def _encode_body(message: pb.Envelope, body: Body) -> None:
    match body:
        case Ping(sequence, target):
            message.ping.sequence = sequence
            message.ping.target = target
        case PingRequest(sequence, target, address):
            message.ping_request.sequence = sequence
            message.ping_request.target = target
            message.ping_request.host = address.host
            message.ping_request.port = address.port
        case Acknowledgement(sequence):
            message.acknowledgement.sequence = sequence
        case NegativeAcknowledgement(sequence):
            message.negative_acknowledgement.sequence = sequence
        case Gossip():
            message.gossip.SetInParent()
        case SyncRequest(digests, is_return):
            message.sync_request.digests = _DIGESTS.pack(*digests)
            message.sync_request.is_return = is_return
        case SyncAnswer():
            message.sync_answer.SetInParent()


def _decode_body(message: pb.Envelope) -> Body:
    match message.WhichOneof("body"):
        case "ping":
            return Ping(message.ping.sequence, _name(message.ping.target, may_be_empty=True))
        case "ping_request":
            request = message.ping_request
            address = _address(request.host, request.port)
            return PingRequest(request.sequence, _name(request.target), address)
        case "acknowledgement":
            return Acknowledgement(message.acknowledgement.sequence)
        case "negative_acknowledgement":
            return NegativeAcknowledgement(message.negative_acknowledgement.sequence)
        case "gossip":
            return Gossip()
        case "sync_request":
            sync = message.sync_request
            _check(len(sync.digests) == _DIGESTS.size, "digests")
            return SyncRequest(_DIGESTS.unpack(sync.digests), sync.is_return)
        case "sync_answer":
            return SyncAnswer()
        case _:
            raise MalformedDatagramError("body is missing or of an unknown kind")


@functools.lru_cache(CACHED_UPDATES)
def _encode_update(update: MemberUpdate) -> bytes:
    message = pb.MemberUpdate(
        name=update.name,
        incarnation=update.incarnation,
        status=_STATUS_TO_WIRE[update.status],
        enforced_revision=update.enforced_revision,
        reporter=update.reporter,
    )
    if update.place is not None:
        message.zone = update.place.zone
        message.region = update.place.region
        message.host = update.place.address.host
        message.port = update.place.address.port
    return message.SerializeToString()


@functools.lru_cache(CACHED_UPDATES)
def _decode_update(payload: bytes) -> MemberUpdate:
    """Decode one update.  Results are cached: gossip delivers each update about ten times."""
    message = pb.MemberUpdate()
    try:
        message.ParseFromString(payload)
    except (DecodeError, ValueError) as error:
        raise MalformedDatagramError("update") from error
    status = _STATUS_FROM_WIRE.get(message.status)
    if status is None:
        raise MalformedDatagramError("status")
    place = None
    if message.host:
        address = _address(message.host, message.port)
        place = Place(_name(message.zone), _name(message.region), address)
    return MemberUpdate(
        _name(message.name),
        message.incarnation,
        status,
        place,
        message.enforced_revision,
        _name(message.reporter, may_be_empty=True),
    )


def _decode_observation(message: pb.Observation) -> Observation:
    try:
        kind = ObservationKind(message.kind)
    except ValueError as error:
        raise MalformedDatagramError("unknown observation kind") from error
    return Observation(
        _name(message.backend), kind, _name(message.origin), message.sequence, message.age_ms / 1000
    )


def _address(host: str, port: int) -> PeerAddress:
    _check(0 < len(host) <= MAX_HOST_CHARACTERS, "host")
    _check(0 < port <= MAX_PORT, "port")
    return PeerAddress(host, port)


def _name(name: str, *, may_be_empty: bool = False) -> str:
    _check((may_be_empty or bool(name)) and len(name) <= MAX_NAME_CHARACTERS, "name")
    return name


def _check(condition: bool, field: str) -> None:
    if not condition:
        raise MalformedDatagramError(field)
