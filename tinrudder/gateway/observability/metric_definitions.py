"""Definitions of a gateway's metrics without labels: name, help text and how to read the value.

Owns the tables of counters and gauges; the gateway's components own the values.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from msgspec import Struct

from tinrudder.gateway.backends.backend_directory import BackendDirectory
from tinrudder.gateway.backends.load_report_exchange import LoadReportExchange
from tinrudder.gateway.backends.load_reports import LoadReports
from tinrudder.gateway.clients.connection_limit import ConnectionLimit
from tinrudder.gateway.clients.memory_account import MemoryAccount
from tinrudder.gateway.observability.gateway_log import finite_age_s
from tinrudder.gateway.observability.request_metrics import RequestMetrics
from tinrudder.gateway.peers.peer_datagrams import PeerDatagrams
from tinrudder.gateway.peers.poison_watch import PoisonWatch
from tinrudder.gateway.peers.zone_monitor import ZoneMonitor
from tinrudder.gateway.quotas.quotas import Quotas
from tinrudder.gateway.requests.request_handler import RequestHandler
from tinrudder.gateway.runs.call_context import CallCounters
from tinrudder.gateway.scatters.scatter_admission import ScatterAdmissions
from tinrudder.gateway.store.shared_state import SharedState
from tinrudder.gateway.store.staleness_bound import StalenessBound
from tinrudder.gateway.store.staleness_keeper import StalenessKeeper
from tinrudder.gateway.store.store_status import StoreStatus
from tinrudder.gateway.store.stored_values import Topic
from tinrudder.gateway.store.unreadable_values import UnreadableValues


class MetricSources(Struct, frozen=True):
    """The components of a gateway that metrics are read from.

    :param nodes: returns how many gateways share budgets, including this one.
    :param most_nodes: returns an upper bound of that number.
    :param is_ready: returns whether this gateway is ready for clients.
    :param dropped_log_lines: returns how many log lines were dropped.
    :param task_failures: returns the failures of long-lived tasks, by the name of the task.
    :param listen_failures: returns the failed attempts to listen, by the name of the listener.
    """

    nodes: Callable[[], int]
    most_nodes: Callable[[], int]
    is_ready: Callable[[], bool]
    counters: CallCounters
    memory: MemoryAccount
    state: SharedState
    staleness_bound: StalenessBound
    store_status: StoreStatus
    unreadable_values: UnreadableValues
    datagrams: PeerDatagrams
    zone_monitor: ZoneMonitor
    directory: BackendDirectory
    load_reports: LoadReports
    load_report_exchange: LoadReportExchange
    poison_watch: PoisonWatch
    requests: RequestMetrics
    handler: RequestHandler
    quotas: Quotas
    scatter_admissions: ScatterAdmissions
    staleness_keeper: StalenessKeeper
    dropped_log_lines: Callable[[], int]
    client_limit: ConnectionLimit
    task_failures: Callable[[], Counter[str]]
    listen_failures: Callable[[], Counter[str]]


class MetricDefinition(Struct, frozen=True):
    """A metric's name without the prefix, its help text, and how to read its value."""

    name: str
    help: str
    read: Callable[[MetricSources], float]


