"""Membership of the fleet as this gateway knows it.

Digests list known members with the age of that information.  Ages rather than timestamps are sent,
so clocks need not agree.  An age only grows as it is passed on, so all gateways drop a member that
has left at about the same time.

Owns the members, the seeds and the time of each member's latest message; relies on the exchange of
digests for updates.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from msgspec import Struct

from tinrudder.common.address import Address
from tinrudder.gateway.decisions.fleet.fleet_size import FleetSize
from tinrudder.gateway.peers.peer_messages import Member, ReportedMember

SMALL_FLEET_PEERS = 16
"""Number of peers up to which a digest goes to all of them; beyond it, to a random sample. A digest
is a few hundred bytes, so sixteen cost as much as a few requests."""
DIGEST_FANOUT = 3
"""Number of peers that get a digest in a large fleet: the number of gateways that know a change
multiplies by four in each round of digests."""
DIGEST_FANOUT_OTHER_ZONE = 1
"""Number of these random peers in other zones: only one, since traffic between zones is charged."""
COUNTED_WITHIN_S = 30.0
"""Seconds after its latest message for which a peer is counted when fleet-wide budgets are divided.
The time is long because too low a count makes every gateway take too large a share."""
CANDIDATE_WITHIN_S = 15.0
"""Seconds after its latest message for which a peer may be asked to coordinate: shorter than
``COUNTED_WITHIN_S``, since a request to a peer that is gone loses time."""
FORGOTTEN_AFTER_S = 90.0
"""Seconds after which a silent peer is dropped, unless it is a seed: three times
``COUNTED_WITHIN_S``, so that digests still reach a peer that returns after a network partition."""
LISTED_MEMBERS = 7
"""Number of members listed in a digest of a large fleet: a new random sample each time. At least
one digest for every seven members is needed to list the whole fleet."""
LISTED_MEMBERS_IN_SMALL_FLEET = 2
"""Number of members listed in a digest of a small fleet: there all gateways exchange digests
directly, and the list serves only processes that have just started."""
LISTED_MEMBERS_OTHER_ZONE = 2
"""Number of members listed in a digest to another zone: traffic between zones is paid for, and the
receiver passes the list on in its own zone. With seven members listed, digests made up 3.5 MB of
the 12 MB sent between four zones on a day without incidents in a fleet of 74 gateways."""
SETTLE_S = 3.0
"""Seconds after its start for which a process does not trust its count of peers: as long as it
sends its first digests at the shorter interval."""
ASSUMED_FLEET_SIZE = 10
"""Minimum fleet size, itself included, that a process assumes while it settles or has heard nobody:
if all gateways start at once, each takes at most a tenth of the connections to a back end."""


class _KnownMember(Struct, frozen=True):
    """A peer and the monotonic time of its latest message, as far as known here."""

    member: Member
    heard_at: float


class PeerList:
    """Peers with the time of each one's latest message.

    Seeds are kept even if they may be stale: after a partition, the fleet rejoins through them.

    :ivar fleet_size: what this gateway's evidence says of the number of gateways.
    """

    def __init__(
        self,
        own: Address,
        random_source: random.Random,
        started_at: float,
        own_zone: str = "",
    ) -> None:
        """Start without peers; ``own`` is this gateway, ``started_at`` the start of the process."""
        self._own = own
        self.own_zone = own_zone
        self.fleet_size = FleetSize()
        self._settled_at = started_at + SETTLE_S
        self._random = random_source
        self._seeds: set[Address] = set()
        self._known: dict[Address, _KnownMember] = {}
        self._last_message_at: float | None = None

    @property
    def known_count(self) -> int:
        """Return the number of known peers, silent ones included."""
        return len(self._known)

    def set_seeds(self, seeds: Iterable[Address]) -> None:
        """Replace the seeds."""
        self._seeds = {seed for seed in seeds if seed != self._own}
        self.fleet_size.names_others = bool(self._seeds)

    def record_message(self, member: Member, now: float) -> None:
        """Record a message that came from the peer itself."""
        if member.address != self._own:
            self._known[member.address] = _KnownMember(member, now)
            self._last_message_at = now
            self.fleet_size.note_message(now)

    def merge_reported(self, reported: Iterable[ReportedMember], now: float) -> None:
        """Merge members reported by a peer, where its information is newer."""
        for one in reported:
            address = one.member.address
            heard_at = now - max(0.0, one.age_s)
            known = self._known.get(address)
            if address != self._own and (known is None or known.heard_at < heard_at):
                self._known[address] = _KnownMember(one.member, heard_at)

    def nodes(self, now: float) -> int:
        """Return the estimated number of gateways, this one included.

        A peer counts for a long time after it falls silent: too low a number would make every
        gateway take too large a share of common budgets.  For the same reason a process that has
        just started, perhaps together with the whole fleet, assumes a minimum fleet size; so does
        one that was told of seeds and has not heard any gateway yet.
        """
        horizon = now - COUNTED_WITHIN_S
        heard = 1 + sum(1 for known in self._known.values() if known.heard_at >= horizon)
        is_uncertain = self.is_settling(now) or self.fleet_size.is_unknown
        return max(heard, ASSUMED_FLEET_SIZE) if is_uncertain else heard

    def most_nodes(self, now: float) -> int:
        """Return an upper bound of the number of gateways, this one included.

        For limits that the whole fleet must keep, also while this gateway hears nobody.
        """
        return self.fleet_size.bound(self.nodes(now), now)

    def candidates(self, now: float) -> list[Member]:
        """Return the peers that may be asked to coordinate, sorted by address."""
        horizon = now - CANDIDATE_WITHIN_S
        members = (
            known.member
            for known in self._known.values()
            if known.heard_at >= horizon and known.member.serves_others
        )
        return sorted(members, key=lambda member: str(member.address))

    def zones(self, now: float) -> list[str]:
        """Return the zone of each counted peer."""
        horizon = now - COUNTED_WITHIN_S
        return [one.member.zone for one in self._known.values() if one.heard_at >= horizon]

    def members_in(self, zone: str, now: float) -> list[Address]:
        """Return the addresses of the counted peers in a zone."""
        horizon = now - COUNTED_WITHIN_S
        return [
            address
            for address, known in self._known.items()
            if known.member.zone == zone and known.heard_at >= horizon
        ]

    def sample_counted(self, now: float, limit: int) -> list[Address]:
        """Return the addresses of all counted peers, or a random sample of ``limit`` of them."""
        horizon = now - COUNTED_WITHIN_S
        counted = [address for address, known in self._known.items() if known.heard_at >= horizon]
        return self._random.sample(counted, limit) if len(counted) > limit else counted

    def zone_of(self, address: Address) -> str | None:
        """Return the zone of a peer; ``None`` if the peer is unknown."""
        known = self._known.get(address)
        return known.member.zone if known is not None else None

    @property
    def has_peers(self) -> bool:
        """Return whether a message from any peer has arrived within ``FORGOTTEN_AFTER_S``."""
        return self._last_message_at is not None

    def silent_s(self, now: float) -> float:
        """Return the seconds since the latest message from any peer."""
        return now - self._last_message_at if self._last_message_at is not None else float("inf")

    def receivers(self, now: float, *, same_zone_only: bool = False) -> list[Address]:
        """Return the peers that the next digest goes to.

        :param same_zone_only: in a small fleet, leave out peers in other zones.
        """
        self._drop_silent(now)
        self.fleet_size.note_count(self._staying_count(now), now)
        addresses = sorted(self._seeds | self._known.keys(), key=str)
        other_zone = [address for address in addresses if self.is_in_other_zone(address)]
        same_zone = [address for address in addresses if not self.is_in_other_zone(address)]
        if len(addresses) <= SMALL_FLEET_PEERS:
            return same_zone if same_zone_only else addresses
        other_zone_count = min(DIGEST_FANOUT_OTHER_ZONE, len(other_zone))
        same_zone_count = min(DIGEST_FANOUT - other_zone_count, len(same_zone))
        sampled = self._random.sample(same_zone, same_zone_count)
        return sampled + self._random.sample(other_zone, DIGEST_FANOUT - same_zone_count)

    def sample_members(
        self, now: float, *, to_other_zone: bool = False
    ) -> tuple[ReportedMember, ...]:
        """Return a new random sample of members to list in a digest.

        :param to_other_zone: the digest goes to another zone.
        """
        horizon = now - COUNTED_WITHIN_S
        counted = [known for known in self._known.values() if known.heard_at >= horizon]
        is_small_fleet = len(self._seeds | self._known.keys()) <= SMALL_FLEET_PEERS
        limit = LISTED_MEMBERS_IN_SMALL_FLEET if is_small_fleet else LISTED_MEMBERS
        if to_other_zone:
            limit = min(limit, LISTED_MEMBERS_OTHER_ZONE)
        sampled = self._random.sample(counted, min(limit, len(counted)))
        return tuple(ReportedMember(known.member, now - known.heard_at) for known in sampled)

    def counted_members(self, now: float) -> tuple[ReportedMember, ...]:
        """Return all counted peers, for a gateway that has just started."""
        horizon = now - COUNTED_WITHIN_S
        return tuple(
            ReportedMember(known.member, now - known.heard_at)
            for known in self._known.values()
            if known.heard_at >= horizon
        )

    def is_settling(self, now: float) -> bool:
        """Return whether this process has just started and may not know its peers yet."""
        return now < self._settled_at

    def random_peer(self, *, seeds_only: bool) -> Address | None:
        """Return a random peer to request state from; ``None`` if no peer is known.

        :param seeds_only: only seeds, which every gateway contacts when it starts.
        """
        known = self._seeds if seeds_only else self._seeds | self._known.keys()
        return self._random.choice(sorted(known, key=str)) if known else None

    def is_in_other_zone(self, address: Address) -> bool:
        """Return whether a peer is known to be in another zone."""
        known = self._known.get(address)
        return known is not None and known.member.zone != self.own_zone

    def _staying_count(self, now: float) -> int:
        """Return the number of gateways heard of lately that are not leaving, this one included."""
        horizon = now - COUNTED_WITHIN_S
        return 1 + sum(
            1
            for known in self._known.values()
            if known.heard_at >= horizon and not known.member.leaving
        )

    def _drop_silent(self, now: float) -> None:
        """Drop peers that have been silent for ``FORGOTTEN_AFTER_S``."""
        horizon = now - FORGOTTEN_AFTER_S
        for address in [a for a, known in self._known.items() if known.heard_at < horizon]:
            del self._known[address]
        if self._last_message_at is not None and self._last_message_at < horizon:
            self._last_message_at = None
