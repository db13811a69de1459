"""Messages of the membership protocol, as immutable values.

Values only. ``wire.membership_codec`` encodes and decodes them.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from tinrudder.cluster.view import Member, MemberStatus
from tinrudder.peers import PeerAddress

REFUTATION_BITS = 16
"""Number of low bits of an incarnation that count refutations; the higher bits hold the process's
start time."""


@dataclass(frozen=True, slots=True)
class Place:
    """Location of a member."""

    zone: str
    region: str
    address: PeerAddress


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """One node's statement about a member.

    :param place: ``None`` if the receiver must already know this start of the member.
    :param reporter: the node that suspects the member; empty for other states.
    """

    name: str
    incarnation: int
    status: MemberStatus
    place: Place | None = None
    enforced_revision: int = 0
    reporter: str = ""


@dataclass(frozen=True, slots=True)
class Enforcement:
    """The members that enforce at least ``revision``, as one bit per name of the sorted roster.

    Only a receiver with the same roster can read the bits, so the message includes the roster's
    digest.
    """

    revision: int
    roster_digest: int
    bits: bytes


class ObservationKind(enum.IntEnum):
    """Kinds of observations of a back end; ``RECOVERED`` withdraws the others."""

    RECOVERED = 0
    DRAINING = 1
    EJECTED = 2
    SLOW = 3


@dataclass(frozen=True, slots=True)
class Observation:
    """One node's observation of a back end.

    :param sequence: increases with every observation of ``origin``.
    :param age_s: seconds since the observation was made; relative, since clocks differ.
    """

    backend: str
    kind: ObservationKind
    origin: str
    sequence: int
    age_s: float


@dataclass(frozen=True, slots=True)
class Ping:
    """Requests an acknowledgement; with an empty target, any node at the address answers."""

    sequence: int
    target: str = ""


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Requests that the receiver ping a target on the sender's behalf."""

    sequence: int
    target: str
    address: PeerAddress


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Reports that the target of the ping with this sequence number is alive."""

    sequence: int


@dataclass(frozen=True, slots=True)
class NegativeAcknowledgement:
    """Reports that the relay received no acknowledgement from the target."""

    sequence: int


@dataclass(frozen=True, slots=True)
class Gossip:
    """Has no content of its own; carries only piggybacked data."""


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """Anti-entropy request: one digest per bucket of members.

    :param is_return: the receiver answers, but sends no request in return.
    """

    digests: tuple[int, ...]
    is_return: bool = False


@dataclass(frozen=True, slots=True)
class SyncAnswer:
    """Anti-entropy answer: the envelope's updates are the members of differing buckets."""


Body = (
    Ping
    | PingRequest
    | Acknowledgement
    | NegativeAcknowledgement
    | Gossip
    | SyncRequest
    | SyncAnswer
)


@dataclass(frozen=True, slots=True)
class Envelope:
    """Content of one datagram: sender, body and piggybacked data."""

    sender: str
    incarnation: int
    enforced_revision: int
    body: Body
    updates: tuple[MemberUpdate, ...] = ()
    enforcement: Enforcement | None = None
    observations: tuple[Observation, ...] = ()


def first_incarnation(wall_clock_s: float) -> int:
    """Return the incarnation of a process that starts at this wall-clock time, seconds.

    >>> first_incarnation(2.0) > first_incarnation(1.999)
    True
    """
    return int(wall_clock_s * 1000) << REFUTATION_BITS


def same_start(first: int, second: int) -> bool:
    """Tell whether two incarnations belong to the same start of the process.

    >>> same_start(first_incarnation(1.0), first_incarnation(1.0) + 1)
    True
    """
    return first >> REFUTATION_BITS == second >> REFUTATION_BITS


def full_update(member: Member, enforced_revision: int) -> MemberUpdate:
    """Return all that is known of a member; a suspected member is reported as alive."""
    status = member.status
    if status is MemberStatus.SUSPECT:
        status = MemberStatus.ALIVE
    place = Place(member.zone, member.region, member.address)
    return MemberUpdate(member.name, member.incarnation, status, place, enforced_revision)


def status_update(member: Member, status: MemberStatus, reporter: str = "") -> MemberUpdate:
    """Return a statement about a known member, without its location."""
    return MemberUpdate(member.name, member.incarnation, status, None, 0, reporter)
