"""One node: wires its parts together and runs their lifecycle.

Owns start, planned leave, drain and stop of a node.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace

from tinrudder.cluster.view import MemberStatus, MemberView, build_view
from tinrudder.common.lifecycle import NodeLifecycle
from tinrudder.common.logs import LogValue, log_event, log_problem
from tinrudder.node.configuration_service.messages import PlatformUnavailableError
from tinrudder.node.decisions.backend_table import BackendTable
from tinrudder.node.decisions.coordinator_ranking import CoordinatorRanking
from tinrudder.node.decisions.coordinator_set import SLOT_HEADROOM
from tinrudder.node.decisions.load.backend_limit import AdaptiveLimit
from tinrudder.node.decisions.load.expected_wait_admission import ExpectedWaitAdmission
from tinrudder.node.decisions.load.fair_queue import StartTimeFairQueue
from tinrudder.node.decisions.load.tenant_usage import TenantUsageTable
from tinrudder.node.decisions.replica_choice import LeastLoadedReplica
from tinrudder.node.decisions.service_routing import RoutingTable
from tinrudder.node.environment import Environment
from tinrudder.node.node_claims import NodeClaims
from tinrudder.node.node_configuration import NodeConfiguration
from tinrudder.node.node_membership import NodeMembership
from tinrudder.node.node_observations import NodeObservations
from tinrudder.node.outcomes import Outcome
from tinrudder.node.query.admission_gate import AdmissionGate
from tinrudder.node.query.coordinator import Coordinator
from tinrudder.node.query.coordinator_prober import CoordinatorProber
from tinrudder.node.query.coordinator_sets import CoordinatorSets
from tinrudder.node.query.dispatcher import Dispatcher
from tinrudder.node.query.entry import Entry
from tinrudder.node.query.operations.at_most_once import OperationRunner
from tinrudder.node.query.plan import Planner
from tinrudder.node.query.relay import RelayClient, RelayServer
from tinrudder.node.query.request import QueryRequest
from tinrudder.node.resources.configuration import Configuration
from tinrudder.node.resources.status import NodeRevision
from tinrudder.node.settings import NodeSettings
from tinrudder.node.wire.channels import Channel, ChannelRouter

DRAIN_POLL_INTERVAL_S = 0.02
"""Seconds between checks for requests in progress while a planned stop drains."""
RESPONSE_FLUSH_S = 0.2
"""Seconds for which a drained node keeps its sockets open, so that refusals and the last outcomes
are written out."""


class Node:
    """All parts of a node except the HTTP listener for callers."""

    def __init__(self, settings: NodeSettings, environment: Environment) -> None:
        """Build the parts; nothing runs before :meth:`start`."""
        self.settings = settings
        self.lifecycle = NodeLifecycle()
        self.backends = BackendTable()
        self.channels = ChannelRouter(environment.peers)
        self.coordinator_sets = CoordinatorSets(settings.name)
        self._sets_as_alive = CoordinatorSets(settings.name)
        self._environment = environment
        self.members = NodeMembership(settings, environment, self.channels, self.on_view_changed)
        self._view = self.members.membership.view()
        self.node_configuration = NodeConfiguration(
            settings, environment, self.channels, self.view, self._update_coordinators
        )
        self.configuration_store = self.node_configuration.store
        self._build_coordinator()
        self._build_relay()
        self._build_operations()
        self._subscribe_to_membership()
        self._tasks: list[asyncio.Task[None]] = []

    def _build_coordinator(self) -> None:
        """Build the queue, limits, admission control and the coordinator that uses them."""
        timers = self._environment.timers
        queue = StartTimeFairQueue(timers.time)
        usage = TenantUsageTable()
        self.dispatcher = Dispatcher(
            timers, self._environment.backends, queue, LeastLoadedReplica(), AdaptiveLimit(), usage
        )
        self.backends.on_update = self._apply_shares
        generator = self._environment.random
        admission = ExpectedWaitAdmission(queue, generator)
        self._gate = AdmissionGate(timers, admission, usage, self.configuration, generator)
        self.routing = RoutingTable(timers.time, generator)
        self._planner = Planner(timers, self.configuration, self.backends, self.routing)
        self.coordinator = Coordinator(timers, self.dispatcher, self._planner, self._gate)

    def _build_relay(self) -> None:
        """Build the relay's client and server and the entry that uses them."""
        timers = self._environment.timers
        channel = self.channels.channel(Channel.RELAY)
        self._ranking = CoordinatorRanking(self.settings.name, self.settings.zone, timers)
        self._ranking.on_failed_changed = self._update_shares
        client = RelayClient(channel, timers, self._environment.wall_clock)
        self.entry = Entry(
            self.settings.name,
            timers,
            self.coordinator,
            client,
            self._ranking,
            CoordinatorProber(client, self._ranking, timers),
            self.coordinator_sets.of,
            self.configuration,
        )
        self.relay_server = RelayServer(
            channel,
            timers,
            self._environment.wall_clock,
            self._run_relayed,
            self._accepts_relays,
        )

    async def _run_relayed(self, request: QueryRequest, forwarded: bool) -> Outcome:
        """Run a relayed query; a leaving node runs it locally instead of relaying it again."""
        return await self.entry.run_relayed(request, forwarded or self.lifecycle.is_stopping())

    def _accepts_relays(self) -> bool:
        """Return whether relayed queries are served.

        Peers see a node as soon as it joins, shortly before it is ready for callers, so relays are
        served from then on.
        """
        has_configuration = self.configuration().revision > 0
        return has_configuration and (
            self.lifecycle.is_before_ready() or self.lifecycle.accepts_work()
        )

    def _subscribe_to_membership(self) -> None:
        """Connect membership events to the configuration exchange and back-end observations."""
        membership = self.members.membership
        timers = self._environment.timers
        self.dispatcher.drain_listener = NodeObservations(
            timers, self._environment.random, self.backends, membership
        )
        membership.on_newer_revision(
            lambda member, revision: self.node_configuration.exchange.on_newer_revision(
                member.address, revision
            )
        )
        self.configuration_store.subscribe(
            lambda state: membership.set_enforced_revision(state.version.revision)
        )
        membership.pause_detector.subscribe(lambda _: self.node_configuration.refresh_soon())

    def node_revisions(self) -> tuple[NodeRevision, ...]:
        """Return the last known enforced revision of every member that is not dead."""
        return self.members.node_revisions()

    def _build_operations(self) -> None:
        """Build the claims service and the runner of at-most-once operations."""
        self.claims = NodeClaims(self.settings, self._environment, self.channels)
        self.operations = OperationRunner(
            self._environment.timers,
            self._environment.wall_clock,
            self.claims.service,
            self.claims.outcomes,
            self.dispatcher,
            self._planner,
            self._gate,
            self.configuration,
            self.lifecycle.accepts_work,
        )

    def configuration(self) -> Configuration:
        """Return the configuration in force."""
        return self.configuration_store.current

    def view(self) -> MemberView:
        """Return this node's view of the members."""
        return self._view

    @property
    def in_progress(self) -> int:
        """Return the number of unfinished requests on this node, including relayed queries."""
        queries = max(self.coordinator.in_progress, self.relay_server.in_progress)
        return queries + self.operations.in_progress

    async def start(self) -> None:
        """Fetch members and configuration from the platform and peers, then poll the platform."""
        self.claims.service.start()
        await self._poll_members()
        await self.members.start()
        await self.node_configuration.start()
        self._tasks.append(asyncio.create_task(self._poll_platform()))
        self.lifecycle.serve()  # type: ignore[attr-defined]
        log_event("serving", {"revision": self.configuration().revision})

    async def leave(self) -> None:
        """Announce the stop and keep serving for the grace period so that peers can notice."""
        self.lifecycle.leave()  # type: ignore[attr-defined]
        self.members.leave()
        log_event("leaving", {"in_progress": self.in_progress})
        await asyncio.sleep(self.settings.stop_grace_s)

    async def stop(self) -> None:
        """Refuse new work, wait for requests in progress, then stop every part."""
        self.lifecycle.drain()  # type: ignore[attr-defined]
        log_event("draining", {"in_progress": self.in_progress})
        deadline = self._environment.timers.time() + self.settings.stop_timeout_s
        while self.in_progress and self._environment.timers.time() < deadline:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        await asyncio.sleep(RESPONSE_FLUSH_S)
        self.node_configuration.stop()
        for task in self._tasks:
            task.cancel()
        self.claims.service.stop()
        self.members.stop()
        await self._environment.backends.close()
        await self._environment.peers.close()
        self.lifecycle.finish()  # type: ignore[attr-defined]
        counters = self.entry.counters
        fields: dict[str, LogValue] = {
            "in_progress": self.in_progress,
            "local": counters.local,
            "relayed": counters.relayed,
            "lost": counters.lost,
            "fallback": counters.fallback,
        }
        log_event("stopped", fields)

    def on_view_changed(self, view: MemberView) -> None:
        """Apply a new view of the members to the coordinator sets and slot shares."""
        is_stopping = self.lifecycle.is_stopping()
        self._view = self._with_own_status(view, MemberStatus.LEAVING) if is_stopping else view
        self._ranking.retain_members(self._view.by_name)
        self._update_coordinators()

    def _with_own_status(self, view: MemberView, status: MemberStatus) -> MemberView:
        """Return the view with ``status`` as the status of this node."""
        members = tuple(
            replace(member, status=status) if member.name == self.settings.name else member
            for member in view.members
        )
        return build_view(members, view.list_revision)

    def _apply_shares(self) -> None:
        """Apply new back-end shares to the dispatcher's limits and waiting calls."""
        for backend in self.backends.all_records():
            self.dispatcher.apply_share_change(backend)

    def _update_coordinators(self) -> None:
        """Recompute coordinator sets and limits from the current members and configuration."""
        configuration = self.configuration()
        self.coordinator_sets.update(self._view, configuration)
        view_as_alive = self._with_own_status(self._view, MemberStatus.ALIVE)
        self._sets_as_alive.update(view_as_alive, configuration)
        self._update_shares()

    def _update_shares(self) -> None:
        """Recompute limits from the coordinators that this node can reach.

        A leaving node keeps its shares for requests in progress and those that still arrive.
        """
        backends = self.configuration().backends
        for sets in (self.coordinator_sets, self._sets_as_alive):
            sets.set_unreachable(self._ranking.failed_names())
        sets_in_use = self._sets_as_alive if self.lifecycle.is_stopping() else self.coordinator_sets
        self.backends.update(backends, sets_in_use.share, SLOT_HEADROOM)
        self.backends.share_connections(backends, sets_in_use.connections)

    async def _poll_platform(self) -> None:
        """Poll the platform until the node stops."""
        while True:
            await asyncio.sleep(self.node_configuration.poll_delay_s())
            await self._poll_members()
            await self.node_configuration.poll()

    async def _poll_members(self) -> None:
        """Fetch the list of machines; keep the current one while the platform is unavailable."""
        try:
            members = await self._environment.platform.fetch_members()
        except PlatformUnavailableError as error:
            log_problem("platform unavailable", {"error": str(error)})
            return
        self.members.offer_list(members)
        self.claims.offer_list(members)
