"""Adds datagrams to the simulator's event loop, and closes connections of crashed machines."""

from __future__ import annotations

import asyncio
import selectors
import warnings
from collections.abc import Callable, ValuesView
from typing import Any

from async_solipsism import SolipsismWarning
from async_solipsism.socket import Queue

from tinrudder_lab.sim.loop import MACHINE, Machine, MachineLoop

DATAGRAM_DELAY_S = 0.001

AddressPair = tuple[str, int]

# In-memory sockets have no options, and warn when the gateway sets one.
warnings.filterwarnings("ignore", category=SolipsismWarning)


class EmulatedDatagrams(asyncio.DatagramTransport):
    """An in-memory datagram socket."""

    def __init__(self, loop: EmulatorLoop, address: AddressPair, machine: Machine | None) -> None:
        """Bind to ``address``."""
        super().__init__()
        self.machine = machine
        self._loop = loop
        self._address = address

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Send one datagram."""
        self._loop.deliver_datagram(self._address, addr, bytes(data))

    def close(self) -> None:
        """Release the address."""
        self._loop.datagram_receivers.pop(self._address, None)


class DiscardingQueue(Queue):  # type: ignore[misc]
    """One direction of a silenced connection: accepts all bytes, delivers none."""

    def write(self, data: Any) -> int:
        """Discard the bytes."""
        return len(data)


class DirectMapping(selectors._SelectorMapping):  # type: ignore[misc,name-defined]
    """The selector's keys without a look-up for each; one select would make thousands of them."""

    def values(self) -> ValuesView[selectors.SelectorKey]:
        """Return the keys of all sockets."""
        keys: ValuesView[selectors.SelectorKey] = self._selector._fd_to_key.values()
        return keys


class EmulatorLoop(MachineLoop):
    """An event loop with virtual time, streams and datagrams.

    :ivar drops_datagram: returns for a source and a destination whether to drop the datagram.
    """

    counts_suspensions = True

    def __init__(self) -> None:
        """Start without any socket."""
        super().__init__()
        self._selector._map = DirectMapping(self._selector)
        self.datagram_receivers: dict[
            AddressPair, tuple[EmulatedDatagrams, asyncio.DatagramProtocol]
        ] = {}
        self.drops_datagram: Callable[[AddressPair, AddressPair], bool] = lambda *_: False
        self._machine_transports: list[tuple[Machine | None, Any]] = []
        self._machine_servers: list[tuple[Machine | None, asyncio.Server]] = []

    async def create_datagram_endpoint(
        self,
        protocol_factory: Callable[[], asyncio.DatagramProtocol],
        local_addr: AddressPair,
        **options: Any,
    ) -> tuple[EmulatedDatagrams, asyncio.DatagramProtocol]:
        """Open a datagram socket."""
        protocol = protocol_factory()
        transport = EmulatedDatagrams(self, local_addr, MACHINE.get())
        self.datagram_receivers[local_addr] = (transport, protocol)
        protocol.connection_made(transport)
        return transport, protocol

    def deliver_datagram(self, source: AddressPair, target: AddressPair, data: bytes) -> None:
        """Deliver a datagram after a delay, unless it is lost or the target has no socket."""
        receiver = self.datagram_receivers.get(target)
        if receiver is None or self.drops_datagram(source, target):
            return
        transport, protocol = receiver
        context = transport.machine.context if transport.machine is not None else None
        if context is not None:
            self.deliver(DATAGRAM_DELAY_S, context, protocol.datagram_received, data, source)

    async def create_server(self, *arguments: Any, **options: Any) -> asyncio.Server:
        """Listen, and record which machine the server belongs to."""
        server: asyncio.Server = await super().create_server(*arguments, **options)
        self._machine_servers.append((MACHINE.get(), server))
        return server

    def _make_socket_transport(self, *arguments: Any, **options: Any) -> Any:
        """Create a transport and record which machine it belongs to."""
        transport = super()._make_socket_transport(*arguments, **options)
        self._machine_transports.append((MACHINE.get(), transport))
        return transport

    def silence_connections(self, is_selected: Callable[[AddressPair, AddressPair], bool]) -> None:
        """Drop all further bytes of open connections, without a reset; new connections work.

        :param is_selected: returns for a connection's two addresses whether to silence it.
        """
        for _, transport in self._machine_transports:
            tcp_socket = transport._sock
            if tcp_socket is None:
                continue
            ends = (tcp_socket.getsockname()[:2], tcp_socket.getpeername()[:2])
            if is_selected(*ends):
                tcp_socket._read_queue, tcp_socket._write_queue = Queue(), DiscardingQueue()

    def end_machine(self, machine: Machine) -> None:
        """Kill a machine's process: its tasks stop, its connections and sockets close."""
        machine.crash()
        for owner, server in tuple(self._machine_servers):
            if owner is machine:
                server.close()
                self._machine_servers.remove((owner, server))
        for owner, transport in tuple(self._machine_transports):
            if owner is machine:
                self._machine_transports.remove((owner, transport))
                self._close_socket(transport)
        for address, (datagrams, _) in tuple(self.datagram_receivers.items()):
            if datagrams.machine is machine:
                del self.datagram_receivers[address]

    def _close_socket(self, transport: Any) -> None:
        """Close a connection without calling the dead machine's protocol."""
        tcp_socket = transport._sock
        if tcp_socket is None:
            return
        self._remove_reader(tcp_socket.fileno())
        self._remove_writer(tcp_socket.fileno())
        tcp_socket.close()
        # Garbage collection would close it again, which is an error for in-memory sockets.
        transport._sock = None
