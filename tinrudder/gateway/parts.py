"""Groups of a gateway's components, in the order in which they are built.

Owns no state: a group holds references to related components, so that a function that needs many of
them takes one argument.  :mod:`tinrudder.gateway.wiring` builds the groups.
"""

from __future__ import annotations

from msgspec import Struct

from tinrudder.common.lifecycle import NodeLifecycle
from tinrudder.common.transport.peer_client import PeerClient
from tinrudder.gateway.backends.backend_directory import BackendDirectory
from tinrudder.gateway.backends.load_report_exchange import LoadReportExchange
from tinrudder.gateway.clients.held_bytes import HeldBytes
from tinrudder.gateway.clients.memory_account import MemoryAccount
from tinrudder.gateway.decisions.fleet.process_pause import ProcessPause
from tinrudder.gateway.observability.request_metrics import RequestMetrics
from tinrudder.gateway.peers.own_member import OwnMember
from tinrudder.gateway.peers.peer_buffer_bytes import PeerBufferBytes
from tinrudder.gateway.peers.peer_datagrams import PeerDatagrams
from tinrudder.gateway.peers.peer_exchange import PeerExchange
from tinrudder.gateway.peers.peer_list import PeerList
from tinrudder.gateway.peers.poison_watch import PoisonWatch
from tinrudder.gateway.peers.probes import Probes
from tinrudder.gateway.peers.reachability import Reachability
from tinrudder.gateway.peers.zone_monitor import ZoneMonitor
from tinrudder.gateway.quotas.quotas import Quotas
from tinrudder.gateway.requests.process_end import ProcessEnd
from tinrudder.gateway.requests.request_handler import RequestHandler
from tinrudder.gateway.requests.stop_backlog import StopBacklog
from tinrudder.gateway.runs.call_context import CallContext, CallCounters
from tinrudder.gateway.scatters.coordinators import Coordinators
from tinrudder.gateway.scatters.delegation_service import DelegationService
from tinrudder.gateway.scatters.scatter_admission import ScatterAdmissions
from tinrudder.gateway.store.configuration_freshness import ConfigurationFreshness
from tinrudder.gateway.store.confirmations import Confirmations
from tinrudder.gateway.store.shared_state import SharedState
from tinrudder.gateway.store.staleness_bound import StalenessBound
from tinrudder.gateway.store.staleness_keeper import StalenessKeeper
from tinrudder.gateway.store.store_follower import StoreFollower
from tinrudder.gateway.store.store_readers import StoreReaders
from tinrudder.gateway.store.store_status import StoreStatus
from tinrudder.gateway.store.unreadable_values import UnreadableValues


class ProcessParts(Struct, frozen=True):
    """Components that concern the process as a whole."""

    lifecycle: NodeLifecycle
    pause: ProcessPause
    peer_buffer_bytes: PeerBufferBytes
    store_bytes: HeldBytes
    memory: MemoryAccount
    counters: CallCounters


class KnowledgeParts(Struct, frozen=True):
    """State replicated from the store, directly or through peers, and its staleness."""

    unreadable_values: UnreadableValues
    state: SharedState
    staleness_bound: StalenessBound
    store_status: StoreStatus
    own_member: OwnMember


class FleetParts(Struct, frozen=True):
    """The list of other gateways and the means to communicate with them."""

    peers: PeerList
    datagrams: PeerDatagrams
    probes: Probes
    client: PeerClient
    zone_monitor: ZoneMonitor


class BackendParts(Struct, frozen=True):
    """The back ends, observations of them, and the choice of gateways that call them."""

    coordinators: Coordinators
    directory: BackendDirectory
    poison_watch: PoisonWatch
    load_report_exchange: LoadReportExchange
    call_context: CallContext


class RequestParts(Struct, frozen=True):
    """Components that serve requests of clients and scatters of other gateways."""

    request_metrics: RequestMetrics
    freshness: ConfigurationFreshness
    confirmations: Confirmations
    reachability: Reachability
    quotas: Quotas
    scatter_admissions: ScatterAdmissions
    handler: RequestHandler
    delegation_service: DelegationService
    process_end: ProcessEnd
    stop_backlog: StopBacklog


class StoreParts(Struct, frozen=True):
    """Components that read the store."""

    readers: StoreReaders
    followers: tuple[StoreFollower, ...]
    staleness_keeper: StalenessKeeper


class GatewayParts(Struct, frozen=True):
    """All components of one gateway.

    :param peer_exchange: ``None`` if the settings have no address for peers.
    """

    process: ProcessParts
    knowledge: KnowledgeParts
    fleet: FleetParts
    backends: BackendParts
    requests: RequestParts
    store: StoreParts
    peer_exchange: PeerExchange | None
