"""Claims: what proposers and voters say to each other about keys that may run at most once.

A claim is a majority of votes for one key, held in memory only and for a bounded time
(docs/CLAIMS.md).  The messages are plain data; ``claims_codec`` turns them into protobuf.
"""

from __future__ import annotations

import enum
import hashlib
from dataclasses import dataclass

from tinrudder.cluster.claims.electorate import Electorate, Voter
from tinrudder.peers import PeerAddress

KEY_BYTES = 16
"""Bytes of the digest of a key: 128 bits make a collision of two keys within a window impossible
in practice."""


@dataclass(frozen=True, slots=True, order=True)
class ClaimKey:
    """A request key within its tenant, as a digest: voters never learn either of them."""

    digest: bytes


def make_claim_key(tenant: str, request_key: str) -> ClaimKey:
    """Return the key of one tenant's request.

    The tenant's length goes in first, so that no two pairs share a digest by concatenation.

    >>> make_claim_key("ab", "c") == make_claim_key("a", "bc")
    False
    """
    prefix = len(tenant.encode()).to_bytes(4, "big")
    text = prefix + tenant.encode() + request_key.encode()
    return ClaimKey(hashlib.blake2b(text, digest_size=KEY_BYTES).digest())


@dataclass(frozen=True, slots=True, order=True)
class ProposerId:
    """One attempt to claim a key, unique over nodes, their restarts and their attempts.

    :param instance: which start of the process this is.
    """

    node: str
    instance: int
    attempt: int
    address: PeerAddress


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """A proposer asks a voter for its vote.

    :param valid_until: wall-clock seconds; no voter grants the key from then on.
    :param cited: fingerprints of every electorate in which the proposer wants a majority.
    """

    key: ClaimKey
    proposer: ProposerId
    valid_until: float
    cited: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class VoteRelease:
    """A proposer that will never dispatch gives its votes back."""

    key: ClaimKey
    proposer: ProposerId


class AbstainReason(enum.StrEnum):
    """Why a voter neither grants nor refuses."""

    EXPIRED = "expired"
    WINDOW_TOO_LONG = "window_too_long"
    JUST_STARTED = "just_started"
    LIST_UNSETTLED = "list_unsettled"
    TOO_MANY_CLAIMS = "too_many_claims"


@dataclass(frozen=True, slots=True)
class Granted:
    """The vote is the proposer's until the request expires or the proposer releases it."""


@dataclass(frozen=True, slots=True)
class Held:
    """Another proposer has this voter's vote."""

    holder: ProposerId


@dataclass(frozen=True, slots=True)
class Abstained:
    """The voter cannot say whether it has voted before."""

    reason: AbstainReason


@dataclass(frozen=True, slots=True)
class NeedElectorates:
    """The claim needs majorities in electorates that the proposer did not cite."""

    electorates: tuple[Electorate, ...]


VoteReply = Granted | Held | Abstained | NeedElectorates


@dataclass(frozen=True, slots=True)
class ClaimLimits:
    """Times that every voter and proposer of a deployment must share, in seconds.

    :param window_s: longest time from a request's acceptance to its ``valid_until``.
    :param clock_skew_s: largest difference between the wall clocks of any two nodes.
    :param settle_s: a superseded member list keeps its say at least this long.
    :param removed_wait_s: a machine off the list this long is taken to have stopped.
    """

    window_s: float = 60.0
    clock_skew_s: float = 1.0
    settle_s: float = 60.0
    removed_wait_s: float = 180.0


@dataclass(frozen=True, slots=True)
class KnownList:
    """A voter tells which list it knows: the revision goes with every message."""

    voter: Voter


class AnswerStatus(enum.StrEnum):
    """What the holder of a key says of its request."""

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    OTHER_REQUEST = "other_request"


@dataclass(frozen=True, slots=True)
class AnswerQuestion:
    """A duplicate asks the holder of its key for the stored answer.

    :param content: digest of the duplicate's own request; another request's answer is not given.
    """

    key: ClaimKey
    proposer: ProposerId
    content: bytes


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """The holder's word, and the encoded outcome if it is still held."""

    status: AnswerStatus
    payload: bytes = b""
