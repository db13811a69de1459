"""Several parts of a node share one peer transport, each on a channel of its own.

The first byte of every payload names the channel; what follows is that part's protobuf message.
"""

from __future__ import annotations

import enum

from tinrudder.peers import DatagramHandler, PeerAddress, PeerTransport, RequestHandler


class Channel(enum.IntEnum):
    """Who a message between nodes is for."""

    MEMBERSHIP = 1
    CONFIGURATION = 2
    CLAIMS = 3
    RELAY = 4
    OBSERVATIONS = 5
    EXPLAIN = 6


class UnknownChannelError(Exception):
    """A peer asked for a channel that this node does not serve."""


class ChannelRouter:
    """Splits one :class:`PeerTransport` into channels."""

    def __init__(self, transport: PeerTransport) -> None:
        """Take over ``transport``'s handlers."""
        self._transport = transport
        self._datagram_handlers: dict[int, DatagramHandler] = {}
        self._request_handlers: dict[int, RequestHandler] = {}
        transport.listen(self._on_datagram, self._on_request)

    def channel(self, channel: Channel) -> ChannelTransport:
        """Return the transport of one channel."""
        return ChannelTransport(channel, self)

    @property
    def transport(self) -> PeerTransport:
        """Return what carries the channels."""
        return self._transport

    def set_handlers(
        self, channel: Channel, on_datagram: DatagramHandler, on_request: RequestHandler
    ) -> None:
        """Set who handles what arrives on a channel."""
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
        """Prefix everything with ``channel``."""
        self._channel = channel
        self._prefix = bytes((channel,))
        self._router = router

    def listen(self, on_datagram: DatagramHandler, on_request: RequestHandler) -> None:
        """Set who handles what arrives on this channel."""
        self._router.set_handlers(self._channel, on_datagram, on_request)

    def send_datagram(self, destination: PeerAddress, payload: bytes) -> None:
        """Send one datagram, one byte shorter than the transport allows."""
        self._router.transport.send_datagram(destination, self._prefix + payload)

    async def request(self, destination: PeerAddress, payload: bytes, timeout_s: float) -> bytes:
        """Send a request and return its answer."""
        return await self._router.transport.request(destination, self._prefix + payload, timeout_s)

    async def close(self) -> None:
        """Leave the shared transport open: its owner closes it."""
