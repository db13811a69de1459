"""Exchanges digests with peers over UDP; a digest states the store revisions that its sender knows.

Owns the digest schedule and the set of starting peers that wait for a digest; relies on
``SnapshotPulls`` to fetch newer state from peers, and on ``PeerService`` to serve it to them.
"""

from __future__ import annotations

import asyncio
import random

from tinrudder.common.address import Address
from tinrudder.gateway.peers.own_member import OwnMember
from tinrudder.gateway.peers.peer_datagrams import PeerDatagrams
from tinrudder.gateway.peers.peer_list import PeerList
from tinrudder.gateway.peers.peer_messages import Digest
from tinrudder.gateway.peers.peer_service import PeerService
from tinrudder.gateway.peers.snapshot_pulls import SnapshotPulls
from tinrudder.gateway.peers.zone_monitor import ZoneMonitor
from tinrudder.gateway.store.shared_state import SharedState
from tinrudder.gateway.store.store_revision import StoreRevision
from tinrudder.gateway.store.stored_values import Topic

DIGEST_INTERVAL_S = 0.5
"""Seconds between two digests: a change must take effect everywhere within seconds, and a gateway
that receives nothing from peers for 1.5 s, three digests, reads the store itself."""
FIRST_DIGEST_INTERVAL_S = 0.2
"""Seconds between digests after a start, so that peers learn of a new process quickly."""
FIRST_DIGESTS = 15
"""Number of digests sent at the shorter interval: 3 s, as long as a process counts as settling."""
INCOMPLETE_INTERVAL_S = 0.03
"""Seconds between two digests of a process whose state is still incomplete: several round trips of
a few milliseconds."""
INCOMPLETE_DIGESTS = 10
"""Number of digests that a process with incomplete state sends at that interval: seeds that start
at the same time may not listen yet, and a round trip plus their read of the store takes about as
long as these digests."""
MEMBER_REQUESTS_AFTER = (2, 6)
"""Numbers of the digests after which a new process requests the full member list: 0.2 s after its
state is complete, when seeds know the processes that started with it, and 1 s after, when
processes on machines half as fast have started too."""
INTERVAL_JITTER = 0.2
"""Jitter as a fraction of the interval, so that gateways do not all send at once."""


