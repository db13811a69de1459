"""Pulls snapshots from peers whose digests show newer state than the shared state.

Owns the pull in progress and the time since which this gateway is behind; relies on the peer
client for connections, and on the store readers to tell whether this gateway watches the store.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tinrudder.common.address import Address
from tinrudder.common.supervisor import run_logged
from tinrudder.common.transport.peer_client import PeerClient
from tinrudder.gateway.peers.peer_list import PeerList
from tinrudder.gateway.peers.peer_messages import Digest, Snapshot
from tinrudder.gateway.peers.peer_traffic import PeerTraffic
from tinrudder.gateway.peers.snapshots import (
    apply_confirmations,
    apply_snapshot,
    is_behind,
    snapshot_request,
)
from tinrudder.gateway.store.shared_state import SharedState
from tinrudder.gateway.store.staleness_bound import StalenessBound
from tinrudder.gateway.store.store_readers import StoreReaders
from tinrudder.gateway.wire.gateway_relay_codec import encode_request
from tinrudder.gateway.wire.snapshot_codec import MalformedPeerMessageError, decode_snapshot
from tinrudder.peers import PeerLostError, PeerNotSentError

PULL_DELAY_S = 0.25
"""Seconds for which a gateway that watches the store itself waits for a change that a peer's digest
shows: the store reports a change to all watches at about the same time, so no pull is needed."""
PULL_TIMEOUT_S = 1.0
"""Timeout of a snapshot request in seconds: encoding a snapshot of hundreds of back ends takes
milliseconds, and the next digest offers another peer to pull from."""

PullListener = Callable[[str, str], None]


class SnapshotPulls:
    """Requests a peer's snapshot when its digest shows newer state."""

    def __init__(
        self,
        state: SharedState,
        staleness_bound: StalenessBound,
        peers: PeerList,
        client: PeerClient,
        traffic: PeerTraffic,
        readers: StoreReaders,
        on_pull: PullListener,
    ) -> None:
        """Call ``on_pull`` with the peer and the result of every pull.

        :param readers: shows whether this gateway watches the store itself; the store then
            probably delivers a change before a pull is needed.
        """
        self._state = state
        self._staleness_bound = staleness_bound
        self._peers = peers
        self._client = client
        self._traffic = traffic
        self._readers = readers
        self._on_pull = on_pull
        self._loop = asyncio.get_running_loop()
        self._behind_since: float | None = None
        self._pulling: asyncio.Task[None] | None = None
        # The event loop keeps only weak references to tasks.
        self._member_requests: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Close the connections to peers."""
        await self._client.close()

    def start_pull(self, peer: Address) -> None:
        """Start a pull from a peer, unless one is in progress."""
        if self._pulling is None:
            self._pulling = self._loop.create_task(run_logged("pull", self._pull(peer)))

    def compare(self, digest: Digest, now: float) -> None:
        """Pull from a peer with newer state, unless the store is expected to deliver it soon."""
        apply_confirmations(self._state, digest)
        if not is_behind(self._state, digest):
            return
        if self._behind_since is None:
            self._behind_since = now
            self._loop.call_later(PULL_DELAY_S, self._pull_if_behind, digest)
        expects_change = self._state.complete and self._readers.is_reader()
        if not expects_change or now - self._behind_since >= PULL_DELAY_S:
            self._pull_if_behind(digest)

    def request_members(self, *, seeds_only: bool) -> None:
        """Request the member list, with the state, from a random peer."""
        peer = self._peers.random_peer(seeds_only=seeds_only)
        if peer is not None:
            work = run_logged("member request", self._request_members(peer))
            task = self._loop.create_task(work)
            self._member_requests.add(task)
            task.add_done_callback(self._member_requests.discard)

    def _pull_if_behind(self, digest: Digest) -> None:
        """Start a pull if the state is still older than the digest shows."""
        if is_behind(self._state, digest):
            self.start_pull(digest.sender.address)
        else:
            self._behind_since = None

    async def _pull(self, peer: Address) -> None:
        """Apply a peer's snapshot, and report the result."""
        try:
            await self._apply_snapshot_of(peer)
        except (PeerNotSentError, PeerLostError, MalformedPeerMessageError) as error:
            self._readers.note_pull(succeeded=False)
            self._on_pull(str(peer), f"failed: {error!r}")
        else:
            self._readers.note_pull(succeeded=True)
            self._on_pull(str(peer), "applied")
        finally:
            self._pulling = None
            self._behind_since = None

    async def _apply_snapshot_of(self, peer: Address) -> None:
        """Apply a peer's snapshot, and the staleness bound that it proves.

        The age that the peer states counts from when the request was sent, the earliest time at
        which the peer can have answered.
        """
        sent_at = self._loop.time()
        snapshot = await self._request_snapshot(peer)
        self._peers.merge_reported(snapshot.members, self._loop.time())
        apply_snapshot(self._state, snapshot, str(peer))
        if snapshot.knowledge_age_s is not None:
            self._staleness_bound.prove(sent_at - snapshot.knowledge_age_s)

    async def _request_snapshot(self, peer: Address) -> Snapshot:
        """Request a snapshot from one peer."""
        settling = self._peers.is_settling(self._loop.time())
        request = snapshot_request(self._state, members_wanted=settling)
        payload = encode_request(request)
        self._traffic.note(request, len(payload))
        return decode_snapshot(await self._client.request(peer, payload, PULL_TIMEOUT_S))

    async def _request_members(self, peer: Address) -> None:
        """Apply a peer's snapshot; a failure is only reported: other peers may still answer."""
        try:
            await self._apply_snapshot_of(peer)
        except (PeerNotSentError, PeerLostError, MalformedPeerMessageError) as error:
            self._on_pull(str(peer), f"member request failed: {error!r}")
