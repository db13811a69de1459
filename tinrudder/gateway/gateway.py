"""The lifecycle of one gateway process, from its start to a graceful shutdown.

Owns the listening sockets, the client connections and the background tasks;
:mod:`tinrudder.gateway.wiring` builds the components.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
from collections.abc import Callable, Coroutine
from functools import cached_property, partial
from typing import TYPE_CHECKING, Any

from tinrudder.common.address import Address
from tinrudder.common.listening import Listener, Listeners
from tinrudder.common.logs import LogValue, log_event
from tinrudder.common.supervisor import Supervisor
from tinrudder.gateway.build_context import BuildContext, StoreFactory
from tinrudder.gateway.clients.client_connection import ClientConnection, HttpRequestHandler
from tinrudder.gateway.clients.connection_limit import ConnectionLimit
from tinrudder.gateway.clients.plain_answers import (
    FixedAnswerHandler,
    readiness_answer,
    text_answer,
)
from tinrudder.gateway.decisions.admission.connection_bound import max_client_connections
from tinrudder.gateway.decisions.fleet.process_pause import RECORD_INTERVAL_S
from tinrudder.gateway.model.configuration import GatewaySettings, HeaderNames
from tinrudder.gateway.model.outcomes import FinalAnswer
from tinrudder.gateway.observability.gateway_log import log_configuration
from tinrudder.gateway.requests.process_end import RETRY_AFTER_S
from tinrudder.gateway.store.stored_values import Topic, ValueDecoders
from tinrudder.gateway.wiring import build_gateway

if TYPE_CHECKING:
    from tinrudder.gateway.observability.gateway_metrics import GatewayMetrics
    from tinrudder.gateway.observability.metric_definitions import MetricSources

HOUSEKEEPING_INTERVAL_S = RECORD_INTERVAL_S
"""Seconds between two rounds of housekeeping: the interval that pause detection requires."""
LEAVING_PERIOD_S = 2.6
"""Seconds for which a stopping gateway still accepts requests, at most half of the grace period.
Load balancers that poll readiness once a second remove it after two failed polls, and requests sent
before that are still in transit."""
EXIT_MARGIN_S = 0.35
"""Seconds of the grace period reserved for closing peer connections and exiting the process, after
the last answers: at least :data:`PEER_CLOSE_TIMEOUT_S` and two polls for idle connections."""
IDLE_POLL_INTERVAL_S = 0.05
"""Seconds between two polls for idle connections during the shutdown."""
IDLE_POLLS_REQUIRED = 2
"""Consecutive polls that must find no connection: a connection that the kernel has just accepted is
not yet visible to the first poll."""
PEER_CLOSE_TIMEOUT_S = 0.2
"""Timeout in seconds for closing peer connections: many round trips of a few milliseconds.  A dead
peer never reads the last bytes, and none of them matter to it."""
LISTEN_BACKLOG = 1024
"""Connections that the kernel may queue for ``accept``: it must not drop the attempts that clients
make while the process is paused for a second."""
LISTENING = "listen"
METRICS_LISTENING = "listen for metrics"
"""Names of the tasks that retry to listen."""
SEND_BUFFER_BYTES = 128 * 1024
"""Send buffer of each client connection in bytes, which the kernel doubles for its bookkeeping.
With its default size, the kernel held 3 to 3.9 MB for one client that read 1 KB a second over
loopback, and the memory account does not cover kernel buffers.  128 KB every 10 ms still allow one
client 13 MB a second."""


class Gateway:
    """Serves clients until a stop is requested."""

    def __init__(
        self,
        settings: GatewaySettings,
        names: HeaderNames,
        decoders: ValueDecoders,
        make_store: StoreFactory,
        metrics_address: Address | None = None,
        dropped_log_lines: Callable[[], int] = lambda: 0,
        max_descriptors: float = math.inf,
    ) -> None:
        """Build all components; nothing runs before :meth:`run`.

        :param make_store: returns a client of the store at an address; the client invokes the given
            callback for each call to the store.
        :param metrics_address: address that serves metrics; ``None`` disables them.
        :param dropped_log_lines: returns how many log lines were dropped.
        :param max_descriptors: descriptors that the process may have open.
        """
        parts = build_gateway(BuildContext.of(settings, names, decoders, make_store))
        self.settings = settings
        self.process = parts.process
        self.knowledge = parts.knowledge
        self.fleet = parts.fleet
        self.backends = parts.backends
        self.requests = parts.requests
        self.store = parts.store
        self._peer_exchange = parts.peer_exchange
        self._loop = asyncio.get_running_loop()
        self._metrics_address = metrics_address
        self._dropped_log_lines = dropped_log_lines
        self.supervisor = Supervisor()
        self._stop_requested = asyncio.Event()
        self._connections: set[ClientConnection] = set()
        self.client_limit = ConnectionLimit(max_client_connections(max_descriptors))
        self._servers: list[asyncio.Server] = []
        self._logged_version = 0
        self.listeners = Listeners(self._required_listeners(), self._become_ready)
        self._metrics_listeners = Listeners(self._optional_listeners(), lambda: None)
        self.knowledge.state.subscribe(self._on_state_change)

    def nodes(self) -> int:
        """Return the estimated number of gateways, including this one."""
        return self.fleet.peers.nodes(self._loop.time())

    def most_nodes(self) -> int:
        """Return an upper bound of the number of gateways, including this one."""
        return self.fleet.peers.most_nodes(self._loop.time())

    def is_ready(self) -> bool:
        """Return whether this gateway should receive client requests."""
        return self.process.lifecycle.is_ready() and not self.requests.reachability.is_partitioned

    def request_stop(self) -> None:
        """Begin a graceful shutdown; :meth:`run` returns when it is complete."""
        self._stop_requested.set()

    def reload(self, settings: GatewaySettings) -> None:
        """Apply the only setting that can change at run time: the seeds."""
        self.fleet.peers.set_seeds(settings.seeds)
        self.store.readers.seeds = settings.seeds
        log_event("reloaded", {"seeds": len(settings.seeds)})

    async def run(self) -> None:
        """Serve until a stop is requested, then finish the requests in progress."""
        await self._start()
        await self._stop_requested.wait()
        await self._stop()

    async def _start(self) -> None:
        """Listen on every available address and start the background tasks."""
        for listeners in (self.listeners, self._metrics_listeners):
            await listeners.open_available()
        tasks: dict[str, Callable[[], Coroutine[Any, Any, None]]] = {}
        if self._peer_exchange is not None:
            tasks["digests"] = self._peer_exchange.run
        tasks |= {
            **{f"follow {one.topic.value}": one.run for one in self.store.followers},
            "housekeeping": self._run_housekeeping,
            "staleness": self.store.staleness_keeper.run,
            "zones": self.fleet.zone_monitor.run,
            "poison": self.backends.poison_watch.run,
            LISTENING: self.listeners.open_remaining,
            METRICS_LISTENING: self._metrics_listeners.open_remaining,
        }
        for name, run in tasks.items():
            self.supervisor.start(name, run)
        fields = {"clients": str(self.settings.clients), "zone": self.settings.zone}
        log_event("started", fields)

    def _required_listeners(self) -> list[Listener]:
        """Return the listeners without which this gateway is not ready.

        Readiness is last: whoever asks for it gets an answer only once clients are served.
        """
        settings = self.settings
        ready = FixedAnswerHandler(lambda: readiness_answer(self.is_ready()))
        listeners = [
            Listener("clients", settings.clients, self._listen_for_clients),
            self._listener("health", settings.health, ready),
        ]
        if self._peer_exchange is not None and settings.peers is not None:
            listeners.insert(0, Listener("peers", settings.peers, self._peer_exchange.start))
        return listeners

    def _optional_listeners(self) -> list[Listener]:
        """Return the listener for scrapes, if there is to be one."""
        if self._metrics_address is None:
            return []
        handler = FixedAnswerHandler(self._metrics_answer)
        return [self._listener("metrics", self._metrics_address, handler)]

    def _listener(self, name: str, address: Address, handler: HttpRequestHandler) -> Listener:
        """Return a listener for others than clients, whose requests go to ``handler``."""
        memory = self.process.memory
        return Listener(
            name,
            address,
            partial(self._listen, address, lambda: ClientConnection(handler, set(), memory)),
        )

    async def _listen_for_clients(self) -> None:
        """Accept connections of clients.

        :raises OSError: the address is unavailable.
        """
        handler, memory = self.requests.handler, self.process.memory
        await self._listen(
            self.settings.clients,
            lambda: ClientConnection(handler, self._connections, memory, self.client_limit),
        )

    async def _listen(
        self, address: Address, make_connection: Callable[[], ClientConnection]
    ) -> None:
        """Accept connections.

        :raises OSError: the address is unavailable.
        """
        server = await self._loop.create_server(
            make_connection,
            address.host,
            address.port,
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )
        for listening in server.sockets:
            # Accepted connections inherit this option.
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self._servers.append(server)

    async def _stop(self) -> None:
        """Announce the shutdown, serve late requests, drain, and close."""
        stopped_at = self._loop.time()
        grace_s = self.settings.stop_grace_s
        ends_at = stopped_at + grace_s - EXIT_MARGIN_S
        lifecycle = self.process.lifecycle
        handler = self.requests.handler
        self.supervisor.stop(LISTENING, METRICS_LISTENING)
        lifecycle.trigger("leave")
        self.requests.process_end.announce(ends_at)
        self.requests.quotas.leave()
        if self._peer_exchange is not None:
            self._peer_exchange.send_digests()
        log_event("stopping", {"in_progress": handler.in_progress})
        await self._serve_while_leaving(min(LEAVING_PERIOD_S, grace_s / 2))
        lifecycle.trigger("drain")
        for server in self._servers:
            server.close()
        await self._finish_requests(ends_at)
        cut_off = await self._end_remaining()
        self.supervisor.stop()
        await self._leave_peers()
        lifecycle.trigger("finish")
        log_event("stopped", cut_off)

    async def _serve_while_leaving(self, seconds: float) -> None:
        """Serve what still comes, for some time."""
        for _ in range(round(seconds / IDLE_POLL_INTERVAL_S)):
            self.requests.stop_backlog.refuse_unservable()
            await asyncio.sleep(IDLE_POLL_INTERVAL_S)

    async def _finish_requests(self, deadline: float) -> None:
        """Wait until no connection is left, or until a deadline in event loop time."""
        # A connection that has just been accepted is not visible yet, so one poll is not enough.
        idle_polls = 0
        while idle_polls < IDLE_POLLS_REQUIRED and self._loop.time() < deadline:
            self.requests.stop_backlog.refuse_unservable()
            self._close_idle()
            await asyncio.sleep(IDLE_POLL_INTERVAL_S)
            busy = bool(self._connections) or self.requests.delegation_service.in_progress > 0
            idle_polls = 0 if busy else idle_polls + 1

    async def _end_remaining(self) -> dict[str, LogValue]:
        """Answer what is left at the end of the grace period; return what was cut off, to log."""
        if not self._connections:
            return {"cut_off": 0}
        late = sum(one.has_complete_request for one in self._connections)
        self.requests.process_end.end_remaining()
        for connection in tuple(self._connections):
            connection.end_with_process(RETRY_AFTER_S)
        # Pipelined requests are refused one after the other, in further rounds of the loop.
        await asyncio.sleep(IDLE_POLL_INTERVAL_S)
        remaining = [one for one in self._connections if one.has_complete_request]
        unread_bytes = sum(one.unread_bytes for one in self._connections)
        return {"cut_off": len(remaining), "ended_late": late, "unread_bytes": unread_bytes}

    async def _leave_peers(self) -> None:
        """Close the connections to other gateways."""
        if self._peer_exchange is None:
            return
        # A dead peer never reads the last bytes, and none of them matter to it.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(PEER_CLOSE_TIMEOUT_S):
                await self._peer_exchange.stop()

    def _close_idle(self) -> None:
        """Close client connections without a request in progress."""
        for connection in tuple(self._connections):
            connection.close_if_idle()

    async def _run_housekeeping(self) -> None:
        """Run periodic maintenance: pause detection, memory account, store state, back ends."""
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            self.process.pause.note(self._loop.time())
            self.process.memory.refresh_peers()
            self.knowledge.state.settle()
            self.backends.directory.trim()

    def _on_state_change(self) -> None:
        """Log a new configuration, and become ready if nothing else is missing."""
        state = self.knowledge.state
        accepted = state.accepted
        if accepted is not None and accepted.configuration.version != self._logged_version:
            self._logged_version = accepted.configuration.version
            log_configuration(accepted, state.unconfirmed_s(Topic.OPERATOR))
        self._become_ready()

    def _become_ready(self) -> None:
        """Become ready, once the state is complete and every required listener is open."""
        lifecycle = self.process.lifecycle
        if not self.knowledge.state.complete or not self.listeners.is_complete:
            return
        if lifecycle.is_before_ready():
            lifecycle.trigger("serve")
            log_event("ready", {"backends": len(self.backends.directory)})

    @cached_property
    def metrics(self) -> GatewayMetrics:
        """Return the metrics; their module is imported on first use."""
        from tinrudder.gateway.observability.gateway_metrics import GatewayMetrics

        return GatewayMetrics(self._metric_sources())

    def _metrics_answer(self) -> FinalAnswer:
        """Return the metrics as text; the library that renders them is imported here.

        It takes a fifth of a process's start-up time to load, which every restart would pay.
        """
        from tinrudder.gateway.observability.metrics_text import metrics_text

        return text_answer(metrics_text(self.metrics))

    def _metric_sources(self) -> MetricSources:
        """Return the components that metrics are read from."""
        from tinrudder.gateway.observability.metric_definitions import MetricSources

        return MetricSources(
            nodes=self.nodes,
            most_nodes=self.most_nodes,
            is_ready=self.is_ready,
            counters=self.process.counters,
            memory=self.process.memory,
            state=self.knowledge.state,
            staleness_bound=self.knowledge.staleness_bound,
            store_status=self.knowledge.store_status,
            unreadable_values=self.knowledge.unreadable_values,
            datagrams=self.fleet.datagrams,
            zone_monitor=self.fleet.zone_monitor,
            directory=self.backends.directory,
            load_reports=self.backends.call_context.load_reports,
            load_report_exchange=self.backends.load_report_exchange,
            poison_watch=self.backends.poison_watch,
            requests=self.requests.request_metrics,
            handler=self.requests.handler,
            quotas=self.requests.quotas,
            scatter_admissions=self.requests.scatter_admissions,
            staleness_keeper=self.store.staleness_keeper,
            dropped_log_lines=self._dropped_log_lines,
            task_failures=lambda: self.supervisor.failures,
            client_limit=self.client_limit,
            listen_failures=lambda: self.listeners.failures + self._metrics_listeners.failures,
        )
