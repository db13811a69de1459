"""The membership table of one node, and the precedence of conflicting statements.

Owns the members, the roster and the digests. A larger incarnation wins; within one incarnation, the
later state in the order alive, suspect, leaving, dead wins. The result therefore does not depend on
the order in which statements arrive.
"""

from __future__ import annotations

import bisect
import enum
import sys
from collections.abc import Iterator
from dataclasses import dataclass

import xxhash

from tinrudder.cluster.membership_messages import (
    REFUTATION_BITS,
    MemberUpdate,
    Place,
    same_start,
)
from tinrudder.cluster.view import Member, MemberStatus
from tinrudder.peers import PeerAddress

BUCKETS = 64
"""Number of buckets compared by digest; all digests fit into one datagram, 256 bytes."""
DIGEST_MASK = 0xFFFFFFFF
"""Mask that truncates a bucket's digest to 32 bits."""

_RANKS = {
    MemberStatus.ALIVE: 0,
    MemberStatus.SUSPECT: 1,
    MemberStatus.LEAVING: 2,
    MemberStatus.DEAD: 3,
}


class Merged(enum.Enum):
    """Result of merging an update."""

    CHANGED = "changed"
    SAME = "same"
    STALE = "stale"
    UNKNOWN_START = "unknown_start"


@dataclass(slots=True)
class MemberRecord:
    """A member and the time since which its status holds, monotonic seconds."""

    member: Member
    since: float


class MembershipTable:
    """Members by name, with digests that are updated on every change.

    The roster holds the sorted names of all members that are not dead.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.roster: list[str] = []
        self.roster_digest = 0
        self.roster_version = 0
        self.version = 0
        self.bucket_digests = [0] * BUCKETS
        self._records: dict[str, MemberRecord] = {}
        self._by_address: dict[PeerAddress, str] = {}

    def get(self, name: str) -> Member | None:
        """Return a member by name."""
        record = self._records.get(name)
        return record.member if record is not None else None

    def at_address(self, address: PeerAddress) -> Member | None:
        """Return the member last known at an address."""
        name = self._by_address.get(address)
        return self.get(name) if name is not None else None

    def members(self) -> tuple[Member, ...]:
        """Return all members, including dead ones."""
        return tuple(record.member for record in self._records.values())

    def live(self) -> Iterator[Member]:
        """Return the members of the roster, sorted by name."""
        return (self._records[name].member for name in self.roster)

    def dead(self) -> tuple[Member, ...]:
        """Return the members held dead."""
        return tuple(member for member in self.members() if member.status is MemberStatus.DEAD)

    def apply(self, update: MemberUpdate, now: float) -> Merged:
        """Merge one statement about a member."""
        known = self.get(update.name)
        if known is None:
            if update.place is None or update.status is MemberStatus.DEAD:
                return Merged.UNKNOWN_START
            self._store(_member_of(update, update.place), None, now)
            return Merged.CHANGED
        if update.place is None and not same_start(update.incarnation, known.incarnation):
            older = update.incarnation < known.incarnation
            return Merged.STALE if older else Merged.UNKNOWN_START
        order = _order(update.incarnation, update.status)
        known_order = _order(known.incarnation, known.status)
        if order <= known_order:
            return Merged.SAME if order == known_order else Merged.STALE
        place = update.place or Place(known.zone, known.region, known.address)
        self._store(_member_of(update, place), known, now)
        return Merged.CHANGED

    def remove(self, name: str) -> None:
        """Remove a dead member."""
        member = self._records.pop(name).member
        if self._by_address.get(member.address) == name:
            del self._by_address[member.address]
        self.version += 1

    def expired_dead(self, before: float) -> tuple[str, ...]:
        """Return the names of members that have been dead since before a monotonic time,
        seconds."""
        return tuple(
            record.member.name
            for record in self._records.values()
            if record.member.status is MemberStatus.DEAD and record.since < before
        )

    def in_buckets(self, buckets: frozenset[int]) -> tuple[Member, ...]:
        """Return the members of the roster that are in the given buckets."""
        return tuple(member for member in self.live() if bucket_of(member.name) in buckets)

    def _store(self, member: Member, known: Member | None, now: float) -> None:
        """Store a member; update roster and digests."""
        if known is not None:
            self._remove_digests(known)
            if self._by_address.get(known.address) == known.name:
                del self._by_address[known.address]
        self._records[member.name] = MemberRecord(member, now)
        self._by_address[member.address] = member.name
        self._add_digests(member)
        self._update_roster(member, known)
        self.version += 1

    def _update_roster(self, member: Member, known: Member | None) -> None:
        was_live = known is not None and known.status is not MemberStatus.DEAD
        is_live = member.status is not MemberStatus.DEAD
        if (
            was_live == is_live
            and known is not None
            and same_start(known.incarnation, member.incarnation)
        ):
            return
        self.roster_version += 1
        if is_live and not was_live:
            bisect.insort(self.roster, member.name)
        elif was_live and not is_live:
            del self.roster[bisect.bisect_left(self.roster, member.name)]

    def _add_digests(self, member: Member) -> None:
        """Add a member to the digests; they are XOR sums, so adding it twice removes it."""
        if member.status is MemberStatus.DEAD:
            return
        leaving = member.status is MemberStatus.LEAVING
        text = f"{member.name}|{member.incarnation}|{leaving}"
        digest = _hash(text)
        self.bucket_digests[bucket_of(member.name)] ^= digest & DIGEST_MASK
        start = member.incarnation >> REFUTATION_BITS
        self.roster_digest ^= _hash(f"{member.name}|{start}")

    _remove_digests = _add_digests


def bucket_of(name: str) -> int:
    """Return the number of a name's bucket."""
    return _hash(name) % BUCKETS


def _order(incarnation: int, status: MemberStatus) -> tuple[int, int]:
    return incarnation, _RANKS[status]


def _member_of(update: MemberUpdate, place: Place) -> Member:
    """Return the member that an update describes; strings are interned, since most repeat."""
    address = PeerAddress(sys.intern(place.address.host), place.address.port)
    return Member(
        sys.intern(update.name),
        update.incarnation,
        sys.intern(place.zone),
        sys.intern(place.region),
        address,
        update.status,
    )


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
