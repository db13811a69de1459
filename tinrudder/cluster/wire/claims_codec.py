"""Claim messages as protobuf bytes, with size limits both ways."""

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
"""A request with the electorates that it cites; refused above, both ways."""
MAX_CLAIM_REPLY_BYTES = 256 * 1024
"""A reply, which may carry the stored answer of an operation; refused above, both ways."""

ClaimRequest = VoteRequest | VoteRelease | AnswerQuestion | KnownList
ClaimReply = VoteReply | StoredAnswer


class MalformedClaimError(Exception):
    """The bytes are no claim message."""


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request and the newest member list its sender knows, by revision and digest."""

    revision: int
    request: ClaimRequest
    list_digest: int = 0


@dataclass(frozen=True, slots=True)
class SentReply:
    """A reply and the newest member list its sender knows."""

    revision: int
    reply: ClaimReply


def encode_request(sent: SentRequest) -> bytes:
    """Return the bytes of a request."""
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
    """Return the request.

    :raises MalformedClaimError: the bytes are no request.
    """
    message = claims_pb2.ClaimRequest()
    _parse(message, payload, MAX_CLAIM_REQUEST_BYTES)
    match message.WhichOneof("request"):
        case "vote":
            vote = message.vote
            if not math.isfinite(vote.valid_until):
                raise MalformedClaimError("claim request: valid_until is not a time")
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
            raise MalformedClaimError("claim request: of no known kind")
    return SentRequest(message.revision, request, message.list_digest)


def encode_reply(sent: SentReply) -> bytes:
    """Return the bytes of a reply."""
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
    """Return the reply.

    :raises MalformedClaimError: the bytes are no reply.
    """
    message = claims_pb2.ClaimReply()
    _parse(message, payload, MAX_CLAIM_REPLY_BYTES)
    try:
        return SentReply(message.revision, _reply(message))
    except ValueError as error:
        raise MalformedClaimError(f"claim reply: {error}") from error


def _reply(message: claims_pb2.ClaimReply) -> ClaimReply:
    """Turn a message into its tag; an unknown kind or reason is a ``ValueError``."""
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
    raise ValueError("of no known kind")


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
    """Return an electorate; its fingerprint is worked out here, not taken on trust."""
    if not 1 <= len(message.voters) <= FULL_ELECTORATE:
        raise ValueError(f"electorate of {len(message.voters)} voters")
    return make_electorate(map(_voter, message.voters))


def _key(digest: bytes) -> ClaimKey:
    if len(digest) != KEY_BYTES:
        raise MalformedClaimError(f"claim key: {len(digest)} bytes, not {KEY_BYTES}")
    return ClaimKey(digest)


def _parse(
    message: claims_pb2.ClaimRequest | claims_pb2.ClaimReply, payload: bytes, limit: int
) -> None:
    if len(payload) > limit:
        raise MalformedClaimError(f"claim message: {len(payload)} bytes, at most {limit}")
    try:
        message.ParseFromString(payload)
    except DecodeError as error:
        raise MalformedClaimError(f"claim message: {error}") from error
