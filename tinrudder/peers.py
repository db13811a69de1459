"""How nodes talk to each other, as a typed interface without a transport."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

from tinrudder.common.address import Address

MAX_DATAGRAM_BYTES = 1400


PeerAddress = Address
"""Where a process listens for the others of its fleet, TCP and UDP alike."""


class PeerNotSentError(Exception):
    """The peer did not start the request: no byte can have reached it, or it refused."""


class PeerLostError(Exception):
    """The peer may have received the request, but no answer came."""


class PeerSilentError(PeerNotSentError):
    """The peer did not even say in time that it took the request.

    It may have received it, but begins only when its word has been confirmed, which never happens;
    unless it was asked to begin at once.
    """


DatagramHandler = Callable[[PeerAddress, bytes], None]
RequestHandler = Callable[[PeerAddress, bytes], Awaitable[bytes]]


class PeerTransport(Protocol):
    """Carries opaque messages between nodes.

    Datagrams may be lost, doubled or reordered.  A request is answered at most once; when the
    requesting task is cancelled, the handler's task at the peer is cancelled too.
    """

    def listen(self, on_datagram: DatagramHandler, on_request: RequestHandler) -> None:
        """Set who handles what arrives."""

    def send_datagram(self, destination: PeerAddress, payload: bytes) -> None:
        """Send at most ``MAX_DATAGRAM_BYTES``; loss is silent."""

    async def request(self, destination: PeerAddress, payload: bytes, timeout_s: float) -> bytes:
        """Send a request and return its answer.

        :raises PeerNotSentError: the peer cannot have started it.
        :raises PeerLostError: it may have.
        """

    async def close(self) -> None:
        """Close every connection and stop listening."""
