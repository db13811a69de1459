"""Serves requests of peers over TCP: state snapshots and scatters.

Owns the listening socket for peers and the connections that it accepts; relies on the shared state
for snapshots, and on a callback that runs scatters.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from msgspec import structs

from tinrudder.common.address import Address
from tinrudder.common.transport.peer_server import PeerServer
from tinrudder.gateway.peers.own_member import OwnMember
from tinrudder.gateway.peers.peer_list import PeerList
from tinrudder.gateway.peers.peer_messages import (
    ReportedMember,
    ScatterAnswer,
    ScatterRequest,
    Snapshot,
    SnapshotRequest,
)
from tinrudder.gateway.peers.peer_traffic import PeerTraffic
from tinrudder.gateway.peers.snapshots import snapshot_for
from tinrudder.gateway.store.shared_state import SharedState
from tinrudder.gateway.store.staleness_bound import StalenessBound
from tinrudder.gateway.wire.gateway_relay_codec import decode_request, encode_answer
from tinrudder.gateway.wire.snapshot_codec import encode_snapshot

ScatterServer = Callable[[ScatterRequest], Awaitable[ScatterAnswer]]


class PeerService:
    """Serves peers from its start until it is closed."""

    def __init__(
        self,
        own_member: OwnMember,
        state: SharedState,
        staleness_bound: StalenessBound,
        peers: PeerList,
        traffic: PeerTraffic,
        serve_scatter: ScatterServer,
    ) -> None:
        """Answer from ``state``; ``serve_scatter`` runs a scatter, and ends it when cancelled."""
        self._own_member = own_member
        self._state = state
        self._staleness_bound = staleness_bound
        self._peers = peers
        self._traffic = traffic
        self._serve_scatter = serve_scatter
        self._loop = asyncio.get_running_loop()
        self._connections = PeerServer(lambda: self._serve)
        self._listener: asyncio.Server | None = None

    @property
    def held_bytes(self) -> int:
        """Return the bytes buffered for the peers that connected here."""
        return self._connections.held_bytes

    async def start(self, address: Address) -> None:
        """Start to listen for connections.

        :raises OSError: the address is in use.
        """
        self._listener = await asyncio.start_server(
            self._connections.serve, address.host, address.port
        )

    async def close(self) -> None:
        """Stop listening, and close every connection once its answers have been sent."""
        if self._listener is not None:
            self._listener.close()
        await self._connections.close()

    async def _serve(self, _peer: Address, request_payload: bytes) -> bytes:
        """Answer one request of a peer.

        :raises MalformedPeerMessageError: the bytes are not a valid request.
        """
        request = decode_request(request_payload)
        answer: ScatterAnswer | Snapshot
        if isinstance(request, ScatterRequest):
            answer = await self._serve_scatter(request)
            payload = encode_answer(answer)
        else:
            answer = self._snapshot(request)
            payload = encode_snapshot(answer)
        self._traffic.note(answer, len(payload))
        return payload

    def _snapshot(self, request: SnapshotRequest) -> Snapshot:
        """Return the state that the requester may lack, with all members if it wants them."""
        proven_age_s = self._staleness_bound.proven_age_s
        snapshot = snapshot_for(self._state, request, proven_age_s)
        if not request.members_wanted:
            return snapshot
        own = ReportedMember(self._own_member.describe(), 0.0)
        members = (own, *self._peers.counted_members(self._loop.time()))
        return structs.replace(snapshot, members=members)
