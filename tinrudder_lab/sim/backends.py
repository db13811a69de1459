"""Simulated back ends, and a :class:`tinrudder.node.environment.BackendTransport` to them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from tinrudder.node.backends.messages import BackendCall, BackendReply, Broken, NotSent
from tinrudder.node.environment import ReplyListener
from tinrudder_lab.backend_model import BackendModel, ModelCall
from tinrudder_lab.sim.loop import Machine
from tinrudder_lab.sim.network import CONNECT_S, Network, Place

CONNECT_TIMEOUT_S = 1.0


@dataclass(eq=False)
class Exchange:
    """One call on its connection."""

    transport: SimBackendTransport
    call: BackendCall
    listener: ReplyListener | None
    model_call: ModelCall | None = None


@dataclass(eq=False)
class SimBackend:
    """A back end in its place; ``up`` is whether its process runs."""

    model: BackendModel
    place: Place
    up: bool = True
    open: dict[int, Exchange] = field(default_factory=dict)

    def kill(self) -> None:
        """End the process: calls in it break, later ones are refused a connection."""
        self.up = False
        self.model.cancel_all()
        exchanges, self.open = list(self.open.values()), {}
        for exchange in exchanges:
            exchange.transport.reply_later(self.place, exchange, Broken("connection reset"))

    def receive(self, exchange: Exchange) -> None:
        """Take a call that has arrived."""
        if not self.up:
            reply = NotSent("connection refused")
            exchange.transport.reply_later(self.place, exchange, reply)
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
        """Take a cancellation that has arrived."""
        self.open.pop(id(exchange), None)
        if exchange.model_call is not None:
            self.model.cancel(exchange.model_call)

    def _respond(self, exchange: Exchange, reply: BackendReply) -> None:
        self.open.pop(id(exchange), None)
        exchange.transport.reply_later(self.place, exchange, reply)


class SimBackendTransport:
    """One machine's connections to back ends.

    A call on a new connection pays for connecting.  A call into a cut is lost in silence when
    its connection stood before, and fails as not sent when it would have needed a new one.
    """

    def __init__(self, machine: Machine, network: Network, backends: dict[str, SimBackend]) -> None:
        """Reach ``backends`` from ``machine``."""
        self.machine = machine
        self.place = Place(machine.zone, machine.region)
        self._network = network
        self._backends = backends
        self._loop: asyncio.AbstractEventLoop = network.loop
        self._open: dict[int, Exchange] = {}
        self._idle: dict[str, int] = {}
        self.connections: dict[str, int] = {}
        self.sent = 0

    def start(self, call: BackendCall, listener: ReplyListener) -> None:
        """Send a call."""
        exchange = Exchange(self, call, listener)
        self._open[call.call_id] = exchange
        backend = self._backends[call.backend]
        if self._idle.get(call.backend, 0) > 0:
            self._idle[call.backend] -= 1
            self._transmit(exchange, backend)
            return
        call.may_have_been_sent = False
        if self._network.blocked(self.place, backend.place):
            self._reply_at(CONNECT_TIMEOUT_S, exchange, NotSent("connect timed out"))
        elif not backend.up:
            self._reply_at(CONNECT_S, exchange, NotSent("connection refused"))
        else:
            self._call_later(CONNECT_S, self._connected, exchange, backend)

    def _connected(self, exchange: Exchange, backend: SimBackend) -> None:
        """Send over a connection that has just opened, if the call is still wanted."""
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
        self._reply_at(0.0, exchange, NotSent("not sent in time"))

    def _transmit(self, exchange: Exchange, backend: SimBackend) -> None:
        """Let the bytes leave."""
        self.sent += 1
        self._network.deliver(self.place, backend.place, None, backend.receive, exchange)

    def cancel(self, call: BackendCall) -> None:
        """Close the connection the call is on: its answer reaches nobody."""
        exchange = self._open.pop(call.call_id, None)
        if exchange is None:
            return
        exchange.listener = None
        if call.may_have_been_sent:
            self._lose_connection(call.backend)
            backend = self._backends[call.backend]
            self._network.deliver(self.place, backend.place, None, backend.cancel, exchange)

    async def close(self) -> None:
        """Close every connection."""
        self.abort()

    def abort(self) -> None:
        """Close every connection, as the end of the process does."""
        for exchange in tuple(self._open.values()):
            self.cancel(exchange.call)

    def reply_later(self, source: Place, exchange: Exchange, reply: BackendReply) -> None:
        """Bring a reply from ``source`` to this machine."""
        self._network.deliver(
            source, self.place, self.machine.context, self._on_reply, exchange, reply
        )

    def _reply_at(self, delay_s: float, exchange: Exchange, reply: BackendReply) -> None:
        """Report something this machine finds out by itself."""
        self._call_later(delay_s, self._on_reply, exchange, reply)

    def _call_later(
        self, delay_s: float, callback: Callable[..., None], *arguments: object
    ) -> None:
        """Call something on this machine."""
        when = self._loop.time() + delay_s
        self._loop.call_at(when, callback, *arguments, context=self.machine.context)

    def _on_reply(self, exchange: Exchange, reply: BackendReply) -> None:
        """Hand a reply to the node unless the call was cancelled."""
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
