"""Gateways teach each other what they know of the store: digests by UDP, snapshots by TCP."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import cast

from tinrudder.gateway.model import Address
from tinrudder.gateway.peer_list import PeerList
from tinrudder.gateway.peer_messages import Digest, Snapshot, SnapshotRequest
from tinrudder.gateway.shared_state import SharedState
from tinrudder.gateway.stored_values import Topic
from tinrudder.wire.frames import (
    Frame,
    FrameError,
    FrameType,
    encode_frame,
    read_header,
    read_payload,
)
from tinrudder.wire.snapshot_codec import (
    MalformedPeerMessageError,
    decode_digest,
    decode_request,
    decode_snapshot,
    encode_digest,
    encode_request,
    encode_snapshot,
)

DIGEST_INTERVAL_S = 0.5
PULL_PATIENCE_S = 0.25
PULL_TIMEOUT_S = 1.0
SERVE_TIMEOUT_S = 2.0
EXCHANGE_ID = 1


class PeerExchange(asyncio.DatagramProtocol):
    """Sends digests, answers requests for snapshots, and pulls one when a peer knows more."""

    def __init__(
        self, own: Address, state: SharedState, peers: PeerList, on_pull: Callable[[str, str], None]
    ) -> None:
        """Exchange ``state`` with ``peers``; ``on_pull`` learns of every pull and its result."""
        self._own = own
        self._state = state
        self._peers = peers
        self._on_pull = on_pull
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._behind_since: float | None = None
        self._pulling: asyncio.Task[None] | None = None
        self._told: tuple[int, int] = (0, 0)
        self._ticking: asyncio.Task[None] | None = None
        state.subscribe(self._on_state_change)

    async def start(self) -> None:
        """Listen, and say that this gateway has started.

        :raises OSError: the address is taken.
        """
        await self._loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._own.host, self._own.port)
        )
        self._server = await asyncio.start_server(self._serve, self._own.host, self._own.port)
        self._ticking = self._loop.create_task(self._tick())

    def stop(self) -> None:
        """Stop listening."""
        if self._ticking is not None:
            self._ticking.cancel()
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()

    def send_digests(self) -> None:
        """Tell peers how far this gateway's knowledge goes."""
        if self._transport is None:
            return
        state = self._state
        self._told = (state.configuration_revision, state.backends_revision)
        payload = encode_digest(self._digest())
        for address in self._peers.receivers(self._loop.time()):
            self._transport.sendto(payload, (address.host, address.port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a peer's digest."""
        try:
            digest = decode_digest(data)
        except MalformedPeerMessageError:
            return
        now = self._loop.time()
        self._peers.heard_from(digest.sender, now)
        self._peers.heard_of(digest.known_peers, now)
        if digest.starting and self._transport is not None and self._state.complete:
            answer = encode_digest(self._digest())
            self._transport.sendto(answer, (digest.sender.host, digest.sender.port))
        self._compare(digest, now)

    def _digest(self) -> Digest:
        """Return what this gateway knows."""
        state = self._state
        return Digest(
            sender=self._own,
            configuration_revision=state.configuration_revision,
            backends_revision=state.backends_revision,
            known_peers=self._peers.to_tell(),
            starting=not state.complete,
        )

    def _compare(self, digest: Digest, now: float) -> None:
        """Pull from a peer that knows more, unless the store brings it soon anyway."""
        state = self._state
        behind = (
            digest.configuration_revision > state.configuration_revision
            or digest.backends_revision > state.backends_revision
        )
        if not behind:
            return
        if self._behind_since is None:
            self._behind_since = now
            self._loop.call_later(PULL_PATIENCE_S, self._pull_if_behind, digest)
        if not state.complete or now - self._behind_since >= PULL_PATIENCE_S:
            self._pull_if_behind(digest)

    def _pull_if_behind(self, digest: Digest) -> None:
        """Start a pull if the store has not brought what the digest promised."""
        state = self._state
        behind = (
            digest.configuration_revision > state.configuration_revision
            or digest.backends_revision > state.backends_revision
        )
        if not behind:
            self._behind_since = None
        elif self._pulling is None:
            self._pulling = self._loop.create_task(self._pull(digest.sender))

    async def _pull(self, peer: Address) -> None:
        """Fetch a peer's snapshot and take what is newer."""
        try:
            async with asyncio.timeout(PULL_TIMEOUT_S):
                snapshot = await self._request_snapshot(peer)
        except (OSError, TimeoutError, EOFError, FrameError, MalformedPeerMessageError) as error:
            self._on_pull(str(peer), f"failed: {error!r}")
        else:
            self._apply(snapshot)
            self._on_pull(str(peer), "applied")
        finally:
            self._pulling = None
            self._behind_since = None

    async def _request_snapshot(self, peer: Address) -> Snapshot:
        """Ask one peer over a connection of its own."""
        reader, writer = await asyncio.open_connection(peer.host, peer.port)
        try:
            request = encode_request(SnapshotRequest(self._state.configuration_revision))
            writer.write(encode_frame(Frame(FrameType.REQUEST, EXCHANGE_ID, request)))
            frame = await read_payload(reader, await read_header(reader))
            return decode_snapshot(frame.payload)
        finally:
            writer.close()

    def _apply(self, snapshot: Snapshot) -> None:
        """Take what is newer."""
        if snapshot.configuration is not None:
            self._state.apply(Topic.CONFIGURATION, (snapshot.configuration,))
        self._state.apply(Topic.BACKENDS, snapshot.backends)
        if snapshot.backends_read:
            self._state.note_backends_read()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one request for a snapshot."""
        try:
            async with asyncio.timeout(SERVE_TIMEOUT_S):
                frame = await read_payload(reader, await read_header(reader))
                request = decode_request(frame.payload)
                payload = encode_snapshot(self._snapshot(request))
                writer.write(encode_frame(Frame(FrameType.ANSWER, frame.request_id, payload)))
                await writer.drain()
        except (OSError, TimeoutError, EOFError, FrameError, MalformedPeerMessageError):
            return
        finally:
            writer.close()

    def _snapshot(self, request: SnapshotRequest) -> Snapshot:
        """Return this gateway's state."""
        accepted = self._state.accepted
        configuration = None
        if accepted is not None and accepted.value.revision > request.configuration_revision:
            configuration = accepted.value
        return Snapshot(configuration, self._state.snapshot(), self._state.backends_read)

    def _on_state_change(self) -> None:
        """Tell peers of a change at once."""
        state = self._state
        if (state.configuration_revision, state.backends_revision) != self._told:
            self.send_digests()

    async def _tick(self) -> None:
        """Send digests regularly, not all gateways at the same time."""
        self.send_digests()
        while True:
            await asyncio.sleep(DIGEST_INTERVAL_S * random.uniform(0.8, 1.2))
            self.send_digests()
