"""Communication between nodes, as typed interfaces independent of a transport."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

from tinrudder.common.address import Address

MAX_DATAGRAM_BYTES = 1400
"""Maximum size of a datagram, bytes."""


PeerAddress = Address
"""Address on which a process listens for peers, for both TCP and UDP."""


class PeerNotSentError(Exception):
    """The peer did not start the request: no byte can have reached it, or the peer refused it."""


class PeerLostError(Exception):
    """The peer may have received the request, but no answer arrived."""


class PeerSilentError(PeerNotSentError):
    """The peer did not report in time that it accepted the request.

    It may have received the request, but starts it only after a confirmation, which it will not
    get, unless the request was sent with ``begin_at_once``.
    """


DatagramHandler = Callable[[PeerAddress, bytes], None]
RequestHandler = Callable[[PeerAddress, bytes], Awaitable[bytes]]


class PeerTransport(Protocol):
    """Carries opaque messages between nodes.

    Datagrams may be lost, duplicated or reordered. A request is answered at most once; cancelling
    the requesting task also cancels the handler's task at the peer.
    """

    def listen(self, on_datagram: DatagramHandler, on_request: RequestHandler) -> None:
        """Set the handlers of incoming datagrams and requests."""

    def send_datagram(self, destination: PeerAddress, payload: bytes) -> None:
        """Send a datagram of at most ``MAX_DATAGRAM_BYTES``; a loss is not reported."""

    async def request(self, destination: PeerAddress, payload: bytes, timeout_s: float) -> bytes:
        """Send a request and return its answer.

        :raises PeerNotSentError: the peer cannot have started the request.
        :raises PeerLostError: the peer may have started the request.
        """

    async def close(self) -> None:
        """Close every connection and stop listening."""
