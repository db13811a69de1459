"""What nodes say to each other about membership, as plain immutable messages.

Owns no state.  ``wire.membership_codec`` turns them into bytes.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from tinrudder.cluster.view import Member, MemberStatus
from tinrudder.peers import PeerAddress

REFUTATION_BITS = 16
"""Low bits of an incarnation count refutations; the rest is when the process started."""


@dataclass(frozen=True, slots=True)
class Place:
    """Where a member runs."""

    zone: str
    region: str
    address: PeerAddress


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """What one node says of a member.

    :param place: ``None`` where the receiver must already know this start of the member.
    :param reporter: who suspects it; empty for other states.
    """

    name: str
    incarnation: int
    status: MemberStatus
    place: Place | None = None
    enforced_revision: int = 0
    reporter: str = ""


@dataclass(frozen=True, slots=True)
class Enforcement:
    """Which members enforce at least ``revision``, a bit for each name of the sorted roster.

    Only a receiver with the same roster can read the bits, so the roster's digest goes along.
    """

    revision: int
    roster_digest: int
    bits: bytes


class ObservationKind(enum.IntEnum):
    """What a node observed of a back end; ``RECOVERED`` takes the others back."""

    RECOVERED = 0
    DRAINING = 1
    EJECTED = 2
    SLOW = 3


@dataclass(frozen=True, slots=True)
class Observation:
    """One node's observation of a back end.

    :param sequence: grows with every observation of ``origin``.
    :param age_s: how long ago it was made; relative, since clocks differ.
    """

    backend: str
    kind: ObservationKind
    origin: str
    sequence: int
    age_s: float


@dataclass(frozen=True, slots=True)
class Ping:
    """Asks for an acknowledgement; an empty target means whoever listens at the address."""

    sequence: int
    target: str = ""


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Asks the receiver to ping a target in the sender's place."""

    sequence: int
    target: str
    address: PeerAddress


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """The target of the ping with this sequence lives."""

    sequence: int


@dataclass(frozen=True, slots=True)
class NegativeAcknowledgement:
    """The relay is well but got no acknowledgement from the target."""

    sequence: int


@dataclass(frozen=True, slots=True)
class Gossip:
    """Carries only what is piggybacked."""


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """Anti-entropy: one digest for each bucket of members.

    :param is_return: the receiver answers, but does not ask back.
    """

    digests: tuple[int, ...]
    is_return: bool = False


@dataclass(frozen=True, slots=True)
class SyncAnswer:
    """The updates are members of buckets that differ."""


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
    """One datagram: who sends it, its body and what rides along."""

    sender: str
    incarnation: int
    enforced_revision: int
    body: Body
    updates: tuple[MemberUpdate, ...] = ()
    enforcement: Enforcement | None = None
    observations: tuple[Observation, ...] = ()


def first_incarnation(wall_clock_s: float) -> int:
    """Return the incarnation of a process that starts now.

    >>> first_incarnation(2.0) > first_incarnation(1.999)
    True
    """
    return int(wall_clock_s * 1000) << REFUTATION_BITS


def same_start(first: int, second: int) -> bool:
    """Tell whether two incarnations belong to one start of the process.

    >>> same_start(first_incarnation(1.0), first_incarnation(1.0) + 1)
    True
    """
    return first >> REFUTATION_BITS == second >> REFUTATION_BITS


def full_update(member: Member, enforced_revision: int) -> MemberUpdate:
    """Return everything known of a member; a suspicion is not passed on this way."""
    status = member.status
    if status is MemberStatus.SUSPECT:
        status = MemberStatus.ALIVE
    place = Place(member.zone, member.region, member.address)
    return MemberUpdate(member.name, member.incarnation, status, place, enforced_revision)


def claim(member: Member, status: MemberStatus, reporter: str = "") -> MemberUpdate:
    """Return a short statement about a known member."""
    return MemberUpdate(member.name, member.incarnation, status, None, 0, reporter)
