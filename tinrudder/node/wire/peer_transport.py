"""Transport between nodes: requests over TCP, datagrams over UDP.

Owns the listening sockets and the peer client.  Requests are framed as in
:mod:`tinrudder.common.transport.frames`.  With an identity, every TCP connection uses mutual TLS.
When a connection closes, its pending requests fail as lost, since the peer may have received them.
"""

from __future__ import annotations

import asyncio
import ssl

from tinrudder.common.transport.peer_client import PeerClient
from tinrudder.common.transport.peer_server import PeerServer
from tinrudder.node.tls import Identity
from tinrudder.peers import MAX_DATAGRAM_BYTES, DatagramHandler, PeerAddress, RequestHandler

HANDSHAKE_TIMEOUT_S = 5.0


class TcpPeerTransport:
    """The :class:`tinrudder.peers.PeerTransport` over TCP and UDP."""

    def __init__(self, host: str, port: int, identity: Identity | None = None) -> None:
        """Listen on ``host:port`` once :meth:`open` is called."""
        self._host = host
        self._port = port
        self._identity = identity
        self._on_datagram: DatagramHandler | None = None
        self._on_request: RequestHandler | None = None
        self._client = PeerClient(self._client_context)
        self._server = PeerServer(lambda: self._on_request)
        self._listening: asyncio.Server | None = None
        self._udp: asyncio.DatagramTransport | None = None

    def listen(self, on_datagram: DatagramHandler, on_request: RequestHandler) -> None:
        """Set the handlers of incoming datagrams and requests."""
        self._on_datagram = on_datagram
        self._on_request = on_request

    async def open(self) -> PeerAddress:
        """Start listening and return the bound address."""
        loop = asyncio.get_running_loop()
        context = self._identity.listening_context() if self._identity is not None else None
        handshake_timeout = HANDSHAKE_TIMEOUT_S if context is not None else None
        self._listening = await asyncio.start_server(
            self._server.serve,
            self._host,
            self._port,
            ssl=context,
            ssl_handshake_timeout=handshake_timeout,
        )
        port: int = self._listening.sockets[0].getsockname()[1]
        self._udp, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramProtocol(self), (self._host, port)
        )
        return PeerAddress(self._host, port)

    def send_datagram(self, destination: PeerAddress, payload: bytes) -> None:
        """Send one datagram."""
        if len(payload) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"datagram: {len(payload)} bytes, at most {MAX_DATAGRAM_BYTES}")
        if self._udp is not None and not self._udp.is_closing():
            self._udp.sendto(payload, (destination.host, destination.port))

    async def request(self, destination: PeerAddress, payload: bytes, timeout_s: float) -> bytes:
        """Send a request and return its answer; see :class:`tinrudder.peers.PeerTransport`."""
        return await self._client.request(destination, payload, timeout_s)

    async def close(self) -> None:
        """Stop listening and close every connection once pending writes are flushed."""
        if self._listening is not None:
            self._listening.close()
        if self._udp is not None:
            self._udp.close()
        await self._server.close()
        await self._client.close()

    def datagram_received(self, source: PeerAddress, payload: bytes) -> None:
        """Pass a datagram to its handler."""
        if self._on_datagram is not None:
            self._on_datagram(source, payload)

    def _client_context(self) -> ssl.SSLContext | None:
        return self._identity.client_context() if self._identity is not None else None


class _DatagramProtocol(asyncio.DatagramProtocol):
    def __init__(self, owner: TcpPeerTransport) -> None:
        self._owner = owner

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._owner.datagram_received(PeerAddress(addr[0], addr[1]), data)
