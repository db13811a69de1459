"""Builds the components that serve requests of clients and scatters of other gateways.

Owns no state.  A part of :mod:`tinrudder.gateway.wiring`, which builds what these components use.
"""

from __future__ import annotations

from tinrudder.gateway.build_context import BuildContext
from tinrudder.gateway.observability.request_log import FinishedRequest, log_request
from tinrudder.gateway.observability.request_metrics import RequestMetrics
from tinrudder.gateway.parts import (
    BackendParts,
    FleetParts,
    KnowledgeParts,
    ProcessParts,
    RequestParts,
)
from tinrudder.gateway.peers.reachability import Reachability
from tinrudder.gateway.quotas.quotas import Quotas
from tinrudder.gateway.quotas.tenants_in_force import TenantsInForce
from tinrudder.gateway.requests.authentication import Authentication
from tinrudder.gateway.requests.process_end import ProcessEnd
from tinrudder.gateway.requests.refusals import RequestChecks
from tinrudder.gateway.requests.request_handler import RequestHandler
from tinrudder.gateway.requests.run_planner import RunPlanner
from tinrudder.gateway.requests.service_admission import ServiceAdmission
from tinrudder.gateway.requests.stop_backlog import StopBacklog
from tinrudder.gateway.scatters.delegation_context import DelegationContext
from tinrudder.gateway.scatters.delegation_service import DelegationService
from tinrudder.gateway.scatters.scatter_admission import ScatterAdmissions
from tinrudder.gateway.scatters.scatter_planner import ScatterPlanner
from tinrudder.gateway.store.configuration_freshness import ConfigurationFreshness
from tinrudder.gateway.store.confirmations import Confirmations
from tinrudder.gateway.store.stored_values import Topic


def build_requests(
    context: BuildContext,
    process: ProcessParts,
    knowledge: KnowledgeParts,
    fleet: FleetParts,
    backends: BackendParts,
) -> RequestParts:
    """Return the components that serve requests."""
    state = knowledge.state
    call_context = backends.call_context
    delegation_context = DelegationContext(
        client=fleet.client,
        coordinators=backends.coordinators,
        call_context=call_context,
        zone_monitor=fleet.zone_monitor,
        configuration=lambda: state.accepted,
        traffic=fleet.datagrams.traffic,
    )
    tenants = TenantsInForce(state)
    freshness = _build_freshness(context, knowledge, fleet, tenants)
    reachability = Reachability(backends.directory, fleet.zone_monitor, context.loop.time)
    quotas = Quotas(
        context.own,
        fleet.peers,
        fleet.zone_monitor,
        fleet.datagrams,
        context.settings.quotas,
        tenants.find,
        process.lifecycle.is_stopping,
    )
    planner = ScatterPlanner(call_context, delegation_context, context.random)
    admissions = ScatterAdmissions(delegation_context, context.random)
    request_metrics = RequestMetrics()

    def finish(request: FinishedRequest) -> None:
        request_metrics.observe(request)
        log_request(request)

    configuration_is_fresh = freshness.is_up_to_date
    service_admission = ServiceAdmission(call_context)
    process_end = ProcessEnd()
    confirmations = Confirmations(
        knowledge.staleness_bound,
        lambda: not (knowledge.store_status.is_lost or state.may_lack_lost_writes),
        lambda: fleet.peers.nodes(context.loop.time()),
    )
    handler = RequestHandler(
        RequestChecks(
            call_context=call_context,
            process_end=process_end,
            state=state,
            is_fresh=configuration_is_fresh,
            authentication=Authentication(
                context.names,
                freshness.is_too_old,
                configuration_is_fresh,
                confirmations.is_known_as_of,
                context.random,
            ),
            quotas=quotas,
            reachability=reachability,
            poison=backends.poison_watch,
            service_admission=service_admission,
            random=context.random,
        ),
        confirmations,
        RunPlanner(call_context, service_admission, delegation_context, planner, admissions),
        finish,
    )
    service = DelegationService(
        call_context,
        state,
        admissions,
        planner,
        lambda: handler.routes,
        reachability,
        backends.poison_watch,
        process_end,
    )
    return RequestParts(
        request_metrics,
        freshness,
        confirmations,
        reachability,
        quotas,
        admissions,
        handler,
        service,
        process_end,
        StopBacklog(process_end, call_context),
    )


def _build_freshness(
    context: BuildContext, knowledge: KnowledgeParts, fleet: FleetParts, tenants: TenantsInForce
) -> ConfigurationFreshness:
    return ConfigurationFreshness(
        knowledge.staleness_bound,
        context.settings.revocation_s,
        context.settings.change_in_force_s,
        lambda: knowledge.state.unconfirmed_s(Topic.OPERATOR),
        tenants.has_tenants,
        fleet.peers,
        knowledge.store_status,
        lambda: knowledge.state.may_lack_lost_writes,
        context.loop.time,
    )
