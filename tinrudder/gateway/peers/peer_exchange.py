"""Exchanges digests with peers over UDP, which state the store revisions that each gateway knows.

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
IMPATIENT_INTERVAL_S = 0.03
"""Seconds between two digests of a process whose state is still incomplete: several round trips of
a few milliseconds."""
IMPATIENT_DIGESTS = 10
"""Number of digests that a process with incomplete state sends at that interval: seeds that start
at the same time may not listen yet, and a round trip plus their read of the store takes about as
long as these digests."""
INTRODUCTIONS = (2, 6)
"""Numbers of the digests after which a new process requests the full member list: 0.2 s after its
state is complete, when seeds know the processes that started with it, and 1 s after, when
processes on machines half as fast have started too."""
INTERVAL_SPREAD = 0.2
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
        self._ticking: asyncio.Task[None] | None = None
        self._waiting_to_learn: set[Address] = set()
        datagrams.handle(Digest, self._on_digest)
        state.subscribe(self._on_state_change)

    async def start(self) -> None:
        """Listen for peers and start to send digests.

        :raises OSError: the address is in use.
        """
        await self._datagrams.open(self._own_member.address)
        await self._service.start(self._own_member.address)
        self._ticking = self._loop.create_task(self._tick())

    async def stop(self) -> None:
        """Stop listening, and close every connection once its answers have been sent."""
        if self._ticking is not None:
            self._ticking.cancel()
        self._datagrams.close()
        await self._service.close()
        await self._pulls.close()

    def send_digests(self, *, zone_only: bool = False) -> None:
        """Send a digest to some peers.

        :param zone_only: in a small fleet, leave out peers in other zones.
        """
        if not self._datagrams.is_open:
            return
        self._announced_positions = self._positions()
        receivers = self._peers.receivers(self._loop.time(), zone_only=zone_only)
        elsewhere = [peer for peer in receivers if self._peers.is_elsewhere(peer)]
        beside = [peer for peer in receivers if peer not in elsewhere]
        if beside:
            self._datagrams.send(self._digest(), *beside)
        if elsewhere:
            self._datagrams.send(self._digest(elsewhere=True), *elsewhere)

    def tell(self, receivers: list[Address]) -> None:
        """Send a digest without the member list to the given peers."""
        if self._datagrams.is_open and receivers:
            self._datagrams.send(self._digest(names_members=False), *receivers)

    def send_to_zone(self) -> None:
        """Send a digest to all peers in the own zone, where traffic is free of charge."""
        zone = self._own_member.describe().zone
        self._datagrams.send(self._digest(), *self._peers.members_in(zone, self._loop.time()))

    def _on_digest(self, digest: Digest, _peer: Address) -> None:
        """Apply a peer's digest to the member list, the zone paths and the pulls."""
        now = self._loop.time()
        self._peers.heard_from(digest.sender, now)
        self._zone_monitor.heard(digest)
        self._peers.heard_of(digest.members, now)
        if digest.sender.starting:
            self._waiting_to_learn.add(digest.sender.address)
            self._answer_starting()
        else:
            self._waiting_to_learn.discard(digest.sender.address)
        self._pulls.compare(digest, now)

    def _answer_starting(self) -> None:
        """Send a digest to peers with incomplete state, once the state here is complete."""
        if not self._datagrams.is_open or not self._state.complete:
            return
        self._datagrams.send(self._digest(), *self._waiting_to_learn)
        self._waiting_to_learn.clear()

    def _digest(self, *, elsewhere: bool = False, names_members: bool = True) -> Digest:
        """Return the current digest of this gateway.

        :param elsewhere: the digest goes to other zones.
        """
        state = self._state
        now = self._loop.time()
        return Digest(
            sender=self._own_member.describe(),
            operator=state.history(Topic.OPERATOR).position(),
            backends=state.history(Topic.BACKENDS).position(),
            members=self._peers.to_tell(now, elsewhere=elsewhere) if names_members else (),
            operator_unconfirmed_s=self._unconfirmed_s(Topic.OPERATOR),
            backends_unconfirmed_s=self._unconfirmed_s(Topic.BACKENDS),
            silent_zones=self._zone_monitor.paths.told_doubts,
            configuration_version=state.configuration_version,
        )

    def _positions(self) -> tuple[StoreRevision, ...]:
        """Return the store revisions that this gateway announces in its digests."""
        histories = (self._state.history(topic) for topic in Topic)
        return tuple(one for history in histories for one in (history.revision, history.older))

    def _unconfirmed_s(self, topic: Topic) -> float | None:
        """Return the seconds since the store last confirmed a topic; ``None`` if not known."""
        age_s = self._state.unconfirmed_s(topic)
        return age_s if age_s != float("inf") else None

    def _on_state_change(self) -> None:
        """Send digests immediately if a store revision has changed."""
        self._answer_starting()
        if self._positions() != self._announced_positions:
            self.send_digests()

    async def _tick(self) -> None:
        """Send digests at intervals with jitter, and more often after the start."""
        sent = 0
        impatient = 0
        while True:
            # Peers in other zones get every second digest: traffic between zones is paid for.
            self.send_digests(zone_only=sent > FIRST_DIGESTS and sent % 2 == 1)
            if not self._state.complete and impatient < IMPATIENT_DIGESTS:
                impatient += 1
                await asyncio.sleep(IMPATIENT_INTERVAL_S)
                continue
            sent += 1
            if sent in INTRODUCTIONS:
                self._pulls.learn_members(seeds_only=sent == INTRODUCTIONS[0])
            interval_s = FIRST_DIGEST_INTERVAL_S if sent < FIRST_DIGESTS else DIGEST_INTERVAL_S
            await asyncio.sleep(
                interval_s * self._random.uniform(1.0 - INTERVAL_SPREAD, 1.0 + INTERVAL_SPREAD)
            )
