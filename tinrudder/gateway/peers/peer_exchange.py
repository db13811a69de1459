"""Gateways teach each other what they know of the store: digests by UDP, snapshots by TCP."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from tinrudder.common.address import Address
from tinrudder.common.transport.peer_client import PeerClient
from tinrudder.common.transport.peer_server import PeerServer
from tinrudder.gateway.peers.peer_datagrams import PeerDatagrams
from tinrudder.gateway.peers.peer_list import PeerList
from tinrudder.gateway.peers.peer_messages import (
    Digest,
    Member,
    ReportedMember,
    ScatterAnswer,
    ScatterRequest,
    Snapshot,
    SnapshotRequest,
)
from tinrudder.gateway.peers.zone_monitor import ZoneMonitor
from tinrudder.gateway.store.shared_state import SharedState
from tinrudder.gateway.store.staleness_bound import StalenessBound
from tinrudder.gateway.store.store_readers import StoreReaders
from tinrudder.gateway.store.stored_values import Reading, Topic
from tinrudder.gateway.wire.gateway_relay_codec import decode_request, encode_answer, encode_request
from tinrudder.gateway.wire.snapshot_codec import (
    MalformedPeerMessageError,
    decode_snapshot,
    encode_snapshot,
)
from tinrudder.peers import PeerLostError, PeerNotSentError

DIGEST_INTERVAL_S = 0.5
FIRST_DIGEST_INTERVAL_S = 0.2
FIRST_DIGESTS = 15
IMPATIENT_INTERVAL_S = 0.03
IMPATIENT_DIGESTS = 10
"""How often a process that knows too little to serve asks at first: seeds that start at the same
time may not listen yet, and a round trip and their reading of the store take about as long."""
INTRODUCTIONS = (2, 6)
"""After which digests a process that has just started asks for all members: 0.2 s after it is
complete, when seeds have heard of those that started with it, and 1 s, when processes on machines
half as fast have started too."""
PULL_PATIENCE_S = 0.25
PULL_TIMEOUT_S = 1.0
ScatterServer = Callable[[ScatterRequest], Awaitable[ScatterAnswer]]


class PeerExchange:
    """Sends digests, answers peers' requests, and pulls a snapshot when a peer knows more."""

    def __init__(
        self,
        describe_own: Callable[[], Member],
        state: SharedState,
        peers: PeerList,
        client: PeerClient,
        datagrams: PeerDatagrams,
        knowledge: StalenessBound,
        watch: ZoneMonitor,
        serve_scatter: ScatterServer,
        readers: StoreReaders,
        on_pull: Callable[[str, str], None],
        random_source: random.Random,
    ) -> None:
        """Exchange ``state`` with ``peers``; ``on_pull`` learns of every pull and its result.

        :param readers: tells whether this gateway follows the store itself, which then probably
            brings news before a peer has to be asked.
        """
        self._client = client
        self._datagrams = datagrams
        self._knowledge = knowledge
        self._describe_own = describe_own
        self._own = describe_own().address
        self._serve_scatter = serve_scatter
        self._readers = readers
        self._peer_server = PeerServer(lambda: self._serve)
        self._state = state
        self._peers = peers
        self._on_pull = on_pull
        self._random = random_source
        self._loop = asyncio.get_running_loop()
        self._server: asyncio.Server | None = None
        self._behind_since: float | None = None
        self._pulling: asyncio.Task[None] | None = None
        self._introduction: asyncio.Task[None] | None = None
        self._told: tuple[int, int] = (0, 0)
        self._ticking: asyncio.Task[None] | None = None
        self._waiting_to_learn: set[Address] = set()
        self._watch = watch
        datagrams.handle(Digest, self._on_digest)
        state.subscribe(self._on_state_change)

    async def start(self) -> None:
        """Listen, and say that this gateway has started.

        :raises OSError: the address is taken.
        """
        await self._datagrams.open(self._own)
        self._server = await asyncio.start_server(
            self._peer_server.serve, self._own.host, self._own.port
        )
        self._ticking = self._loop.create_task(self._tick())

    async def stop(self) -> None:
        """Stop listening and close every connection once its answers have left."""
        if self._ticking is not None:
            self._ticking.cancel()
        self._datagrams.close()
        if self._server is not None:
            self._server.close()
        await self._peer_server.close()
        await self._client.close()

    @property
    def held_bytes(self) -> int:
        """Return the bytes held for peers that ask."""
        return self._peer_server.held_bytes

    def send_digests(self, *, zone_only: bool = False) -> None:
        """Tell peers how far this gateway's knowledge goes.

        :param zone_only: only those in this gateway's zone, where there are few in all.
        """
        if not self._datagrams.is_open:
            return
        state = self._state
        self._told = (state.operator_revision, state.backends_revision)
        receivers = self._peers.receivers(self._loop.time(), zone_only=zone_only)
        elsewhere = [peer for peer in receivers if self._peers.is_elsewhere(peer)]
        beside = [peer for peer in receivers if peer not in elsewhere]
        if beside:
            self._datagrams.send(self._digest(), *beside)
        if elsewhere:
            self._datagrams.send(self._digest(elsewhere=True), *elsewhere)

    def tell_zone(self) -> None:
        """Send a digest to everybody in the own zone, where bytes cost nothing."""
        zone = self._describe_own().zone
        self._datagrams.send(self._digest(), *self._peers.members_in(zone, self._loop.time()))

    def catch_up(self, peer: Address) -> None:
        """Fetch what a peer knows beyond this gateway."""
        if self._pulling is None:
            self._pulling = self._loop.create_task(self._pull(peer))

    def _on_digest(self, digest: Digest, _peer: Address) -> None:
        """Take a peer's digest."""
        now = self._loop.time()
        self._peers.heard_from(digest.sender, now)
        self._watch.heard(digest)
        self._peers.heard_of(digest.members, now)
        if digest.sender.starting:
            self._waiting_to_learn.add(digest.sender.address)
            self._answer_starting()
        else:
            self._waiting_to_learn.discard(digest.sender.address)
        self._compare(digest, now)

    def _answer_starting(self) -> None:
        """Send a digest to peers that know too little to serve, once there is enough here."""
        if not self._datagrams.is_open or not self._state.complete:
            return
        self._datagrams.send(self._digest(), *self._waiting_to_learn)
        self._waiting_to_learn.clear()

    def _digest(self, *, elsewhere: bool = False) -> Digest:
        """Return what this gateway knows.

        :param elsewhere: for gateways in other zones.
        """
        state = self._state
        return Digest(
            sender=self._describe_own(),
            operator_revision=state.operator_revision,
            backends_revision=state.backends_revision,
            members=self._peers.to_tell(self._loop.time(), elsewhere=elsewhere),
            operator_unconfirmed_s=self._unconfirmed_s(Topic.OPERATOR),
            backends_unconfirmed_s=self._unconfirmed_s(Topic.BACKENDS),
            silent_zones=self._watch.paths.told_doubts,
        )

    def _compare(self, digest: Digest, now: float) -> None:
        """Pull from a peer that knows more, unless the store brings it soon anyway."""
        self._take_confirmations(digest)
        if not self._is_behind(digest):
            return
        if self._behind_since is None:
            self._behind_since = now
            self._loop.call_later(PULL_PATIENCE_S, self._pull_if_behind, digest)
        patient = self._state.complete and self._readers.is_reader()
        if not patient or now - self._behind_since >= PULL_PATIENCE_S:
            self._pull_if_behind(digest)

    def _unconfirmed_s(self, topic: Topic) -> float | None:
        """Return the age of the store's last word on a topic, as far as known."""
        age_s = self._state.unconfirmed_s(topic)
        return age_s if age_s != float("inf") else None

    def _take_confirmations(self, digest: Digest) -> None:
        """Learn that the store had nothing newer, where this gateway knows as much."""
        state = self._state
        age_s = digest.operator_unconfirmed_s
        if age_s is not None and digest.operator_revision <= state.operator_revision:
            state.confirm(Topic.OPERATOR, age_s)
        age_s = digest.backends_unconfirmed_s
        if age_s is not None and digest.backends_revision <= state.backends_revision:
            state.confirm(Topic.BACKENDS, age_s)

    def _pull_if_behind(self, digest: Digest) -> None:
        """Start a pull if the store has not brought what the digest promised."""
        if self._is_behind(digest):
            self.catch_up(digest.sender.address)
        else:
            self._behind_since = None

    def _is_behind(self, digest: Digest) -> bool:
        """Tell whether a peer knows something newer."""
        state = self._state
        return (
            digest.operator_revision > state.operator_revision
            or digest.backends_revision > state.backends_revision
        )

    async def _pull(self, peer: Address) -> None:
        """Fetch a peer's snapshot and take what is newer."""
        try:
            await self._learn_from(peer)
        except (PeerNotSentError, PeerLostError, MalformedPeerMessageError) as error:
            self._readers.note_pull(succeeded=False)
            self._on_pull(str(peer), f"failed: {error!r}")
        else:
            self._readers.note_pull(succeeded=True)
            self._on_pull(str(peer), "applied")
        finally:
            self._pulling = None
            self._behind_since = None

    async def _learn_from(self, peer: Address) -> None:
        """Take a peer's snapshot, and how far its knowledge reached when this was asked for."""
        asked_at = self._loop.time()
        snapshot = await self._request_snapshot(peer)
        self._apply(snapshot, peer)
        if snapshot.knowledge_age_s is not None:
            self._knowledge.prove(asked_at - snapshot.knowledge_age_s)

    async def _request_snapshot(self, peer: Address) -> Snapshot:
        """Ask one peer."""
        state = self._state
        known = state.backends_revision if state.backends_read else 0
        settling = self._peers.is_settling(self._loop.time())
        request = SnapshotRequest(state.operator_revision, known, settling)
        payload = encode_request(request)
        self._datagrams.traffic.note(request, len(payload))
        return decode_snapshot(await self._client.request(peer, payload, PULL_TIMEOUT_S))

    def _apply(self, snapshot: Snapshot, peer: Address) -> None:
        """Take what is newer."""
        self._peers.heard_of(snapshot.members, self._loop.time())
        configuration = () if snapshot.configuration is None else (snapshot.configuration,)
        self._state.apply(Topic.OPERATOR, configuration + snapshot.evacuations, str(peer))
        if snapshot.backends_read and not snapshot.changes_only:
            revision = max((value.revision for value in snapshot.backends), default=0)
            self._state.apply_complete(Topic.BACKENDS, Reading(snapshot.backends, revision))
        else:
            self._state.apply(Topic.BACKENDS, snapshot.backends)

    async def _serve(self, _peer: Address, asked: bytes) -> bytes:
        """Answer one request of a peer.

        :raises MalformedPeerMessageError: it is none.
        """
        request = decode_request(asked)
        answer: ScatterAnswer | Snapshot
        if isinstance(request, ScatterRequest):
            answer = await self._serve_scatter(request)
            payload = encode_answer(answer)
        else:
            answer = self._snapshot(request)
            payload = encode_snapshot(answer)
        self._datagrams.traffic.note(answer, len(payload))
        return payload

    def _snapshot(self, request: SnapshotRequest) -> Snapshot:
        """Return this gateway's state."""
        accepted = self._state.accepted
        configuration = None
        if accepted is not None and accepted.value.revision > request.operator_revision:
            configuration = accepted.value
        # Removals are forgotten after a while: what is older can be told only as a whole.
        after = request.backends_revision
        if after < self._state.forgotten_up_to:
            after = 0
        members: tuple[ReportedMember, ...] = ()
        if request.members_wanted:
            own = ReportedMember(self._describe_own(), 0.0)
            members = (own, *self._peers.all_told(self._loop.time()))
        backends = self._state.snapshot(after)
        return Snapshot(
            configuration=configuration,
            backends=backends,
            backends_read=self._state.backends_read,
            changes_only=after > 0,
            members=members,
            evacuations=self._state.evacuations.snapshot(request.operator_revision),
            knowledge_age_s=self._knowledge.told_age_s,
        )

    def _on_state_change(self) -> None:
        """Tell peers of a change at once."""
        self._answer_starting()
        state = self._state
        if (state.operator_revision, state.backends_revision) != self._told:
            self.send_digests()

    def _learn_members(self, *, seeds_only: bool) -> None:
        """Ask a peer for everybody whom it knows."""
        teacher = self._peers.teacher(seeds_only=seeds_only)
        if teacher is not None:
            self._introduction = self._loop.create_task(self._introduce(teacher))

    async def _introduce(self, teacher: Address) -> None:
        """Learn from one peer; one that fails is no reason to doubt the others."""
        try:
            await self._learn_from(teacher)
        except (PeerNotSentError, PeerLostError, MalformedPeerMessageError) as error:
            self._on_pull(str(teacher), f"introduction failed: {error!r}")

    async def _tick(self) -> None:
        """Send digests regularly, not all gateways at the same time; more often at first."""
        sent = 0
        impatient = 0
        while True:
            # Peers in other zones hear every second one: bytes between zones are paid for.
            self.send_digests(zone_only=sent > FIRST_DIGESTS and sent % 2 == 1)
            if not self._state.complete and impatient < IMPATIENT_DIGESTS:
                impatient += 1
                await asyncio.sleep(IMPATIENT_INTERVAL_S)
                continue
            sent += 1
            if sent in INTRODUCTIONS:
                self._learn_members(seeds_only=sent == INTRODUCTIONS[0])
            interval_s = FIRST_DIGEST_INTERVAL_S if sent < FIRST_DIGESTS else DIGEST_INTERVAL_S
            await asyncio.sleep(interval_s * self._random.uniform(0.8, 1.2))
