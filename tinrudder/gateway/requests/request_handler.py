"""Checks a client's request, finds its route, and runs it."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

from tinrudder.gateway.clients.answers import build_answer
from tinrudder.gateway.clients.client_connection import ClientConnection, RequestInProgress
from tinrudder.gateway.clients.client_deadlines import ClientDeadlines, Deadlines
from tinrudder.gateway.model.configuration import ClientLimits, Route, Tenant
from tinrudder.gateway.model.http_messages import HttpRequest
from tinrudder.gateway.model.outcomes import (
    STATUS_BAD_REQUEST,
    Invalid,
    NotRun,
    OverQuota,
    RequestOutcome,
    UnknownRoute,
)
from tinrudder.gateway.observability.request_log import FinishedRequest, RequestObserver
from tinrudder.gateway.peers.peer_messages import MissingShard
from tinrudder.gateway.peers.poison_watch import PoisonWatch
from tinrudder.gateway.peers.reachability import Reachability
from tinrudder.gateway.quotas.quotas import Quotas
from tinrudder.gateway.requests.authentication import Admitted, Authentication
from tinrudder.gateway.requests.call_context import CallContext
from tinrudder.gateway.requests.request_bytes import RequestBytes
from tinrudder.gateway.requests.request_run import OutcomeListener, RequestRun
from tinrudder.gateway.requests.routes_in_force import RoutesInForce
from tinrudder.gateway.requests.service_admission import ServiceAdmission
from tinrudder.gateway.scatters.delegated_scatter import DelegatedScatter
from tinrudder.gateway.scatters.delegation_context import DelegationContext
from tinrudder.gateway.scatters.scatter_admission import ScatterAdmissions
from tinrudder.gateway.scatters.scatter_planner import ScatterPlanner
from tinrudder.gateway.scatters.waiting_scatter import WaitingScatter
from tinrudder.gateway.store.shared_state import SharedState

RETRY_AFTER_START_S = 0.3
"""When to come back to a process that knows no configuration yet, a choice: ten questions to peers
fit into this time."""


class Run(Protocol):
    """A request on its way to an outcome, here or at a coordinator."""

    @property
    def repeats(self) -> int:
        """Return how many calls were sent beyond the first of each shard."""

    @property
    def missing_shards(self) -> tuple[MissingShard, ...]:
        """Return the shards without an answer."""

    def start(self) -> None:
        """Begin."""

    def abandon(self) -> None:
        """End for a client that has left."""


class InvalidRequestError(Exception):
    """The request breaks a rule of the protocol."""


class RequestHandler:
    """Serves clients' requests by the configuration in force."""

    def __init__(
        self,
        call_context: CallContext,
        state: SharedState,
        observer: RequestObserver,
        random_source: random.Random,
        knows_news: Callable[[], bool],
        delegation_context: DelegationContext,
        planner: ScatterPlanner,
        access: Authentication,
        quotas: Quotas,
        reach: Reachability,
        poison: PoisonWatch,
        gates: ScatterAdmissions,
    ) -> None:
        """Report every finished request to ``observer``.

        :param knows_news: tells whether this gateway would know of a newer configuration.
        :param access: decides on whose behalf requests run; ``quotas``: how many of these do.
        :param reach: tells what cannot be had from here.
        :param poison: knows the requests that crash the back ends that run them.
        :param gates: where scatters wait that this gateway runs.
        """
        self._gates = gates
        self._poison = poison
        self._access = access
        self._quotas = quotas
        self._reach = reach
        self._stopping = False
        self._knows_news = knows_news
        self._delegation_context = delegation_context
        self._planner = planner
        self.in_progress = 0
        self.call_context = call_context
        self._state = state
        self._observer = observer
        self._random = random_source
        self._routes: RoutesInForce | None = None
        self._deadlines = ClientDeadlines(call_context.names)
        self._service_admission = ServiceAdmission(call_context)
        state.subscribe(self._refresh)

    @property
    def closing(self) -> bool:
        """Tell whether clients should go elsewhere: on a planned stop, or from a smaller side."""
        return self._stopping or self._reach.is_cut_off

    def stop(self) -> None:
        """Tell clients from now on to go elsewhere after their next answer."""
        self._stopping = True

    @property
    def routes(self) -> RoutesInForce | None:
        """Return the configuration in force, ``None`` before there is one."""
        return self._routes

    @property
    def limits(self) -> ClientLimits:
        """Return the limits in force."""
        if self._routes is None:
            return ClientLimits()
        return self._routes.configuration.limits

    def handle(self, request: HttpRequest, connection: ClientConnection) -> RequestInProgress:
        """Serve one request."""
        serving = _Serving(self, request, connection, self.call_context.loop.time())
        self.call_context.counters.requests += 1
        try:
            request_id = self._check(request)
        except InvalidRequestError as error:
            serving.end(Invalid(STATUS_BAD_REQUEST, str(error)))
            return serving
        serving.request_id = request_id
        routes = self._routes
        if routes is None or not self._state.complete:
            serving.end(NotRun("no configuration is known yet", RETRY_AFTER_START_S))
            return serving
        serving.version = routes.configuration.version
        route = routes.find(request)
        if route is None:
            serving.end(self._without_route())
            return serving
        serving.route = route
        admitted = self._access.admit(routes, route, request)
        if not isinstance(admitted, Admitted):
            serving.end(admitted)
            return serving
        serving.tenant = admitted.tenant
        if admitted.tenant is None:
            self._begin(serving, routes, route, admitted)
            return serving

        def decide(refusal: OverQuota | NotRun | None) -> None:
            self._on_quota(serving, routes, route, admitted, refusal)

        self._quotas.admit(admitted.tenant, decide)
        return serving

    def _on_quota(
        self,
        serving: _Serving,
        routes: RoutesInForce,
        route: Route,
        admitted: Admitted,
        refusal: OverQuota | NotRun | None,
    ) -> None:
        """Begin a request that its tenant may ask, unless its client has left meanwhile."""
        if refusal is None:
            serving.granted = True
            if serving.abandoned:
                self.give_back(serving)
            else:
                self._begin(serving, routes, route, admitted)
        elif not serving.abandoned:
            serving.end(refusal)

    def _begin(
        self, serving: _Serving, routes: RoutesInForce, route: Route, admitted: Admitted
    ) -> None:
        """Run a request, or refuse it at once."""
        deadlines = self._deadlines.of(route, admitted.request, serving.received_at)
        plan = (
            self._reach.refusal(route)
            or self._memory_refusal(routes, route, admitted)
            or self._poison.refusal(route, admitted.request)
            or self._plan(routes, route, admitted, deadlines, serving)
        )
        if isinstance(plan, NotRun):
            self.call_context.counters.refused += 1
            serving.end(plan)
            return
        self.in_progress += 1
        serving.run = plan
        plan.start()

    def _memory_refusal(
        self, routes: RoutesInForce, route: Route, admitted: Admitted
    ) -> NotRun | None:
        """Return why there is no room for a request; the less urgent are refused first."""
        memory = self.call_context.memory
        if not memory.may_be_near:
            return None
        return memory.refusal(routes.steps_below_urgent(admitted.priority(route)))

    def give_back(self, serving: _Serving) -> None:
        """Let a tenant ask again for what was granted and has not run."""
        if serving.granted and serving.tenant is not None:
            serving.granted = False
            self._quotas.give_back(serving.tenant)

    def finished(self, request: FinishedRequest) -> None:
        """Take the end of one request."""
        self._observer(request)

    def _check(self, request: HttpRequest) -> bytes:
        """Return the request's id.

        :raises InvalidRequestError: a rule of the protocol is broken.
        """
        if not request.target.startswith(b"/"):
            raise InvalidRequestError("target: must begin with a slash")
        names = [name for name, _ in request.headers]
        if names.count(b"host") != 1:
            raise InvalidRequestError("host: must stand exactly once")
        id_name = self.call_context.names.request_id
        ids = [value for name, value in request.headers if name == id_name]
        if len(ids) != 1 or not ids[0]:
            raise InvalidRequestError("request id: must stand exactly once")
        return ids[0]

    def _without_route(self) -> RequestOutcome:
        """Say that there is no route, but only if a newer configuration would be known here."""
        if self._knows_news():
            return UnknownRoute()
        return NotRun("no route, and no word from store or peers lately", RETRY_AFTER_START_S)

    def _plan(
        self,
        routes: RoutesInForce,
        route: Route,
        admitted: Admitted,
        deadlines: Deadlines,
        serving: _Serving,
    ) -> Run | NotRun:
        """Decide where a request runs, or refuse it at once.

        A coordinator judges by itself whether a scatter can be in time: it sees the queues.
        """
        request = admitted.request
        priority = admitted.priority(route)
        if not route.shards:
            steps = routes.steps_below_urgent(priority)
            return self._plan_single(routes, route, admitted, deadlines, serving, steps)

        def run_here(on_outcome: OutcomeListener) -> WaitingScatter:
            return WaitingScatter(
                self._gates.of_route(route),
                route,
                deadlines,
                priority,
                admitted.tenant_name,
                lambda end: self._planner.run(route, request, serving.request_id, deadlines, end),
                on_outcome,
            )

        coordination = self._delegation_context.coordinators.of_route(route)
        if not coordination.own:
            return DelegatedScatter(
                route,
                request,
                serving.request_id,
                deadlines,
                self._delegation_context,
                coordination.asked,
                run_here,
                serving.end,
                priority,
            )
        return run_here(serving.end)

    def _plan_single(
        self,
        routes: RoutesInForce,
        route: Route,
        admitted: Admitted,
        deadlines: Deadlines,
        serving: _Serving,
        steps: int,
    ) -> Run | NotRun:
        """Run a request at one back end of the service chosen, or refuse it at once."""
        service = routes.choose_service(route, self._random)
        admission = self._service_admission
        refusal = admission.refusal(route, service, deadlines, steps, admitted.tenant_name)
        if refusal is not None:
            return refusal
        names = self.call_context.names
        encoded = RequestBytes(admitted.request, serving.request_id, deadlines.deadline_at, names)

        def turned_away(detail: str, least_s: float) -> NotRun:
            return admission.after_rejections(detail, route, service, deadlines, least_s)

        return RequestRun(
            route,
            (service,),
            encoded,
            deadlines,
            self.call_context,
            serving.end,
            turned_away=turned_away,
        )

    def _refresh(self) -> None:
        """Index a configuration that has just come into force."""
        accepted = self._state.accepted
        if accepted is None:
            return
        configuration = accepted.configuration
        if self._routes is not None and self._routes.configuration is configuration:
            return
        self._routes = RoutesInForce.of(configuration)
        names = frozenset(route.name for route in configuration.routes)
        self.call_context.forget_unused(frozenset(configuration.services), names)
        self._deadlines.forget_unused(names)
        self._gates.forget_unused(frozenset(route.shards for route in configuration.routes))
        self._quotas.forget_unused(frozenset(self._routes.tenants))