COUNTERS = (
    MetricDefinition("requests", "Requests read.", lambda sources: sources.counters.requests),
    MetricDefinition("calls", "Calls sent to back ends.", lambda sources: sources.counters.calls),
    MetricDefinition(
        "hedges", "Calls sent beside one that was overdue.", lambda sources: sources.counters.hedges
    ),
    MetricDefinition(
        "retries", "Calls sent after one that failed.", lambda sources: sources.counters.retries
    ),
    MetricDefinition(
        "repeats_denied",
        "Hedges and retries that the budget did not allow.",
        lambda sources: sources.counters.repeats_denied,
    ),
    MetricDefinition(
        "rejections", "Calls that back ends rejected.", lambda sources: sources.counters.rejections
    ),
    MetricDefinition(
        "broken", "Calls without a usable answer.", lambda sources: sources.counters.broken
    ),
    MetricDefinition(
        "connections_opened",
        "Connections opened to back ends.",
        lambda sources: sources.counters.connections_opened,
    ),
    MetricDefinition(
        "refused",
        "Requests refused since they could not have been served in time.",
        lambda sources: sources.counters.refused,
    ),
    MetricDefinition(
        "relayed", "Scatters handed to coordinators.", lambda sources: sources.counters.relayed
    ),
    MetricDefinition(
        "delegated",
        "Groups of shards handed to gateways beside their replicas.",
        lambda sources: sources.counters.delegated,
    ),
    MetricDefinition(
        "delegations_run_here",
        "Groups of shards asked from here since the other gateway did not.",
        lambda sources: sources.counters.delegations_run_here,
    ),
    MetricDefinition(
        "relays_failed",
        "Coordinators that did not serve a scatter.",
        lambda sources: sources.counters.relays_failed,
    ),
    MetricDefinition(
        "relays_run_here",
        "Scatters run here because no coordinator served them.",
        lambda sources: sources.counters.relays_run_here,
    ),
    MetricDefinition(
        "coordinated",
        "Scatters run for other gateways.",
        lambda sources: sources.counters.coordinated,
    ),
    MetricDefinition(
        "clients_left",
        "Requests whose client left before the answer.",
        lambda sources: sources.counters.clients_left,
    ),
    MetricDefinition(
        "store_calls", "Calls to the store.", lambda sources: sources.store_status.calls
    ),
    MetricDefinition(
        "unreadable_values",
        "Values in the store that do not have the form agreed on.",
        lambda sources: sources.unreadable_values.count,
    ),
    MetricDefinition(
        "unreadable_load_reports",
        "Load reports of back ends that do not have the form agreed on.",
        lambda sources: sources.load_reports.unreadable,
    ),
    MetricDefinition(
        "unreadable_datagrams",
        "Datagrams that are none of the kinds that gateways send each other.",
        lambda sources: sources.datagrams.unreadable,
    ),
    MetricDefinition(
        "knowledge_reads",
        "Calls to the store to know that nothing newer is there.",
        lambda sources: sources.staleness_keeper.reads,
    ),
    MetricDefinition(
        "zone_closings",
        "Times that a zone went out of reach.",
        lambda sources: sources.zone_monitor.closings,
    ),
    MetricDefinition(
        "memory_refused",
        "Requests refused since there was no room in memory.",
        lambda sources: sources.memory.refused,
    ),
    MetricDefinition(
        "clients_ended_unread",
        "Connections ended since nobody read answers.",
        lambda sources: sources.memory.ended_unread,
    ),
    MetricDefinition(
        "reading_paused",
        "Times that reading from a client was stopped.",
        lambda sources: sources.memory.pauses,
    ),
    MetricDefinition(
        "poison_refused",
        "Requests refused since back ends crash under them.",
        lambda sources: sources.poison_watch.refused,
    ),
    MetricDefinition(
        "poison_reports_unsent",
        "Reports of poison requests kept back by the bound on them.",
        lambda sources: sources.poison_watch.unsent,
    ),
    MetricDefinition(
        "load_news_sent",
        "Datagrams that told other gateways of long queues, each receiver counted.",
        lambda sources: sources.load_report_exchange.sent,
    ),
    MetricDefinition(
        "load_news_taken",
        "Loads of back ends told by other gateways and newer than what was known.",
        lambda sources: sources.load_report_exchange.applied,
    ),
    MetricDefinition(
        "load_news_ignored",
        "Loads told of back ends that are not known, or that cannot be true.",
        lambda sources: sources.load_report_exchange.ignored,
    ),
    MetricDefinition(
        "missing_shards",
        "Shards left out of merged answers.",
        lambda sources: sources.requests.missing_shards,
    ),
    MetricDefinition(
        "connections_evicted",
        "Idle connections of clients closed since new ones needed their descriptors.",
        lambda sources: sources.client_limit.evicted,
    ),
    MetricDefinition(
        "connections_refused",
        "New connections of clients closed since all others were busy.",
        lambda sources: sources.client_limit.refused,
    ),
    MetricDefinition(
        "log_lines_dropped",
        "Log lines that nobody could take.",
        lambda sources: sources.dropped_log_lines(),
    ),
)
"""Metrics that never decrease while the process runs."""

