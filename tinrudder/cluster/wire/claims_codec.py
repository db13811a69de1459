"""Encodes and decodes claim messages as protobuf, and limits the size of those received.

Owns no state.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from google.protobuf.message import DecodeError

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
    VoteReply,
    VoteRequest,
)
from tinrudder.cluster.claims.electorate import FULL_ELECTORATE, Electorate, Voter, make_electorate
from tinrudder.cluster.wire import claims_pb2
from tinrudder.peers import PeerAddress

MAX_CLAIM_REQUEST_BYTES = 4096
"""Bytes of a request, which cites electorates by fingerprint; a larger one is not decoded."""
MAX_CLAIM_REPLY_BYTES = 256 * 1024
"""Bytes of a reply, which may carry the stored answer of an operation; a larger one is not
decoded."""

ClaimRequest = VoteRequest | VoteRelease | AnswerQuestion | KnownList
ClaimReply = VoteReply | StoredAnswer


class MalformedClaimError(Exception):
    """The bytes are not a valid claim message."""


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request, with the revision and digest of the newest member list that its sender knows."""

    revision: int
    request: ClaimRequest
    list_digest: int = 0


@dataclass(frozen=True, slots=True)
class SentReply:
    """A reply, with the revision of the newest member list that its sender knows."""

    revision: int
    reply: ClaimReply


def encode_request(sent: SentRequest) -> bytes:
    """Encode a request."""
    message = claims_pb2.ClaimRequest(revision=sent.revision, list_digest=sent.list_digest)
    match sent.request:
        case VoteRequest(key, proposer, valid_until, cited):
            message.vote.CopyFrom(
                claims_pb2.VoteMessage(
                    key=key.digest,
                    proposer=_proposer_message(proposer),
                    valid_until=valid_until,
                    cited=cited,
                )
            )
        case VoteRelease(key, proposer):
            message.release.CopyFrom(
                claims_pb2.VoteMessage(key=key.digest, proposer=_proposer_message(proposer))
            )
        case AnswerQuestion(key, proposer, content):
            message.question.CopyFrom(
                claims_pb2.AnswerQuestion(
                    key=key.digest, proposer=_proposer_message(proposer), content=content
                )
            )
        case KnownList(voter):
            message.known.CopyFrom(_voter_message(voter))
    return message.SerializeToString()


def decode_request(payload: bytes) -> SentRequest:
    """Decode a request.

    :raises MalformedClaimError: if the bytes are not a valid request.
    """
    message = claims_pb2.ClaimRequest()
    _parse(message, payload, MAX_CLAIM_REQUEST_BYTES)
    match message.WhichOneof("request"):
        case "vote":
            vote = message.vote
            if not math.isfinite(vote.valid_until):
                raise MalformedClaimError("claim request: valid_until is not a finite number")
            cited = tuple(vote.cited)
            proposer = _proposer(vote.proposer)
            request: ClaimRequest = VoteRequest(_key(vote.key), proposer, vote.valid_until, cited)
        case "release":
            release = message.release
            request = VoteRelease(_key(release.key), _proposer(release.proposer))
        case "question":
            question = message.question
            request = AnswerQuestion(
                _key(question.key), _proposer(question.proposer), question.content
            )
        case "known":
            request = KnownList(_voter(message.known))
        case _:
            raise MalformedClaimError("claim request: unknown kind")
    return SentRequest(message.revision, request, message.list_digest)


def encode_reply(sent: SentReply) -> bytes:
    """Encode a reply."""
    message = claims_pb2.ClaimReply(revision=sent.revision)
    match sent.reply:
        case Granted():
            message.granted.SetInParent()
        case Held(holder):
            message.held.holder.CopyFrom(_proposer_message(holder))
        case Abstained(reason):
            message.abstained.reason = reason.value
        case NeedElectorates(electorates):
            message.need.SetInParent()
            message.need.electorates.extend(map(_electorate_message, electorates))
        case StoredAnswer(status, payload):
            message.answer.status = status.value
            message.answer.payload = payload
    return message.SerializeToString()


def decode_reply(payload: bytes) -> SentReply:
    """Decode a reply.

    :raises MalformedClaimError: if the bytes are not a valid reply.
    """
    message = claims_pb2.ClaimReply()
    _parse(message, payload, MAX_CLAIM_REPLY_BYTES)
    try:
        return SentReply(message.revision, _reply(message))
    except ValueError as error:
        raise MalformedClaimError(f"claim reply: {error}") from error


def _reply(message: claims_pb2.ClaimReply) -> ClaimReply:
    """Convert a protobuf reply.

    :raises ValueError: if its kind, reason, status or electorate is invalid.
    """
    match message.WhichOneof("reply"):
        case "granted":
            return Granted()
        case "held":
            return Held(_proposer(message.held.holder))
        case "abstained":
            return Abstained(AbstainReason(message.abstained.reason))
        case "need":
            return NeedElectorates(tuple(map(_electorate, message.need.electorates)))
        case "answer":
            return StoredAnswer(AnswerStatus(message.answer.status), message.answer.payload)
    raise ValueError("unknown kind")


def _proposer_message(proposer: ProposerId) -> claims_pb2.ProposerMessage:
    return claims_pb2.ProposerMessage(
        node=proposer.node,
        instance=proposer.instance,
        attempt=proposer.attempt,
        host=proposer.address.host,
        port=proposer.address.port,
    )


def _proposer(message: claims_pb2.ProposerMessage) -> ProposerId:
    address = PeerAddress(message.host, message.port)
    return ProposerId(message.node, message.instance, message.attempt, address)


def _voter_message(voter: Voter) -> claims_pb2.VoterMessage:
    return claims_pb2.VoterMessage(
        name=voter.name, zone=voter.zone, host=voter.address.host, port=voter.address.port
    )


def _voter(message: claims_pb2.VoterMessage) -> Voter:
    return Voter(message.name, message.zone, PeerAddress(message.host, message.port))


def _electorate_message(electorate: Electorate) -> claims_pb2.ElectorateMessage:
    return claims_pb2.ElectorateMessage(voters=map(_voter_message, electorate.voters))


def _electorate(message: claims_pb2.ElectorateMessage) -> Electorate:
    """Convert an electorate; computes its fingerprint instead of trusting one from the sender."""
    if not 1 <= len(message.voters) <= FULL_ELECTORATE:
        raise ValueError(f"electorate has {len(message.voters)} voters, not 1 to {FULL_ELECTORATE}")
    return make_electorate(map(_voter, message.voters))


def _key(digest: bytes) -> ClaimKey:
    if len(digest) != KEY_BYTES:
        raise MalformedClaimError(f"claim key: got {len(digest)} bytes, expected {KEY_BYTES}")
    return ClaimKey(digest)


def _parse(
    message: claims_pb2.ClaimRequest | claims_pb2.ClaimReply, payload: bytes, limit: int
) -> None:
    if len(payload) > limit:
        raise MalformedClaimError(f"claim message: {len(payload)} bytes, limit is {limit}")
    try:
        message.ParseFromString(payload)
    except DecodeError as error:
        raise MalformedClaimError(f"claim message: {error}") from error
