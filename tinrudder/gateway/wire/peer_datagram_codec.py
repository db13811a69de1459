"""Encodes and decodes datagrams between gateways, and rejects malformed bytes.

Owns the envelope of all datagrams; relies on the codec of each kind.
"""

from __future__ import annotations

import math

from google.protobuf.message import DecodeError

from tinrudder.common.address import Address
from tinrudder.gateway.decisions.admission.token_buckets import HeldTokens
from tinrudder.gateway.peers.peer_messages import (
    Digest,
    LoadNews,
    PeerDatagram,
    PoisonReport,
    Probe,
    ProbeAnswer,
    QuotaReport,
    QuotaVerdict,
)
from tinrudder.gateway.store.store_revision import StoreRevision
from tinrudder.gateway.wire import peer_datagram_pb2 as pb
from tinrudder.gateway.wire.load_news_codec import load_news_from_message, load_news_to_message
from tinrudder.gateway.wire.poison_report_codec import (
    poison_report_from_message,
    poison_report_to_message,
)
from tinrudder.gateway.wire.snapshot_codec import (
    MILLISECONDS_PER_S,
    MalformedPeerMessageError,
    digest_from_message,
    digest_to_message,
    milliseconds_rounded_up,
    optional_age_s,
    optional_milliseconds_rounded_up,
)


def encode_datagram(datagram: PeerDatagram) -> bytes:
    """Return the payload of a datagram."""
    return _datagram_to_message(datagram).SerializeToString()


def decode_datagram(payload: bytes) -> PeerDatagram:
    """Decode the payload of a datagram.

    :raises MalformedPeerMessageError: the bytes are not a valid datagram.
    """
    try:
        message = pb.Datagram.FromString(payload)
        return _datagram_from_message(message)
    except (DecodeError, ValueError) as error:
        raise MalformedPeerMessageError(str(error)) from error


def _datagram_to_message(datagram: PeerDatagram) -> pb.Datagram:
    match datagram:
        case Digest():
            return pb.Datagram(digest=digest_to_message(datagram))
        case Probe(number=number):
            return pb.Datagram(probe=pb.Probe(number=number))
        case ProbeAnswer():
            answer = pb.ProbeAnswer(
                number=datagram.number,
                operator_revision=datagram.operator_revision.number,
                operator_epoch=datagram.operator_revision.epoch,
                knowledge_age_ms=optional_milliseconds_rounded_up(datagram.knowledge_age_s),
            )
            return pb.Datagram(probe_answer=answer)
        case QuotaReport():
            report = pb.QuotaReport(
                number=datagram.number,
                tenant=datagram.tenant,
                admitted=datagram.admitted,
                asks=datagram.asks,
                held=datagram.held.tokens if datagram.held is not None else None,
                held_age_ms=_age_ms(datagram.held),
                insists=datagram.insists,
            )
            return pb.Datagram(quota_report=report)
        case QuotaVerdict():
            verdict = pb.QuotaVerdict(
                number=datagram.number,
                tenant=datagram.tenant,
                granted=datagram.granted,
                wait_ms=milliseconds_rounded_up(datagram.wait_s),
                pressed_ms=milliseconds_rounded_up(datagram.pressed_s),
                held=datagram.tokens,
                owner=str(datagram.owner) if datagram.owner is not None else "",
            )
            return pb.Datagram(quota_verdict=verdict)
        case PoisonReport():
            return pb.Datagram(poison_report=poison_report_to_message(datagram))
        case LoadNews():
            return pb.Datagram(load_news=load_news_to_message(datagram))


def _datagram_from_message(message: pb.Datagram) -> PeerDatagram:
    match message.WhichOneof("content"):
        case "digest":
            return digest_from_message(message.digest)
        case "probe":
            return Probe(message.probe.number)
        case "probe_answer":
            answer = message.probe_answer
            age_s = optional_age_s(answer, "knowledge_age_ms")
            revision = StoreRevision(answer.operator_epoch, answer.operator_revision)
            return ProbeAnswer(answer.number, revision, age_s)
        case "quota_report":
            report = message.quota_report
            return QuotaReport(
                report.number,
                report.tenant,
                report.admitted,
                report.asks,
                _held_from_message(report),
                report.insists,
            )
        case "quota_verdict":
            verdict = message.quota_verdict
            return QuotaVerdict(
                verdict.number,
                verdict.tenant,
                verdict.granted,
                verdict.wait_ms / MILLISECONDS_PER_S,
                verdict.pressed_ms / MILLISECONDS_PER_S,
                verdict.held if verdict.HasField("held") else None,
                Address.parse(verdict.owner) if verdict.owner else None,
            )
        case "poison_report":
            return poison_report_from_message(message.poison_report)
        case "load_news":
            return load_news_from_message(message.load_news)
        case _:
            raise MalformedPeerMessageError(
                "datagram: the oneof field is not set or of an unknown kind"
            )


def _age_ms(held: HeldTokens | None) -> int:
    """Return the age rounded down: a receiver assumes more tokens the older a level is."""
    return int(held.age_s * MILLISECONDS_PER_S) if held is not None else 0


def _held_from_message(report: pb.QuotaReport) -> HeldTokens | None:
    """Decode the bucket level that another home reported.

    :raises ValueError: the level is not finite.
    """
    if not report.HasField("held"):
        return None
    if not math.isfinite(report.held):
        raise ValueError("quota report: held must be finite")
    return HeldTokens(report.held, report.held_age_ms / MILLISECONDS_PER_S)