class _Serving:
    """One request between its arrival and its answer.

    :ivar granted: its tenant's quota counts it.
    :ivar abandoned: its client has left.
    """

    def __init__(
        self,
        handler: RequestHandler,
        request: HttpRequest,
        connection: ClientConnection,
        received_at: float,
    ) -> None:
        self.request_id = b""
        self.version = 0
        self.route: Route | None = None
        self.run: Run | None = None
        self.tenant: Tenant | None = None
        self.granted = False
        self.abandoned = False
        self.received_at = received_at
        self._handler = handler
        self._request = request
        self._connection = connection

    def end(self, outcome: RequestOutcome) -> None:
        """Answer the client."""
        handler = self._handler
        call_context = handler.call_context
        if self.run is not None:
            handler.in_progress -= 1
        if isinstance(outcome, NotRun):
            handler.give_back(self)
        answer = build_answer(outcome, call_context.names, self.request_id or None)
        self._connection.answer(answer)
        handler.finished(self._finished(outcome))
        # Else the cycle of the two keeps the request until the collector's next run.
        self.run = None

    def abandon(self) -> None:
        """Stop for a client that has left."""
        self.abandoned = True
        if self.run is not None:
            self._handler.in_progress -= 1
            self.run.abandon()
            self._handler.finished(self._finished(None))

    def _finished(self, outcome: RequestOutcome | None) -> FinishedRequest:
        """Describe the end for logs and metrics."""
        run = self.run
        return FinishedRequest(
            request_id=self.request_id,
            route=self.route,
            target=self._request.target,
            version=self.version,
            outcome=outcome,
            elapsed_s=self._handler.call_context.loop.time() - self.received_at,
            missing_shards=run.missing_shards if run is not None else (),
            repeats=run.repeats if run is not None else 0,
            tenant=self.tenant.name if self.tenant is not None else "",
        )
