"""Multiplexes one peer transport between the parts of a node.

Owns the channel numbers.  The first byte of every payload is the channel; the rest is the message
of the part that uses it.
"""

from __future__ import annotations

import enum

from tinrudder.peers import DatagramHandler, PeerAddress, PeerTransport, RequestHandler


class Channel(enum.IntEnum):
    """The part of a node that handles a message from a peer."""

    MEMBERSHIP = 1
    CONFIGURATION = 2
    CLAIMS = 3
    RELAY = 4
    OBSERVATIONS = 5
    EXPLAIN = 6


class UnknownChannelError(Exception):
    """A peer sent a request on a channel that this node does not serve."""


class ChannelRouter:
    """Splits one :class:`PeerTransport` into channels."""

    def __init__(self, transport: PeerTransport) -> None:
        """Register as the handler of everything that ``transport`` receives."""
        self._transport = transport
        self._datagram_handlers: dict[int, DatagramHandler] = {}
        self._request_handlers: dict[int, RequestHandler] = {}
        transport.listen(self._on_datagram, self._on_request)

    def channel(self, channel: Channel) -> ChannelTransport:
        """Return the transport of one channel."""
        return ChannelTransport(channel, self)

    @property
    def transport(self) -> PeerTransport:
        """Return the transport that carries the channels."""
        return self._transport

    def set_handlers(
        self, channel: Channel, on_datagram: DatagramHandler, on_request: RequestHandler
    ) -> None:
        """Set the handlers of one channel."""
        self._datagram_handlers[channel] = on_datagram
        self._request_handlers[channel] = on_request

    def _on_datagram(self, source: PeerAddress, payload: bytes) -> None:
        if not payload:
            return
        handler = self._datagram_handlers.get(payload[0])
        if handler is not None:
            handler(source, payload[1:])

    async def _on_request(self, source: PeerAddress, payload: bytes) -> bytes:
        handler = self._request_handlers.get(payload[0]) if payload else None
        if handler is None:
            raise UnknownChannelError(f"{source}: no such channel")
        return await handler(source, payload[1:])


class ChannelTransport:
    """One channel; itself a :class:`tinrudder.peers.PeerTransport`."""

    def __init__(self, channel: Channel, router: ChannelRouter) -> None:
        """Prefix every payload with ``channel``."""
        self._channel = channel
        self._prefix = bytes((channel,))
        self._router = router

    def listen(self, on_datagram: DatagramHandler, on_request: RequestHandler) -> None:
        """Set the handlers of this channel."""
        self._router.set_handlers(self._channel, on_datagram, on_request)

    def send_datagram(self, destination: PeerAddress, payload: bytes) -> None:
        """Send one datagram; its payload limit is one byte below that of the transport."""
        self._router.transport.send_datagram(destination, self._prefix + payload)

    async def request(self, destination: PeerAddress, payload: bytes, timeout_s: float) -> bytes:
        """Send a request and return its answer."""
        return await self._router.transport.request(destination, self._prefix + payload, timeout_s)

    async def close(self) -> None:
        """Do nothing: the owner of the shared transport closes it."""
