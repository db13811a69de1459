"""Simulated messages between nodes: the lab's :class:`tinrudder.peers.PeerTransport`."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

from tinrudder.peers import (
    MAX_DATAGRAM_BYTES,
    DatagramHandler,
    PeerAddress,
    PeerLostError,
    PeerNotSentError,
    RequestHandler,
)
from tinrudder_lab.sim.loop import Machine
from tinrudder_lab.sim.network import CONNECT_S, Location, Network

CONNECT_TIMEOUT_S = 1.0


@dataclass(eq=False)
class _Request:
    """One request in flight; ``task`` runs its handler at the peer."""

    caller: SimPeerTransport
    future: asyncio.Future[bytes]
    task: asyncio.Task[Any] | None = None
    cancelled: bool = False


@dataclass(eq=False)
class PeerDirectory:
    """The transports by the address at which they listen."""

    transports: dict[PeerAddress, SimPeerTransport] = field(default_factory=dict)


class SimPeerTransport:
    """One machine's transport to other nodes."""

    def __init__(
        self,
        address: PeerAddress,
        machine: Machine,
        network: Network,
        peer_directory: PeerDirectory,
    ) -> None:
        """Listen at ``address`` immediately."""
        self.address = address
        self.machine = machine
        self.location = Location(machine.zone, machine.region)
        self._network = network
        self._peer_directory = peer_directory
        self._on_datagram: DatagramHandler | None = None
        self._on_request: RequestHandler | None = None
        self._open_requests: dict[int, _Request] = {}
        self._serving: dict[int, _Request] = {}
        self._connected: dict[PeerAddress, SimPeerTransport] = {}
        self._last_request = 0
        self.unfinished_at_close = 0
        self.request_bytes = 0
        peer_directory.transports[address] = self

    def listen(self, on_datagram: DatagramHandler, on_request: RequestHandler) -> None:
        """Set the handlers of incoming datagrams and requests."""
        self._on_datagram = on_datagram
        self._on_request = on_request

    def send_datagram(self, destination: PeerAddress, payload: bytes) -> None:
        """Send one datagram; it may be lost, duplicated or reordered."""
        if len(payload) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"datagram: {len(payload)} bytes, at most {MAX_DATAGRAM_BYTES}")
        peer = self._peer_directory.transports.get(destination)
        if peer is None or self.machine.crashed:
            return
        self._network.deliver_datagram(
            self.location, peer.location, peer.machine.context, peer._receive, self.address, payload
        )

    async def request(self, destination: PeerAddress, payload: bytes, timeout_s: float) -> bytes:
        """Send a request and return its answer, as the interface specifies."""
        peer = await self._connect(destination, timeout_s)
        self._last_request += 1
        number = self._last_request
        request = _Request(self, asyncio.get_running_loop().create_future())
        self._open_requests[number] = request
        self.request_bytes += len(payload)
        self._network.deliver(
            self.location, peer.location, peer.machine.context, peer._serve, request, payload
        )
        try:
            async with asyncio.timeout(timeout_s):
                return await request.future
        except TimeoutError as error:
            raise PeerLostError(f"{destination}: no answer in {timeout_s} s") from error
        finally:
            self._open_requests.pop(number, None)
            if not request.future.done() or request.future.cancelled():
                self._network.deliver(
                    self.location, peer.location, peer.machine.context, peer._cancel, request
                )

    async def close(self) -> None:
        """Stop listening; requests still being served are cancelled."""
        self.unfinished_at_close = len(self._serving)
        serving = tuple(self._serving.values())
        self.disconnect()
        for request in serving:
            self._cancel(request)

    def disconnect(self) -> None:
        """Close every connection, as the exit of a process does."""
        if self._peer_directory.transports.get(self.address) is self:
            del self._peer_directory.transports[self.address]
        for peer in tuple(self._peer_directory.transports.values()):
            if peer._connected.get(self.address) is self:
                del peer._connected[self.address]
        for request in tuple(self._serving.values()):
            self._break(request)

    async def _connect(self, destination: PeerAddress, timeout_s: float) -> SimPeerTransport:
        """Return the peer, after the time to connect if there is no connection yet."""
        peer = self._peer_directory.transports.get(destination)
        known = self._connected.get(destination)
        if known is not None and known is peer:
            return peer
        if peer is None:
            await asyncio.sleep(CONNECT_S)
            raise PeerNotSentError(f"{destination}: connection refused")
        if self._network.blocked(self.location, peer.location) or self._network.blocked(
            peer.location, self.location
        ):
            await asyncio.sleep(min(timeout_s, CONNECT_TIMEOUT_S))
            raise PeerNotSentError(f"{destination}: connect timed out")
        await asyncio.sleep(CONNECT_S)
        self._connected[destination] = peer
        return peer

    def _receive(self, source: PeerAddress, payload: bytes) -> None:
        """Handle the arrival of a datagram."""
        if self._on_datagram is not None and self.address in self._peer_directory.transports:
            self._on_datagram(source, payload)

    def _serve(self, request: _Request, payload: bytes) -> None:
        """Handle the arrival of a request."""
        if request.cancelled or self._on_request is None:
            return
        if self._peer_directory.transports.get(self.address) is not self:
            self._break(request)
            return
        self._serving[id(request)] = request
        request.task = asyncio.get_running_loop().create_task(
            self._answer(request, self._on_request, payload)
        )

    async def _answer(self, request: _Request, handler: RequestHandler, payload: bytes) -> None:
        """Run the handler and send its answer back."""
        try:
            answer = await handler(request.caller.address, payload)
        finally:
            self._serving.pop(id(request), None)
        self.request_bytes += len(answer)
        caller = request.caller
        self._network.deliver(
            self.location, caller.location, caller.machine.context, _resolve, request, answer
        )

    def _cancel(self, request: _Request) -> None:
        """Cancel the handler of a request whose caller no longer waits."""
        request.cancelled = True
        if request.task is not None:
            request.task.cancel()

    def _break(self, request: _Request) -> None:
        """Notify the caller of a request that its connection was closed."""
        caller = request.caller
        error = PeerLostError(f"{self.address}: connection closed")
        self._network.deliver(
            self.location, caller.location, caller.machine.context, _fail, request, error
        )


def _fail(request: _Request, error: PeerLostError) -> None:
    """Fail a request unless it is already done."""
    if not request.future.done():
        request.future.set_exception(error)


def _resolve(request: _Request, answer: bytes) -> None:
    """Set the answer of a request unless it is already done."""
    if not request.future.done():
        request.future.set_result(answer)