GAUGES = (
    MetricDefinition(
        "held_clients_bytes",
        "Bytes held for clients: requests, and answers that they have not taken.",
        lambda sources: sources.memory.clients,
    ),
    MetricDefinition(
        "held_backends_bytes",
        "Bytes held of back ends: requests not taken, answers until they are merged.",
        lambda sources: sources.memory.backends,
    ),
    MetricDefinition(
        "held_answers_bytes",
        "Bytes of answers of back ends that are being received; part of the bytes held of them.",
        lambda sources: sources.memory.answers,
    ),
    MetricDefinition(
        "held_peers_bytes",
        "Bytes held for other gateways and of the store, at the latest look, one a second.",
        lambda sources: sources.memory.peers,
    ),
    MetricDefinition(
        "held_bound_bytes",
        "Bytes that may be held for all together.",
        lambda sources: sources.memory.bound,
    ),
    MetricDefinition(
        "poison_alerts",
        "Routes and callers all whose requests begin as canaries now.",
        lambda sources: sources.poison_watch.alerts(),
    ),
    MetricDefinition(
        "configuration_revision",
        "Revision of the configuration in force.",
        lambda sources: sources.state.configuration_revision.number,
    ),
    MetricDefinition(
        "store_epoch",
        "The store's epoch, which rises whenever it comes back from an older copy; 0: not told.",
        lambda sources: sources.state.epoch,
    ),
    MetricDefinition(
        "store_behind_seconds",
        "For how long the store, back from an older copy, has shown less than is known here.",
        lambda sources: sources.state.retained_s,
    ),
    MetricDefinition(
        "store_kept_keys",
        "Keys on which what is known here stands against what the store shows.",
        lambda sources: len(sources.state.retained_keys),
    ),
    MetricDefinition(
        "configuration_version",
        "The operator's version of the configuration in force.",
        lambda sources: sources.state.configuration_version,
    ),
    MetricDefinition(
        "nodes",
        "Gateways that share budgets, this one included.",
        lambda sources: sources.nodes(),
    ),
    MetricDefinition(
        "fleet_bound",
        "Upper bound of the number of gateways, for limits that hold over all of them.",
        lambda sources: sources.most_nodes(),
    ),
    MetricDefinition("backends", "Back ends known.", lambda sources: len(sources.directory)),
    MetricDefinition(
        "knowledge_age_seconds",
        "How old what is known of the operator's word is at most; -1: it was never proven.",
        lambda sources: finite_age_s(sources.staleness_bound.age_s),
    ),
    MetricDefinition(
        "operator_unconfirmed_seconds",
        "How long ago the store said last that the operator asks for nothing newer; -1: never.",
        lambda sources: finite_age_s(sources.state.unconfirmed_s(Topic.OPERATOR)),
    ),
    MetricDefinition(
        "backends_unconfirmed_seconds",
        "How long ago the store said last that its list of back ends is no newer; -1: never.",
        lambda sources: finite_age_s(sources.state.unconfirmed_s(Topic.BACKENDS)),
    ),
    MetricDefinition(
        "zones_out_of_reach",
        "Zones to which calls would only hang.",
        lambda sources: len(sources.zone_monitor.paths.lost),
    ),
    MetricDefinition(
        "heard_share",
        "Part of the gateways known that can be reached, this one included.",
        lambda sources: sources.zone_monitor.heard_share,
    ),
    MetricDefinition(
        "ready", "1 while clients should come here.", lambda sources: sources.is_ready()
    ),
    MetricDefinition(
        "suspect_requests",
        "Different requests under which back ends were lost lately.",
        lambda sources: len(sources.poison_watch.requests),
    ),
    MetricDefinition(
        "barred_requests",
        "Different requests that no gateway sends now, since back ends crash under them.",
        lambda sources: sources.poison_watch.barred(),
    ),
    MetricDefinition(
        "evacuated_zones",
        "Zones whose back ends get nothing since the operator evacuates them.",
        lambda sources: len(sources.state.evacuations.zones),
    ),
    MetricDefinition(
        "scatters_waiting",
        "Scatters that wait here for room at the back ends.",
        lambda sources: sources.scatter_admissions.waiting,
    ),
    MetricDefinition(
        "scatter_room_held",
        "Slots of a typical shard that running scatters hold.",
        lambda sources: sources.scatter_admissions.held,
    ),
    MetricDefinition(
        "scatter_room_limit",
        "Slots of a typical shard that scatters of this gateway may hold now.",
        lambda sources: sources.scatter_admissions.limit,
    ),
    MetricDefinition(
        "in_progress", "Requests being served.", lambda sources: sources.handler.in_progress
    ),
)
"""Metrics that show a current value."""
