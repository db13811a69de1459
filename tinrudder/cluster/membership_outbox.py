"""Builds outgoing datagrams and fills the remaining space of each with queued updates.

Owns the datagrams until the driver takes them, and the queue of updates. Relies on size estimates,
so that each message is encoded only once.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from tinrudder.cluster.gossip import BroadcastQueue
from tinrudder.cluster.membership_messages import (
    Body,
    Enforcement,
    Envelope,
    Gossip,
    MemberUpdate,
    Ping,
    PingRequest,
    SyncAnswer,
    SyncRequest,
)
from tinrudder.cluster.membership_revisions import EnforcedRevisions
from tinrudder.cluster.membership_settings import MembershipSettings
from tinrudder.cluster.membership_table import MembershipTable
from tinrudder.cluster.observations import Observations, observation_size
from tinrudder.cluster.view import Member
from tinrudder.peers import PeerAddress

# Upper bounds on the protobuf size of message parts without their names and addresses, in bytes. A
# datagram that turned out larger than the transport allows would be dropped.
ENVELOPE_BYTES = 48
UPDATE_BYTES = 32
PLACE_BYTES = 16
ENFORCEMENT_BYTES = 28
BODY_BYTES = 16
DIGEST_BYTES = 4


@dataclass(frozen=True, slots=True)
class Send:
    """A datagram to send."""

    destination: PeerAddress
    envelope: Envelope


class Outbox:
    """Collects datagrams until the driver takes them."""

    def __init__(
        self,
        own: Member,
        budget: int,
        settings: MembershipSettings,
        table: MembershipTable,
        revisions: EnforcedRevisions,
        observations: Observations,
    ) -> None:
        """Build datagrams of at most ``budget`` bytes; callers set ``now`` before every use."""
        self.own = own
        self._budget = budget
        self._settings = settings
        self._table = table
        self._revisions = revisions
        self._observations = observations
        self._updates: BroadcastQueue[MemberUpdate] = BroadcastQueue()
        self._revision_transmissions = 0
        self._sends: list[Send] = []
        self.now = 0.0

    @property
    def has_updates(self) -> bool:
        """Tell whether there is anything to send in a gossip round."""
        queued = len(self._updates) > 0 or self._observations.waiting
        return queued or self._revision_transmissions > 0

    def announce(self, update: MemberUpdate) -> None:
        """Queue an update for gossip."""
        self._updates.put(update.name, update, update_size(update))

    def announce_revisions(self) -> None:
        """Attach the enforced revisions to the next datagrams."""
        self._revision_transmissions = self._limit()

    def send(
        self, destination: PeerAddress, body: Body, updates: tuple[MemberUpdate, ...] = ()
    ) -> None:
        """Queue a datagram; ``updates`` take precedence over queued updates."""
        remaining = self._budget - ENVELOPE_BYTES - len(self.own.name.encode()) - body_size(body)
        remaining -= sum(update_size(update) for update in updates)
        enforcement = self._enforcement(body)
        if enforcement is not None:
            remaining -= ENFORCEMENT_BYTES + len(enforcement.bits)
        limit = self._limit()
        if isinstance(body, SyncAnswer):
            observations = self._observations.current(remaining, self.now)
        else:
            observations = self._observations.take(remaining, limit, self.now)
        remaining -= sum(observation_size(item.backend, item.origin) for item in observations)
        if not isinstance(body, SyncAnswer):
            updates += self._updates.take(remaining, self._update_limit())
        envelope = Envelope(
            self.own.name,
            self.own.incarnation,
            self._revisions.get(self.own.name),
            body,
            updates,
            enforcement,
            observations,
        )
        self._sends.append(Send(destination, envelope))

    def send_to_all(self, members: Sequence[Member], update: MemberUpdate) -> None:
        """Queue the same update for many members, without piggybacked data: for rare and urgent
        updates."""
        revision = self._revisions.get(self.own.name)
        envelope = Envelope(self.own.name, self.own.incarnation, revision, Gossip(), (update,))
        self._sends.extend(Send(member.address, envelope) for member in members)

    def room_for_updates(self, body: Body) -> int:
        """Return the bytes left for updates in a datagram without other piggybacked data."""
        size = ENVELOPE_BYTES + len(self.own.name.encode()) + body_size(body)
        bits = (len(self._table.roster) + 7) // 8
        return self._budget - size - ENFORCEMENT_BYTES - bits

    def sample(self, source: random.Random, count: int) -> list[Member]:
        """Return random members of the roster, excluding this node."""
        roster = self._table.roster
        names = source.sample(roster, min(len(roster), count + 1))
        others = [name for name in names if name != self.own.name][:count]
        members = (self._table.get(name) for name in others)
        return [member for member in members if member is not None]

    def drain(self) -> list[Send]:
        """Return and clear the queued datagrams."""
        sends = self._sends
        self._sends = []
        return sends

    def _limit(self) -> int:
        return self._settings.retransmit_limit(len(self._table.roster))

    def _update_limit(self) -> int:
        return self._settings.transmissions(len(self._table.roster), len(self._updates))

    def _enforcement(self, body: Body) -> Enforcement | None:
        """Return the enforced revisions to attach while they spread and to anti-entropy
        messages."""
        if self._revision_transmissions > 0:
            self._revision_transmissions -= 1
            return self._revisions.encode()
        if isinstance(body, SyncRequest | SyncAnswer):
            return self._revisions.encode()
        return None


def update_size(update: MemberUpdate) -> int:
    """Return an upper bound on an update's encoded size, bytes."""
    size = UPDATE_BYTES + len(update.name.encode()) + len(update.reporter.encode())
    if update.place is not None:
        place = update.place
        size += PLACE_BYTES + len(place.zone.encode()) + len(place.region.encode())
        size += len(place.address.host)
    return size


def body_size(body: Body) -> int:
    """Return an upper bound on a body's encoded size, bytes."""
    match body:
        case Ping():
            return BODY_BYTES + len(body.target.encode())
        case PingRequest():
            return BODY_BYTES * 2 + len(body.target.encode()) + len(body.address.host)
        case SyncRequest():
            return BODY_BYTES + DIGEST_BYTES * len(body.digests)
        case _:
            return BODY_BYTES
