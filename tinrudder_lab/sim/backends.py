"""Simulated back ends, and a :class:`tinrudder.node.environment.BackendTransport` to them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from tinrudder.node.backends.messages import BackendCall, BackendReply, Broken, NotSent
from tinrudder.node.environment import ReplyListener
from tinrudder_lab.backend_model import BackendModel, ModelCall
from tinrudder_lab.sim.loop import Machine
from tinrudder_lab.sim.network import CONNECT_S, Location, Network

CONNECT_TIMEOUT_S = 1.0


@dataclass(eq=False)
class Exchange:
    """One call and its connection state."""

    transport: SimBackendTransport
    call: BackendCall
    listener: ReplyListener | None
    model_call: ModelCall | None = None


@dataclass(eq=False)
class SimBackend:
    """A simulated back end at its location; ``up`` tells whether its process runs."""

    model: BackendModel
    location: Location
    up: bool = True
    open: dict[int, Exchange] = field(default_factory=dict)

    def kill(self) -> None:
        """Kill the process: its calls break, later connections are refused."""
        self.up = False
        self.model.cancel_all()
        exchanges, self.open = list(self.open.values()), {}
        for exchange in exchanges:
            exchange.transport.deliver_reply(self.location, exchange, Broken("connection reset"))

    def receive(self, exchange: Exchange) -> None:
        """Handle the arrival of a call."""
        if not self.up:
            reply = NotSent("connection refused")
            exchange.transport.deliver_reply(self.location, exchange, reply)
            return
        if exchange.listener is None:
            return
        self.open[id(exchange)] = exchange
        request = exchange.call.request
        exchange.model_call = self.model.receive(
            request,
            lambda reply: self._respond(exchange, reply),
            exchange.transport.machine.name,
        )

    def cancel(self, exchange: Exchange) -> None:
        """Handle the arrival of a cancellation."""
        self.open.pop(id(exchange), None)
        if exchange.model_call is not None:
            self.model.cancel(exchange.model_call)

    def _respond(self, exchange: Exchange, reply: BackendReply) -> None:
        self.open.pop(id(exchange), None)
        exchange.transport.deliver_reply(self.location, exchange, reply)


class SimBackendTransport:
    """One machine's connections to back ends.

    A call on a new connection also takes the time to connect.  During a network cut, a call on an
    existing connection is lost silently; one that needs a new connection fails as not sent.
    """

    def __init__(self, machine: Machine, network: Network, backends: dict[str, SimBackend]) -> None:
        """Connect ``machine`` to ``backends``."""
        self.machine = machine
        self.location = Location(machine.zone, machine.region)
        self._network = network
        self._backends = backends
        self._loop: asyncio.AbstractEventLoop = network.loop
        self._open: dict[int, Exchange] = {}
        self._idle: dict[str, int] = {}
        self.connections: dict[str, int] = {}
        self.sent = 0

    def start(self, call: BackendCall, listener: ReplyListener) -> None:
        """Send a call on an idle connection, or connect first."""
        exchange = Exchange(self, call, listener)
        self._open[call.call_id] = exchange
        backend = self._backends[call.backend]
        if self._idle.get(call.backend, 0) > 0:
            self._idle[call.backend] -= 1
            self._transmit(exchange, backend)
            return
        call.may_have_been_sent = False
        if self._network.blocked(self.location, backend.location):
            self._reply_after(CONNECT_TIMEOUT_S, exchange, NotSent("connect timed out"))
        elif not backend.up:
            self._reply_after(CONNECT_S, exchange, NotSent("connection refused"))
        else:
            self._call_later(CONNECT_S, self._connected, exchange, backend)

    def _connected(self, exchange: Exchange, backend: SimBackend) -> None:
        """Send on a connection that has just opened, unless the call was cancelled or expired."""
        call = exchange.call
        if exchange.listener is None:
            return
        self.connections[call.backend] = self.connections.get(call.backend, 0) + 1
        permitted = call.may_still_send is None or call.may_still_send()
        if permitted and call.deadline > self._loop.time():
            call.may_have_been_sent = True
            self._transmit(exchange, backend)
            return
        self._idle[call.backend] = self._idle.get(call.backend, 0) + 1
        self._reply_after(0.0, exchange, NotSent("not sent in time"))

    def _transmit(self, exchange: Exchange, backend: SimBackend) -> None:
        """Send the call to the back end."""
        self.sent += 1
        self._network.deliver(self.location, backend.location, None, backend.receive, exchange)

    def cancel(self, call: BackendCall) -> None:
        """Close the call's connection and discard its answer."""
        exchange = self._open.pop(call.call_id, None)
        if exchange is None:
            return
        exchange.listener = None
        if call.may_have_been_sent:
            self._lose_connection(call.backend)
            backend = self._backends[call.backend]
            self._network.deliver(self.location, backend.location, None, backend.cancel, exchange)

    async def close(self) -> None:
        """Close every connection."""
        self.abort()

    def abort(self) -> None:
        """Cancel every call, as the exit of the process does."""
        for exchange in tuple(self._open.values()):
            self.cancel(exchange.call)

    def deliver_reply(self, source: Location, exchange: Exchange, reply: BackendReply) -> None:
        """Deliver a reply from ``source`` to this machine."""
        self._network.deliver(
            source, self.location, self.machine.context, self._on_reply, exchange, reply
        )

    def _reply_after(self, delay_s: float, exchange: Exchange, reply: BackendReply) -> None:
        """Report a result that this machine detects by itself."""
        self._call_later(delay_s, self._on_reply, exchange, reply)

    def _call_later(
        self, delay_s: float, callback: Callable[..., None], *arguments: object
    ) -> None:
        """Schedule a callback on this machine."""
        when = self._loop.time() + delay_s
        self._loop.call_at(when, callback, *arguments, context=self.machine.context)

    def _on_reply(self, exchange: Exchange, reply: BackendReply) -> None:
        """Pass a reply to the node unless the call was cancelled."""
        listener, exchange.listener = exchange.listener, None
        if listener is None:
            return
        self._open.pop(exchange.call.call_id, None)
        backend = exchange.call.backend
        if isinstance(reply, Broken | NotSent):
            self._lose_connection(backend)
        else:
            self._idle[backend] = self._idle.get(backend, 0) + 1
        listener(exchange.call, reply)

    def _lose_connection(self, backend: str) -> None:
        self.connections[backend] = max(0, self.connections.get(backend, 0) - 1)
