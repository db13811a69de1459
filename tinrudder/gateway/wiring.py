"""Builds the components of a gateway, one group at a time, dependencies first.

Owns no state: each function builds one group from the groups before it.  The order matters:
listeners of the shared state are called in the order of their subscription, so coordinators and
back ends process a change before requests do, and peers are notified after all local components.
Where two components need each other, the later one subscribes or connects to the earlier one.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial

from tinrudder.common.lifecycle import NodeLifecycle
from tinrudder.common.transport.peer_client import PeerClient
from tinrudder.gateway.backends.backend_directory import (
    BackendDirectory,
    ConnectionHooks,
    DirectorySettings,
)
from tinrudder.gateway.backends.load_report_exchange import LoadReportExchange
from tinrudder.gateway.backends.load_reports import LoadReports
from tinrudder.gateway.build_context import BuildContext
from tinrudder.gateway.clients.held_bytes import HeldBytes
from tinrudder.gateway.clients.memory_account import MemoryAccount
from tinrudder.gateway.decisions.admission.memory_bound import account_bytes, largest_answer_bytes
from tinrudder.gateway.decisions.fleet.process_pause import ProcessPause
from tinrudder.gateway.observability.gateway_log import (
    log_coordination,
    log_missed_change,
    log_pull,
    log_settled_values,
    log_store_reachability,
    log_store_reading,
    log_store_restored,
)
from tinrudder.gateway.parts import (
    BackendParts,
    FleetParts,
    GatewayParts,
    KnowledgeParts,
    ProcessParts,
    RequestParts,
    StoreParts,
)
from tinrudder.gateway.peers.own_member import OwnMember
from tinrudder.gateway.peers.peer_buffer_bytes import PeerBufferBytes
from tinrudder.gateway.peers.peer_datagrams import PeerDatagrams
from tinrudder.gateway.peers.peer_exchange import PeerExchange
from tinrudder.gateway.peers.peer_list import PeerList
from tinrudder.gateway.peers.peer_messages import ProbeAnswer
from tinrudder.gateway.peers.peer_service import PeerService
from tinrudder.gateway.peers.poison_watch import PoisonWatch
from tinrudder.gateway.peers.probes import Probes
from tinrudder.gateway.peers.snapshot_pulls import SnapshotPulls
from tinrudder.gateway.peers.zone_monitor import ZoneMonitor
from tinrudder.gateway.request_wiring import build_requests
from tinrudder.gateway.runs.call_context import CallContext, CallCounters
from tinrudder.gateway.scatters.coordination import Coordination
from tinrudder.gateway.scatters.coordinators import Coordinators
from tinrudder.gateway.store.epoch_change import HistoryListener
from tinrudder.gateway.store.shared_state import SharedState
from tinrudder.gateway.store.staleness_bound import StalenessBound
from tinrudder.gateway.store.staleness_keeper import StalenessKeeper
from tinrudder.gateway.store.store_follower import FollowerDependencies, StoreFollower
from tinrudder.gateway.store.store_readers import ReadReason, StoreReaders
from tinrudder.gateway.store.store_status import StoreStatus
from tinrudder.gateway.store.stored_values import MetadataStore, Topic
from tinrudder.gateway.store.unreadable_values import UnreadableValues

UNACKNOWLEDGED_TIMEOUT_S = 1.0
"""Seconds that bytes sent to a peer may stay unacknowledged before the connection is closed: long
compared with round trips of a few milliseconds between zones, and short compared with the time that
a client waits for a scatter run by another gateway."""
STALE_AFTER_S = 4.0
"""Seconds without a confirmation by the store, direct or through peers, after which a gateway that
is not a reader reads the store itself.  Some reader gets a confirmation at least every 2.4 s, which
reaches the other gateways within another second."""
STALE_JITTER_S = 1.0
"""Maximum jitter in seconds added to :data:`STALE_AFTER_S`, so that gateways do not all read the
store at once when its readers are gone."""
MIN_STARTUP_WAIT_FACTOR = 1.0
"""Smallest factor on the time that a starting gateway waits for peers before it reads the store."""
MAX_STARTUP_WAIT_FACTOR = 2.0
"""Largest factor on that wait: spreads gateways that start together over a period as long as the
shortest wait, so that one of them reads the store first and sends its state to the others."""


def build_gateway(context: BuildContext) -> GatewayParts:
    """Return the components of a gateway; none of them runs yet."""
    process = _build_process(context)
    knowledge = _build_knowledge(context, process)
    fleet = _build_fleet(context, process, knowledge)
    backends = _build_backends(context, process, knowledge, fleet)
    requests = build_requests(context, process, knowledge, fleet, backends)
    store = _build_store(context, process, knowledge, fleet, requests)
    exchange = _build_exchange(context, process, knowledge, fleet, requests, store)
    return GatewayParts(process, knowledge, fleet, backends, requests, store, exchange)


def _build_process(context: BuildContext) -> ProcessParts:
    clock = context.loop.time
    peer_buffer_bytes = PeerBufferBytes()
    bound = account_bytes(context.settings.memory_mb)
    # Apart from the back ends' answers, which must not keep the gateway from following the store.
    store_bytes = HeldBytes(partial(largest_answer_bytes, bound))

    def count_others() -> int:
        return peer_buffer_bytes.total() + store_bytes.backends

    return ProcessParts(
        lifecycle=NodeLifecycle(),
        pause=ProcessPause(clock()),
        peer_buffer_bytes=peer_buffer_bytes,
        store_bytes=store_bytes,
        memory=MemoryAccount(bound, clock, count_others),
        counters=CallCounters(),
    )


def _build_knowledge(context: BuildContext, process: ProcessParts) -> KnowledgeParts:
    clock = context.loop.time
    settings = context.settings
    unreadable_values = UnreadableValues(clock)
    listener = HistoryListener(log_store_restored, log_settled_values)
    state = SharedState(context.decoders, clock, unreadable_values.note, listener)
    status = StoreStatus(log_store_reachability)
    return KnowledgeParts(
        unreadable_values,
        state,
        StalenessBound(state, clock),
        status,
        OwnMember(context.own, settings.zone, settings.capacity, process.lifecycle, state, status),
    )


def _build_fleet(
    context: BuildContext, process: ProcessParts, knowledge: KnowledgeParts
) -> FleetParts:
    clock = context.loop.time
    settings = context.settings
    peers = PeerList(context.own, context.random, clock(), settings.zone)
    peers.set_seeds(settings.seeds)
    datagrams = PeerDatagrams()

    def answer_probe(number: int) -> ProbeAnswer:
        age_s = knowledge.staleness_bound.proven_age_s
        return ProbeAnswer(number, knowledge.state.revision(Topic.OPERATOR), age_s)

    probes = Probes(datagrams, answer_probe, clock)
    client = PeerClient(lambda: None, UNACKNOWLEDGED_TIMEOUT_S)
    process.peer_buffer_bytes.add(client)
    zone_monitor = ZoneMonitor(settings.zone, peers, probes, context.random)
    return FleetParts(peers, datagrams, probes, client, zone_monitor)


def _build_backends(
    context: BuildContext, process: ProcessParts, knowledge: KnowledgeParts, fleet: FleetParts
) -> BackendParts:
    state = knowledge.state
    coordinators = _build_coordinators(context, knowledge, fleet)
    state.subscribe(coordinators.refresh)
    fleet.zone_monitor.subscribe(coordinators.discard_decisions)
    directory = _build_directory(context, process, state, fleet, coordinators)
    poison_watch = _build_poison_watch(context, state, fleet)
    load_report_exchange = LoadReportExchange(
        fleet.peers, fleet.datagrams, context.loop, lambda: directory
    )
    state.subscribe(load_report_exchange.refresh)
    call_context = CallContext(
        loop=context.loop,
        names=context.names,
        zone=context.settings.zone,
        directory=directory,
        bounds=context.settings.repeats,
        budget_parts=lambda service: coordinators.of_service(service).budget_parts,
        started_at=context.loop.time(),
        load_reports=LoadReports(context.decoders.load_report, context.loop.time),
        evidence=poison_watch,
        counters=process.counters,
        own_name=str(context.own),
        load_listener=load_report_exchange,
        random=random.Random(f"forwarding {context.settings.name}"),
        memory=process.memory,
        zone_answered=fleet.zone_monitor.answered,
        zone_unanswered=fleet.zone_monitor.note_unanswered,
    )
    coordinators.connect(directory.replica_zones, call_context.sizes)
    return BackendParts(coordinators, directory, poison_watch, load_report_exchange, call_context)


def _build_coordinators(
    context: BuildContext, knowledge: KnowledgeParts, fleet: FleetParts
) -> Coordinators:
    def log_change(coordination: Coordination) -> None:
        log_coordination(coordination, fleet.peers.nodes(context.loop.time()))

    return Coordinators(
        fleet.peers,
        knowledge.state,
        context.loop.time,
        knowledge.own_member.describe,
        log_change,
        fleet.zone_monitor.is_closed,
    )


def _build_directory(
    context: BuildContext,
    process: ProcessParts,
    state: SharedState,
    fleet: FleetParts,
    coordinators: Coordinators,
) -> BackendDirectory:
    clock = context.loop.time
    counters = process.counters

    def count_connection() -> None:
        counters.connections_opened += 1

    return BackendDirectory(
        state,
        context.names,
        clock,
        DirectorySettings(str(context.own), context.settings.drain_s, context.settings.cold),
        ConnectionHooks(
            count_connection,
            process.memory,
            lambda since: process.pause.covers(since, clock()),
        ),
        lambda service: coordinators.of_service(service).known_callers,
        fleet.zone_monitor.is_closed,
    )


def _build_poison_watch(
    context: BuildContext, state: SharedState, fleet: FleetParts
) -> PoisonWatch:
    clock = context.loop.time
    return PoisonWatch(
        fleet.peers,
        fleet.datagrams,
        clock,
        context.names,
        random.Random(f"poison {context.settings.name}"),
        lambda: clock() - state.unconfirmed_s(Topic.BACKENDS),
    )


def _build_store(
    context: BuildContext,
    process: ProcessParts,
    knowledge: KnowledgeParts,
    fleet: FleetParts,
    requests: RequestParts,
) -> StoreParts:
    store = context.make_store(
        context.settings.store, knowledge.store_status.count_call, process.store_bytes
    )
    readers = _build_readers(context, knowledge, fleet)
    followers: list[StoreFollower] = []

    def on_silent(topic: Topic) -> None:
        log_missed_change(topic)
        for follower in followers:
            if follower.topic is not topic:
                follower.restart_watch()

    follower_dependencies = _follower_dependencies(context, store, knowledge, readers, on_silent)
    followers.extend(StoreFollower(topic, follower_dependencies) for topic in Topic)
    keeper = StalenessKeeper(
        requests.freshness,
        knowledge.state,
        store,
        readers,
        fleet.peers,
        fleet.probes,
        context.random,
    )
    requests.confirmations.connect(keeper.read_settings)
    return StoreParts(readers, tuple(followers), keeper)


def _build_readers(
    context: BuildContext, knowledge: KnowledgeParts, fleet: FleetParts
) -> StoreReaders:
    # The order of these two draws determines the outcome of a seeded run.
    stale_after_s = STALE_AFTER_S + context.random.uniform(0.0, STALE_JITTER_S)
    startup_wait_factor = context.random.uniform(MIN_STARTUP_WAIT_FACTOR, MAX_STARTUP_WAIT_FACTOR)
    return StoreReaders(
        context.own,
        fleet.peers,
        knowledge.state,
        context.loop.time,
        knowledge.own_member.describe,
        started_at=context.loop.time(),
        stale_after_s=stale_after_s,
        startup_wait_factor=startup_wait_factor,
        seeds=context.settings.seeds,
    )


def _follower_dependencies(
    context: BuildContext,
    store: MetadataStore,
    knowledge: KnowledgeParts,
    readers: StoreReaders,
    on_silent: Callable[[Topic], None],
) -> FollowerDependencies:
    def on_complete_read(topic: Topic, requested_at: float) -> None:
        # Lets a starting gateway serve keyed requests after its first complete read, without
        # another read that confirms it.
        if topic is Topic.OPERATOR:
            knowledge.staleness_bound.prove(requested_at)

    def on_reading(topic: Topic, reason: ReadReason | None) -> None:
        reason_text = "" if reason is None else reason.value
        log_store_reading(topic, reason_text, knowledge.state.unconfirmed_s(topic))

    return FollowerDependencies(
        store,
        knowledge.state,
        knowledge.store_status,
        readers,
        context.random,
        on_complete_read,
        on_reading,
        on_silent,
    )


def _build_exchange(
    context: BuildContext,
    process: ProcessParts,
    knowledge: KnowledgeParts,
    fleet: FleetParts,
    requests: RequestParts,
    store: StoreParts,
) -> PeerExchange | None:
    if context.settings.peers is None:
        return None

    def log_result(peer: str, result: str) -> None:
        log_pull(peer, result, knowledge.state.configuration_revision)

    traffic = fleet.datagrams.traffic
    pulls = SnapshotPulls(
        knowledge.state,
        knowledge.staleness_bound,
        fleet.peers,
        fleet.client,
        traffic,
        store.readers,
        log_result,
    )
    service = PeerService(
        knowledge.own_member,
        knowledge.state,
        knowledge.staleness_bound,
        fleet.peers,
        traffic,
        requests.delegation_service.serve,
    )
    exchange = PeerExchange(
        knowledge.own_member,
        knowledge.state,
        fleet.peers,
        fleet.datagrams,
        fleet.zone_monitor,
        pulls,
        service,
        context.random,
    )
    for follower in store.followers:
        follower.subscribe_to_confirmed(
            lambda: exchange.send_digests_without_members(store.readers.addresses())
        )
    knowledge.store_status.subscribe(exchange.send_digests_to_own_zone)
    process.peer_buffer_bytes.add(service)
    fleet.zone_monitor.subscribe(exchange.send_digests_to_own_zone)
    store.staleness_keeper.subscribe_to_newer(pulls.start_pull)
    return exchange
