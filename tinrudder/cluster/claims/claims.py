"""Messages between proposers and voters about keys that may run at most once.

A claim is a majority of votes for one key, held in memory only and for a bounded time
(docs/CLAIMS.md).  Values only; ``claims_codec`` encodes them as protobuf.
"""

from __future__ import annotations

import enum
import hashlib
from dataclasses import dataclass

from tinrudder.cluster.claims.electorate import Electorate, Voter
from tinrudder.peers import PeerAddress

KEY_BYTES = 16
"""Bytes of a key's digest: with 128 bits, two keys of one window do not collide in practice."""


@dataclass(frozen=True, slots=True, order=True)
class ClaimKey:
    """Digest of a tenant and its request key, so that voters learn neither."""

    digest: bytes


def make_claim_key(tenant: str, request_key: str) -> ClaimKey:
    """Return the key of one tenant's request.

    The input starts with the tenant's length, so that different pairs cannot concatenate to the
    same text.

    >>> make_claim_key("ab", "c") == make_claim_key("a", "bc")
    False
    """
    prefix = len(tenant.encode()).to_bytes(4, "big")
    text = prefix + tenant.encode() + request_key.encode()
    return ClaimKey(hashlib.blake2b(text, digest_size=KEY_BYTES).digest())


@dataclass(frozen=True, slots=True, order=True)
class ProposerId:
    """Identifies one attempt to claim a key, uniquely across nodes, restarts and attempts.

    :param instance: identifies the start of the process, see :func:`new_instance`.
    :param address: where to ask for the stored answer.
    """

    node: str
    instance: int
    attempt: int
    address: PeerAddress


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """A proposer's request for a vote.

    :param valid_until: wall-clock seconds from which no voter grants the key.
    :param cited: fingerprints of every electorate in which the proposer seeks a majority.
    """

    key: ClaimKey
    proposer: ProposerId
    valid_until: float
    cited: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class VoteRelease:
    """Returns a vote; sent by a proposer that will never dispatch."""

    key: ClaimKey
    proposer: ProposerId


class AbstainReason(enum.StrEnum):
    """Why a voter neither grants its vote nor names a holder."""

    EXPIRED = "expired"
    WINDOW_TOO_LONG = "window_too_long"
    JUST_STARTED = "just_started"
    LIST_UNSETTLED = "list_unsettled"
    TOO_MANY_CLAIMS = "too_many_claims"


@dataclass(frozen=True, slots=True)
class Granted:
    """The proposer holds the vote until the request expires or the proposer releases it."""


@dataclass(frozen=True, slots=True)
class Held:
    """Another proposer holds this voter's vote."""

    holder: ProposerId


@dataclass(frozen=True, slots=True)
class Abstained:
    """The voter cannot vote safely, for example because it may have voted before a restart."""

    reason: AbstainReason


@dataclass(frozen=True, slots=True)
class NeedElectorates:
    """The claim also needs majorities in electorates that the proposer did not cite.

    :param electorates: all that the voter requires.
    """

    electorates: tuple[Electorate, ...]


VoteReply = Granted | Held | Abstained | NeedElectorates


@dataclass(frozen=True, slots=True)
class ClaimLimits:
    """Durations in seconds, which must be equal on every voter and proposer of a deployment.

    :param window_s: longest time from a request's acceptance to its ``valid_until``.
    :param clock_skew_s: largest difference between the wall clocks of any two nodes.
    :param settle_s: shortest time for which claims must win the electorates of a superseded list.
    :param removed_wait_s: time after which a machine removed from the list counts as stopped.
    """

    window_s: float = 60.0
    clock_skew_s: float = 1.0
    settle_s: float = 60.0
    removed_wait_s: float = 180.0


@dataclass(frozen=True, slots=True)
class KnownList:
    """Announces which member list a voter knows; every message carries the revision itself."""

    voter: Voter


class AnswerStatus(enum.StrEnum):
    """The holder's report of what became of its request."""

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    OTHER_REQUEST = "other_request"


@dataclass(frozen=True, slots=True)
class AnswerQuestion:
    """A duplicate request's question to the holder of its key, for the stored answer.

    :param content: digest of the duplicate's request, so that it never receives the answer to a
        different request under the same key.
    """

    key: ClaimKey
    proposer: ProposerId
    content: bytes


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """The holder's reply to a question, with the encoded outcome if it is still stored."""

    status: AnswerStatus
    payload: bytes = b""
