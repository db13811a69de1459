"""Plans where an admitted request runs: one back end, a scatter here, or one at a coordinator.

Owns no state.  Depends on :class:`ScatterPlanner` for the shards that other gateways call, on
:class:`ScatterAdmissions` for the queues of scatters, and on the current choice of coordinators.
"""

from __future__ import annotations

from tinrudder.gateway.model.outcomes import NotRun
from tinrudder.gateway.requests.client_request import AuthorizedRequest, Run
from tinrudder.gateway.requests.service_admission import ServiceAdmission
from tinrudder.gateway.runs.call_context import CallContext
from tinrudder.gateway.runs.request_bytes import RequestBytes
from tinrudder.gateway.runs.request_run import OutcomeListener, RequestRun
from tinrudder.gateway.runs.run_context import RunContext
from tinrudder.gateway.scatters.delegated_scatter import DelegatedScatter
from tinrudder.gateway.scatters.delegation_context import DelegationContext
from tinrudder.gateway.scatters.scatter_admission import ScatterAdmissions
from tinrudder.gateway.scatters.scatter_planner import ScatterPlanner
from tinrudder.gateway.scatters.waiting_scatter import WaitingScatter


class RunPlanner:
    """Creates the run of each request."""

    def __init__(
        self,
        call_context: CallContext,
        service_admission: ServiceAdmission,
        delegation_context: DelegationContext,
        scatter_planner: ScatterPlanner,
        scatter_admissions: ScatterAdmissions,
    ) -> None:
        """Create runs that call back ends through ``call_context``.

        :param service_admission: sets ``Retry-After`` when all back ends rejected a call.
        :param scatter_admissions: the queues of the scatters that this gateway runs.
        """
        self._call_context = call_context
        self._service_admission = service_admission
        self._delegation_context = delegation_context
        self._scatter_planner = scatter_planner
        self._scatter_admissions = scatter_admissions

    def plan(self, request: AuthorizedRequest, on_outcome: OutcomeListener) -> Run:
        """Return the run of a request, not started yet.

        Overload is not checked for a delegated scatter: the coordinator does, since it has the
        queues.
        """
        if not request.route.shards:
            return self._single_backend_run(request, on_outcome)
        coordination = self._delegation_context.coordinators.of_route(request.route)
        if coordination.calls_backends:
            return self._local_scatter(request, on_outcome)
        return DelegatedScatter(
            request.route,
            request.authenticated.request,
            request.request_id,
            request.deadlines,
            self._delegation_context,
            coordination.preferred_coordinators,
            lambda listener: self._local_scatter(request, listener),
            on_outcome,
            request.priority,
        )

    def forget_unused(self, indexes: frozenset[tuple[str, ...]]) -> None:
        """Drop the state of indexes that no route names any more.

        :param indexes: the indexes in use, each the shards of a route.
        """
        self._scatter_admissions.forget_unused(indexes)

    def _local_scatter(
        self, request: AuthorizedRequest, on_outcome: OutcomeListener
    ) -> WaitingScatter:
        """Return a scatter that waits here; this gateway or others near the shards call them."""
        route = request.route
        deadlines = request.deadlines
        return WaitingScatter(
            self._scatter_admissions.of_route(route),
            route,
            deadlines,
            request.priority,
            request.authenticated.tenant_name,
            lambda listener: self._scatter_planner.run(
                route, request.authenticated.request, request.request_id, deadlines, listener
            ),
            on_outcome,
        )

    def _single_backend_run(
        self, request: AuthorizedRequest, on_outcome: OutcomeListener
    ) -> RequestRun:
        """Return the run of a request at one back end of its chosen service."""
        route = request.route
        service = request.service
        deadlines = request.deadlines
        encoded = RequestBytes(
            request.authenticated.request,
            request.request_id,
            deadlines,
            self._call_context.names,
        )

        def refuse_after_rejections(detail: str, min_retry_after_s: float) -> NotRun:
            return self._service_admission.after_rejections(
                detail, route, service, deadlines, min_retry_after_s
            )

        context = RunContext.of(self._call_context, route, encoded, deadlines)
        return RequestRun(context, (service,), on_outcome, make_refusal=refuse_after_rejections)
