"""One gateway process: its parts, and its life from start to planned stop."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from collections.abc import Callable

from tinrudder.common.address import Address
from tinrudder.common.lifecycle import NodeLifecycle
from tinrudder.common.logs import log_event
from tinrudder.common.transport.peer_client import PeerClient
from tinrudder.gateway.backends.backend_directory import BackendDirectory
from tinrudder.gateway.backends.load_news_exchange import LoadNewsExchange
from tinrudder.gateway.backends.load_reports import LoadReports
from tinrudder.gateway.clients.client_connection import ClientConnection, HttpRequestHandler
from tinrudder.gateway.clients.memory_account import MemoryAccount
from tinrudder.gateway.clients.plain_answers import PlainHandler, readiness_answer, text_answer
from tinrudder.gateway.decisions.admission.memory_bound import account_bytes
from tinrudder.gateway.decisions.fleet.process_pause import LOOK_S, ProcessPause
from tinrudder.gateway.model.configuration import GatewaySettings, HeaderNames
from tinrudder.gateway.observability.gateway_log import (
    log_configuration,
    log_coordination,
    log_pull,
    log_reachability,
)
from tinrudder.gateway.observability.gateway_metrics import GatewayMetrics
from tinrudder.gateway.observability.request_log import FinishedRequest, log_request
from tinrudder.gateway.peers.peer_datagrams import PeerDatagrams
from tinrudder.gateway.peers.peer_exchange import PeerExchange
from tinrudder.gateway.peers.peer_list import PeerList
from tinrudder.gateway.peers.peer_messages import Member, ProbeAnswer
from tinrudder.gateway.peers.poison_watch import PoisonWatch
from tinrudder.gateway.peers.probes import Probes
from tinrudder.gateway.peers.reachability import Reachability
from tinrudder.gateway.peers.zone_monitor import ZoneMonitor
from tinrudder.gateway.quotas.quotas import Quotas
from tinrudder.gateway.requests.authentication import Authentication
from tinrudder.gateway.requests.refusals import Judges
from tinrudder.gateway.requests.request_handler import RequestHandler
from tinrudder.gateway.requests.run_planner import RunPlanner
from tinrudder.gateway.requests.service_admission import ServiceAdmission
from tinrudder.gateway.runs.call_context import CallContext, CallCounters
from tinrudder.gateway.scatters.coordinators import Coordination, Coordinators
from tinrudder.gateway.scatters.delegation_context import DelegationContext
from tinrudder.gateway.scatters.delegation_service import DelegationService
from tinrudder.gateway.scatters.scatter_admission import ScatterAdmissions
from tinrudder.gateway.scatters.scatter_planner import ScatterPlanner
from tinrudder.gateway.store.shared_state import SharedState
from tinrudder.gateway.store.staleness_bound import StalenessBound
from tinrudder.gateway.store.staleness_keeper import StalenessKeeper
from tinrudder.gateway.store.store_follower import StoreFollower
from tinrudder.gateway.store.store_readers import StoreReaders
from tinrudder.gateway.store.stored_values import MetadataStore, Topic, ValueDecoders
from tinrudder.gateway.store.unreadable_values import UnreadableValues

HOUSEKEEPING_S = LOOK_S
LEAVE_S = 2.6
EXIT_MARGIN_S = 0.4
LAST_LOOK_S = 0.05
QUIET_LOOKS = 2
FAREWELL_S = 0.2
LISTEN_BACKLOG = 1024
SEND_BUFFER_BYTES = 128 * 1024
"""What the kernel may hold of answers that a client has not taken, per connection; it takes twice
that for its own.  Left to itself it took 3 to 3.9 MB for one client at 1 KB a second, on loopback,
where no account counts it; 128 KB within 10 ms are 13 MB a second for one client."""
NEWS_S = 2.0
UNACKNOWLEDGED_S = 1.0
STALE_AFTER_S = 6.0
STALE_SPREAD_S = 2.0

StoreFactory = Callable[[Address, Callable[[], None]], MetadataStore]


class Gateway:
    """Serves clients until it is told to stop."""

    def __init__(
        self,
        settings: GatewaySettings,
        names: HeaderNames,
        decoders: ValueDecoders,
        make_store: StoreFactory,
        metrics_address: Address | None = None,
    ) -> None:
        """Wire everything together; nothing runs before :meth:`run`."""
        self.settings = settings
        self.lifecycle = NodeLifecycle()
        loop = asyncio.get_running_loop()
        self._loop = loop
        self._random = random.Random(settings.name)
        self._stop_requested = asyncio.Event()
        self._connections: set[ClientConnection] = set()
        self._servers: list[asyncio.Server] = []
        self._metrics_address = metrics_address
        self._own = settings.peers or settings.clients
        self.peers = PeerList(self._own, self._random, loop.time(), settings.zone)
        self.peers.set_seeds(settings.seeds)
        self.datagrams = PeerDatagrams()
        self.probes = Probes(self.datagrams, self._answer_probe, loop.time)
        self.client = PeerClient(lambda: None, UNACKNOWLEDGED_S)
        bound = account_bytes(settings.memory_mb)
        self.memory = MemoryAccount(bound, loop.time, self._count_peer_bytes)
        self.still = ProcessPause(loop.time())
        self.watch = ZoneMonitor(
            settings.zone, self.peers, self.probes, self._random, self._on_reach_change
        )
        self.unreadable_values = UnreadableValues(loop.time)
        self.state = SharedState(decoders, loop.time, self.unreadable_values.note)
        self.knowledge = StalenessBound(self.state, loop.time)
        self.counters = CallCounters()
        self.coordinators = Coordinators(
            self.peers,
            self.state,
            loop.time,
            self.describe,
            self._replica_zones,
            lambda index: self.call_context.sizes(index),
            self._on_coordination,
            self.watch.is_closed,
        )
        self.state.subscribe(self.coordinators.refresh)
        self.directory = BackendDirectory(
            self.state,
            names,
            loop.time,
            settings.drain_s,
            self._count_connection,
            lambda service: self.coordinators.of_service(service).known_callers,
            str(self._own),
            settings.cold,
            self.watch.is_closed,
            self.memory,
            lambda since: self.still.covers(since, loop.time()),
        )
        self.poison = PoisonWatch(
            self.peers,
            self.datagrams,
            loop.time,
            names,
            random.Random(f"poison {settings.name}"),
            lambda: loop.time() - self.state.unconfirmed_s(Topic.BACKENDS),
        )
        self.load_watch = LoadNewsExchange(self.peers, self.datagrams, loop, lambda: self.directory)
        self.state.subscribe(self.load_watch.refresh)
        self.call_context = CallContext(
            loop=loop,
            names=names,
            zone=settings.zone,
            directory=self.directory,
            bounds=settings.repeats,
            sharers=lambda service: self.coordinators.of_service(service).sharers,
            started_at=loop.time(),
            load_reports=LoadReports(decoders.load_report, loop.time),
            evidence=self.poison,
            counters=self.counters,
            own_name=str(self._own),
            load_listener=self.load_watch,
            random=random.Random(f"forwarding {settings.name}"),
            memory=self.memory,
            zone_answered=self.watch.answered,
            zone_doubted=self.watch.doubt,
        )
        self.reach = Reachability(self.directory, self.watch, loop.time)
        self.quotas = Quotas(
            self._own,
            self.peers,
            self.watch,
            self.datagrams,
            settings.quotas,
            lambda name: self.handler.find_tenant(name),
        )
        self.metrics = GatewayMetrics(self)
        delegation_context = DelegationContext(
            client=self.client,
            coordinators=self.coordinators,
            call_context=self.call_context,
            watch=self.watch,
            configuration_revision=lambda: self.state.configuration_revision,
            traffic=self.datagrams.traffic,
        )
        planner = ScatterPlanner(self.call_context, delegation_context, self._random)
        self.gates = ScatterAdmissions(delegation_context, self._random)
        service_admission = ServiceAdmission(self.call_context)
        self.handler = RequestHandler(
            Judges(
                call_context=self.call_context,
                state=self.state,
                is_fresh=self._knows_news,
                authentication=Authentication(
                    names, lambda: self.keeper.too_old, self._knows_news, self._random
                ),
                quotas=self.quotas,
                reachability=self.reach,
                poison=self.poison,
                service_admission=service_admission,
                random=self._random,
            ),
            RunPlanner(
                self.call_context, service_admission, delegation_context, planner, self.gates
            ),
            self._on_finished,
        )
        self.scatters = DelegationService(
            self.call_context,
            self.state,
            self.gates,
            planner,
            lambda: self.handler.routes,
            self.reach,
            self.poison,
        )
        self.store_calls = 0
        self._followers: list[StoreFollower] = []
        store = make_store(settings.store, self._count_store_call)
        self.readers = StoreReaders(
            self._own,
            self.peers,
            self.state,
            loop.time,
            self.describe,
            started_at=loop.time(),
            stale_after_s=STALE_AFTER_S + self._random.uniform(0.0, STALE_SPREAD_S),
            patience=self._random.uniform(1.0, 2.0),
            seeds=settings.seeds,
        )
        self._followers = [
            StoreFollower(
                topic,
                store,
                self.state,
                log_reachability,
                self.nodes,
                self.readers,
                self._random,
                self._on_complete_read,
            )
            for topic in Topic
        ]
        self.keeper = StalenessKeeper(
            self.knowledge,
            self.state,
            store,
            self.readers,
            self.peers,
            self.probes,
            settings.zone,
            settings.revocation_s,
            lambda: self.handler.asks_for_keys,
            self._catch_up,
            self._random,
        )
        self._exchange: PeerExchange | None = None
        if settings.peers is not None:
            self._exchange = PeerExchange(
                self.describe,
                self.state,
                self.peers,
                delegation_context.client,
                self.datagrams,
                self.knowledge,
                self.watch,
                self.scatters.serve,
                self.readers,
                self._on_pull,
                self._random,
            )
        self._logged_version = 0
        self.state.subscribe(self._on_state_change)

    def nodes(self) -> int:
        """Return how many gateways there seem to be."""
        return self.peers.nodes(self._loop.time())

    def describe(self) -> Member:
        """Return this gateway as others should see it now."""
        return Member(
            address=self._own,
            zone=self.settings.zone,
            capacity=self.settings.capacity,
            leaving=self.lifecycle.is_stopping(),
            starting=not self.state.complete,
            without_store=any(follower.lost for follower in self._followers),
        )

    def _replica_zones(self, service: str) -> tuple[str, ...]:
        """Return the zones of a service's back ends."""
        return self.directory.replica_zones(service)

    def _knows_news(self) -> bool:
        """Tell whether a newer configuration would be known here: by peers, else by the store."""
        if self.keeper.fresh is not None:
            return self.keeper.fresh
        now = self._loop.time()
        if self.peers.has_peers:
            return self.peers.silent_s(now) <= NEWS_S
        return all(follower.reachable for follower in self._followers)

    def _answer_probe(self, number: int) -> ProbeAnswer:
        """Answer a peer that wants to know whether this gateway hears, and what it knows."""
        return ProbeAnswer(number, self.state.operator_revision, self.knowledge.told_age_s)

    def _catch_up(self, peer: Address) -> None:
        """Fetch what a peer knows beyond this gateway."""
        if self._exchange is not None:
            self._exchange.catch_up(peer)

    def _on_complete_read(self, topic: Topic, asked_at: float) -> None:
        """Take what a complete read proves: a start serves keyed requests without another one."""
        if topic is Topic.OPERATOR:
            self.knowledge.prove(asked_at)

    def _on_reach_change(self) -> None:
        """Choose other coordinators; have those of the zone look as well."""
        self.coordinators.reconsider()
        if self._exchange is not None:
            self._exchange.tell_zone()

    def is_ready(self) -> bool:
        """Tell whether clients should come here."""
        return self.lifecycle.is_ready() and not self.reach.is_cut_off

    def request_stop(self) -> None:
        """Begin a planned stop; :meth:`run` returns when it is over."""
        self._stop_requested.set()

    def reload(self, settings: GatewaySettings) -> None:
        """Take over what may change while the process runs: the seeds."""
        self.peers.set_seeds(settings.seeds)
        self.readers.seeds = settings.seeds
        log_event("reloaded", {"seeds": len(settings.seeds)})

    async def run(self) -> None:
        """Serve until a stop is requested, then finish what is in progress.

        :raises OSError: an address of the settings is taken.
        """
        await self._start()
        await self._stop_requested.wait()
        await self._stop()

    async def _start(self) -> None:
        """Listen on every address and begin to learn."""
        settings = self.settings
        ready = PlainHandler(lambda: readiness_answer(self.is_ready()))
        await self._listen(settings.health, ready, set())
        await self._listen(settings.clients, self.handler, self._connections)
        if self._metrics_address is not None:
            figures = PlainHandler(lambda: text_answer(self.metrics.render()))
            await self._listen(self._metrics_address, figures, set())
        if self._exchange is not None:
            await self._exchange.start()
        self._tasks = [self._loop.create_task(follower.run()) for follower in self._followers]
        parts = (self._keep_house(), self.keeper.run(), self.watch.run(), self.poison.run())
        self._tasks.extend(self._loop.create_task(part) for part in parts)
        log_event("started", {"clients": str(settings.clients), "zone": settings.zone})

    async def _listen(
        self, address: Address, handler: HttpRequestHandler, connections: set[ClientConnection]
    ) -> None:
        """Accept connections for a handler."""
        server = await self._loop.create_server(
            lambda: ClientConnection(handler, connections, self.memory),
            address.host,
            address.port,
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )
        for listening in server.sockets:
            # Connections that it accepts have the same.
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self._servers.append(server)

    async def _stop(self) -> None:
        """Say that this gateway leaves, serve what still arrives, finish, and close."""
        stopped_at = self._loop.time()
        self.lifecycle.trigger("leave")
        self.handler.stop()
        self.scatters.closing = True
        if self._exchange is not None:
            self._exchange.send_digests()
        log_event("stopping", {"in_progress": self.handler.in_progress})
        await asyncio.sleep(min(LEAVE_S, self.settings.stop_grace_s / 2))
        self.lifecycle.trigger("drain")
        last_moment = stopped_at + self.settings.stop_grace_s - EXIT_MARGIN_S
        for server in self._servers:
            server.close()
        # A connection that was accepted a moment ago is not known yet, so one look is not enough.
        quiet_looks = 0
        while quiet_looks < QUIET_LOOKS and self._loop.time() < last_moment:
            self._close_idle()
            await asyncio.sleep(LAST_LOOK_S)
            busy = bool(self._connections) or self.scatters.in_progress > 0
            quiet_looks = 0 if busy else quiet_looks + 1
        for task in self._tasks:
            task.cancel()
        if self._exchange is not None:
            # A dead peer takes no last bytes; nothing that matters to it is waiting.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(FAREWELL_S):
                    await self._exchange.stop()
        self.lifecycle.trigger("finish")
        log_event("stopped", {"cut_off": self.handler.in_progress})

    def _close_idle(self) -> None:
        """Close connections on which nothing is in progress."""
        for connection in tuple(self._connections):
            connection.close_if_idle()

    async def _keep_house(self) -> None:
        """Drop what has become useless."""
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            self.still.note(self._loop.time())
            self.memory.look()
            self.state.forget_old_removals()
            self.state.accept_older_starts()
            self.directory.trim()

    def _on_state_change(self) -> None:
        """Become ready as soon as enough is known; log a new configuration."""
        accepted = self.state.accepted
        if accepted is not None and accepted.configuration.version != self._logged_version:
            self._logged_version = accepted.configuration.version
            log_configuration(accepted)
        if self.state.complete and self.lifecycle.is_before_ready():
            self.lifecycle.trigger("serve")
            log_event("ready", {"backends": len(self.directory)})

    def _on_finished(self, request: FinishedRequest) -> None:
        """Count and log one request."""
        self.metrics.observe(request)
        log_request(request)

    def _on_coordination(self, coordination: Coordination) -> None:
        """Log who calls the back ends of an index now."""
        log_coordination(coordination, self.nodes())

    def _on_pull(self, peer: str, result: str) -> None:
        """Log what a peer taught."""
        log_pull(peer, result, self.state.configuration_revision)

    def _count_peer_bytes(self) -> int:
        """Return the bytes of frames that peers have not taken, and of their requests at work."""
        served = self._exchange.held_bytes if self._exchange is not None else 0
        return served + self.client.held_bytes

    def _count_connection(self) -> None:
        """Count a connection opened to a back end."""
        self.counters.connections_opened += 1

    def _count_store_call(self) -> None:
        """Count a call to the store."""
        self.store_calls += 1
