"""Sends and receives all datagrams between gateways, and dispatches each kind to its handler.

Owns the UDP socket, the handler table and the traffic counters; relies on the codec to decode
datagrams, and on each component to register a handler for its kind.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, TypeVar, cast

from tinrudder.common.address import Address
from tinrudder.common.logs import log_problem
from tinrudder.gateway.peers.peer_messages import PeerDatagram
from tinrudder.gateway.peers.peer_traffic import PeerTraffic
from tinrudder.gateway.wire.peer_datagram_codec import decode_datagram, encode_datagram
from tinrudder.gateway.wire.snapshot_codec import MalformedPeerMessageError

LOG_INTERVAL_S = 10.0
"""Minimum seconds between two log lines about unreadable datagrams: a peer that sends one usually
sends many, and the counter shows how many."""

Kind = TypeVar("Kind", bound=PeerDatagram)


class PeerDatagrams(asyncio.DatagramProtocol):
    """Sends and receives datagrams.

    :ivar unreadable: number of received datagrams that could not be decoded.
    :ivar received_at: monotonic time of the latest datagram.
    :ivar traffic: counts of what this gateway sends to peers, over UDP and TCP.
    """

    def __init__(self) -> None:
        """Start without a socket and without handlers."""
        self.unreadable = 0
        self.received_at = float("-inf")
        self.traffic = PeerTraffic()
        self._handlers: dict[type[Any], Callable[[Any, Address], None]] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._loop = asyncio.get_running_loop()
        self._logged_at = float("-inf")

    @property
    def is_open(self) -> bool:
        """Return whether the socket is open."""
        return self._transport is not None

    def handle(self, kind: type[Kind], handler: Callable[[Kind, Address], None]) -> None:
        """Pass each datagram of one kind, with its sender, to ``handler``."""
        self._handlers[kind] = handler

    async def open(self, own: Address) -> None:
        """Bind the socket to this gateway's address.

        :raises OSError: the address is in use.
        """
        await self._loop.create_datagram_endpoint(lambda: self, local_addr=(own.host, own.port))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def send(self, datagram: PeerDatagram, *peers: Address) -> None:
        """Send one datagram to each peer, without confirmation of delivery."""
        if self._transport is None:
            return
        payload = encode_datagram(datagram)
        self.traffic.note(datagram, len(payload), len(peers))
        for peer in peers:
            self._transport.sendto(payload, (peer.host, peer.port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the open socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a datagram and pass it to the handler of its kind."""
        try:
            datagram = decode_datagram(data)
        except MalformedPeerMessageError as error:
            self._note_unreadable(str(error), addr)
            return
        self.received_at = self._loop.time()
        handler = self._handlers.get(type(datagram))
        if handler is not None:
            handler(datagram, Address(addr[0], addr[1]))

    def _note_unreadable(self, problem: str, addr: tuple[str, int]) -> None:
        """Count an unreadable datagram, and log it at a bounded rate."""
        self.unreadable += 1
        now = self._loop.time()
        if now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            detail = f"{addr[0]}:{addr[1]}: {problem}"
            log_problem("unreadable_datagram", {"detail": detail, "count": self.unreadable})
