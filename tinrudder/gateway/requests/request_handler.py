"""Takes clients' requests: refuses those that may not run, and runs the others.

Owns the index of the configuration in force and the number of requests in progress.  Relies on
:mod:`tinrudder.gateway.requests.refusals` for every reason to refuse, in their order, and on
:mod:`tinrudder.gateway.requests.run_planner` for where a request runs.
"""

from __future__ import annotations

from functools import partial

from tinrudder.gateway.clients.client_connection import ClientConnection, RequestInProgress
from tinrudder.gateway.clients.client_deadlines import ClientDeadlines
from tinrudder.gateway.model.configuration import ClientLimits, Tenant
from tinrudder.gateway.model.http_messages import HttpRequest
from tinrudder.gateway.model.outcomes import NotRun, OverQuota
from tinrudder.gateway.observability.request_log import FinishedRequest, RequestObserver
from tinrudder.gateway.requests.client_request import ClientRequest
from tinrudder.gateway.requests.refusals import (
    Judges,
    judge_quota,
    refusal_at_start,
    refusal_on_arrival,
)
from tinrudder.gateway.requests.routes_in_force import RoutesInForce
from tinrudder.gateway.requests.run_planner import RunPlanner


class RequestHandler:
    """Serves clients' requests by the configuration in force."""

    def __init__(self, judges: Judges, planner: RunPlanner, observer: RequestObserver) -> None:
        """Report every finished request to ``observer``.

        :param judges: know whether a request may run.
        :param planner: decides where those run that may.
        """
        self.in_progress = 0
        self.call_context = judges.call_context
        self._judges = judges
        self._planner = planner
        self._observer = observer
        self._stopping = False
        self._routes: RoutesInForce | None = None
        self._deadlines = ClientDeadlines(self.call_context.names)
        judges.state.subscribe(self._refresh)

    @property
    def closing(self) -> bool:
        """Tell whether clients should go elsewhere: on a planned stop, or from a smaller side."""
        return self._stopping or self._judges.reachability.is_cut_off

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
        client_request = ClientRequest(self, request, connection, self._routes)
        self.call_context.counters.requests += 1
        refusal = refusal_on_arrival(self._judges, client_request)
        if refusal is not None:
            client_request.end(refusal)
        else:
            judge_quota(self._judges, client_request, partial(self._on_quota, client_request))
        return client_request

    def _on_quota(self, request: ClientRequest, refusal: OverQuota | NotRun | None) -> None:
        """Start a request that its tenant may ask, unless its client has left meanwhile."""
        if refusal is None:
            request.granted = True
            # The client may leave while another gateway is asked: then nothing runs.
            if request.abandoned:
                request.give_back()
            else:
                self._start(request)
        elif not request.abandoned:
            request.end(refusal)

    def _start(self, request: ClientRequest) -> None:
        """Run a request, or refuse it at once."""
        assert request.route is not None
        assert request.authenticated is not None
        deadlines = self._deadlines.of(
            request.route, request.authenticated.request, request.received_at
        )
        authorized = request.authorized(deadlines)
        refusal = refusal_at_start(self._judges, authorized)
        if refusal is not None:
            self.call_context.counters.refused += 1
            request.end(refusal)
            return
        run = self._planner.plan(authorized, request.end)
        self.in_progress += 1
        request.run = run
        run.start()

    def give_back(self, tenant: Tenant) -> None:
        """Let a tenant ask again for what was granted and has not run."""
        self._judges.quotas.give_back(tenant)

    def finished(self, request: FinishedRequest) -> None:
        """Take the end of one request."""
        self._observer(request)

    def _refresh(self) -> None:
        """Index a configuration that has just come into force."""
        accepted = self._judges.state.accepted
        if accepted is None:
            return
        configuration = accepted.configuration
        if self._routes is not None and self._routes.configuration is configuration:
            return
        self._routes = RoutesInForce.of(configuration)
        names = frozenset(route.name for route in configuration.routes)
        self.call_context.forget_unused(frozenset(configuration.services), names)
        self._deadlines.forget_unused(names)
        self._planner.forget_unused(frozenset(route.shards for route in configuration.routes))
        self._judges.quotas.forget_unused(frozenset(self._routes.tenants))