class PeerExchange:
    """Sends and processes digests, and starts and stops the service for peers."""

    def __init__(
        self,
        own_member: OwnMember,
        state: SharedState,
        peers: PeerList,
        datagrams: PeerDatagrams,
        zone_monitor: ZoneMonitor,
        pulls: SnapshotPulls,
        service: PeerService,
        random_source: random.Random,
    ) -> None:
        """Announce every change of ``state`` to peers."""
        self._own_member = own_member
        self._state = state
        self._peers = peers
        self._datagrams = datagrams
        self._zone_monitor = zone_monitor
        self._pulls = pulls
        self._service = service
        self._random = random_source
        self._loop = asyncio.get_running_loop()
        self._announced_positions = self._positions()
        self._starting_peers: set[Address] = set()
        datagrams.handle(Digest, self._on_digest)
        state.subscribe(self._on_state_change)

    async def start(self) -> None:
        """Listen for peers.

        :raises OSError: the address is unavailable; nothing is left open.
        """
        await self._datagrams.open(self._own_member.address)
        try:
            await self._service.start(self._own_member.address)
        except OSError:
            self._datagrams.close()
            raise

    async def stop(self) -> None:
        """Stop listening, and close every connection once its answers have been sent."""
        self._datagrams.close()
        await self._service.close()
        await self._pulls.close()

    def send_digests(self, *, same_zone_only: bool = False) -> None:
        """Send a digest to some peers.

        :param same_zone_only: in a small fleet, leave out peers in other zones.
        """
        if not self._datagrams.is_open:
            return
        self._announced_positions = self._positions()
        receivers = self._peers.receivers(self._loop.time(), same_zone_only=same_zone_only)
        other_zone = [peer for peer in receivers if self._peers.is_in_other_zone(peer)]
        same_zone = [peer for peer in receivers if peer not in other_zone]
        if same_zone:
            self._datagrams.send(self._digest(), *same_zone)
        if other_zone:
            self._datagrams.send(self._digest(to_other_zone=True), *other_zone)

    def send_digests_without_members(self, receivers: list[Address]) -> None:
        """Send a digest without the member list to the given peers."""
        if self._datagrams.is_open and receivers:
            self._datagrams.send(self._digest(with_members=False), *receivers)

    def send_digests_to_own_zone(self) -> None:
        """Send a digest to all peers in the own zone, where traffic is free of charge."""
        zone = self._own_member.describe().zone
        self._datagrams.send(self._digest(), *self._peers.members_in(zone, self._loop.time()))

    def _on_digest(self, digest: Digest, _peer: Address) -> None:
        """Apply a peer's digest to the member list, the zone paths and the pulls."""
        now = self._loop.time()
        self._peers.record_message(digest.sender, now)
        self._zone_monitor.apply_digest(digest)
        self._peers.merge_reported(digest.members, now)
        if digest.sender.starting:
            self._starting_peers.add(digest.sender.address)
            self._answer_starting_peers()
        else:
            self._starting_peers.discard(digest.sender.address)
        self._pulls.compare(digest, now)

    def _answer_starting_peers(self) -> None:
        """Send a digest to peers with incomplete state, once the state here is complete."""
        if not self._datagrams.is_open or not self._state.complete:
            return
        self._datagrams.send(self._digest(), *self._starting_peers)
        self._starting_peers.clear()

    def _digest(self, *, to_other_zone: bool = False, with_members: bool = True) -> Digest:
        """Return the current digest of this gateway.

        :param to_other_zone: the digest goes to other zones.
        """
        state = self._state
        now = self._loop.time()
        return Digest(
            sender=self._own_member.describe(),
            operator=state.history(Topic.OPERATOR).position(),
            backends=state.history(Topic.BACKENDS).position(),
            members=self._peers.sample_members(now, to_other_zone=to_other_zone)
            if with_members
            else (),
            operator_unconfirmed_s=self._unconfirmed_s(Topic.OPERATOR),
            backends_unconfirmed_s=self._unconfirmed_s(Topic.BACKENDS),
            silent_zones=self._zone_monitor.paths.own_suspicions,
            configuration_version=state.configuration_version,
        )

    def _positions(self) -> tuple[StoreRevision, ...]:
        """Return the store revisions that this gateway announces in its digests."""
        histories = (self._state.history(topic) for topic in Topic)
        return tuple(
            one for history in histories for one in (history.revision, history.older, history.shown)
        )

    def _unconfirmed_s(self, topic: Topic) -> float | None:
        """Return the seconds since the store last confirmed a topic; ``None`` if not known."""
        age_s = self._state.unconfirmed_s(topic)
        return age_s if age_s != float("inf") else None

    def _on_state_change(self) -> None:
        """Send digests immediately if a store revision has changed."""
        self._answer_starting_peers()
        if self._positions() != self._announced_positions:
            self.send_digests()

    async def run(self) -> None:
        """Send digests at intervals with jitter, and more often after the start."""
        sent = 0
        incomplete = 0
        while True:
            # Peers in other zones get every second digest: traffic between zones is paid for.
            self.send_digests(same_zone_only=sent > FIRST_DIGESTS and sent % 2 == 1)
            if not self._state.complete and incomplete < INCOMPLETE_DIGESTS:
                incomplete += 1
                await asyncio.sleep(INCOMPLETE_INTERVAL_S)
                continue
            sent += 1
            if sent in MEMBER_REQUESTS_AFTER:
                self._pulls.request_members(seeds_only=sent == MEMBER_REQUESTS_AFTER[0])
            interval_s = FIRST_DIGEST_INTERVAL_S if sent < FIRST_DIGESTS else DIGEST_INTERVAL_S
            await asyncio.sleep(
                interval_s * self._random.uniform(1.0 - INTERVAL_JITTER, 1.0 + INTERVAL_JITTER)
            )
