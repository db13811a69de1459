"""Handles client requests: refuses those that may not run, and runs the others.

Owns the index of the configuration in force and the number of running requests.  Depends on
:mod:`tinrudder.gateway.requests.refusals` for the reasons to refuse, and on
:mod:`tinrudder.gateway.requests.run_planner` for where a request runs.
"""

from __future__ import annotations

from functools import partial

from msgspec.structs import replace

from tinrudder.gateway.clients.client_connection import ClientConnection, RequestInProgress
from tinrudder.gateway.clients.client_deadlines import ClientDeadlines
from tinrudder.gateway.model.configuration import ClientLimits, Tenant
from tinrudder.gateway.model.http_messages import HttpRequest, end_to_end_headers
from tinrudder.gateway.model.outcomes import NotRun, OverQuota, RequestOutcome, Unconfirmed
from tinrudder.gateway.observability.request_log import FinishedRequest, RequestObserver
from tinrudder.gateway.requests.client_request import ClientRequest
from tinrudder.gateway.requests.refusals import (
    RequestChecks,
    check_quota,
    refusal_at_start,
    refusal_on_arrival,
)
from tinrudder.gateway.requests.routes_in_force import RoutesInForce
from tinrudder.gateway.requests.run_planner import RunPlanner
from tinrudder.gateway.store.confirmations import Confirmations

MAX_CONFIRMATION_WAIT_S = 0.6
"""Longest time for which a request waits for the store to confirm the settings, seconds: two reads
of a quarter of a second, one of them under way at its arrival."""


class RequestHandler:
    """Serves clients' requests by the configuration in force."""

    def __init__(
        self,
        checks: RequestChecks,
        confirmations: Confirmations,
        planner: RunPlanner,
        observer: RequestObserver,
    ) -> None:
        """Report every finished request to ``observer``.

        :param checks: the components that decide whether a request may run.
        :param confirmations: confirms the settings for requests that wait for that.
        :param planner: decides where an admitted request runs.
        """
        self.in_progress = 0
        self.call_context = checks.call_context
        self._checks = checks
        self._confirmations = confirmations
        self._planner = planner
        self._observer = observer
        self.process_end = checks.process_end
        self._routes: RoutesInForce | None = None
        self._deadlines = ClientDeadlines(self.call_context.names)
        checks.state.subscribe(self._refresh)

    @property
    def closing(self) -> bool:
        """Return whether clients should use other gateways: on a planned stop or in a partition."""
        return self.process_end.is_announced or self._checks.reachability.is_partitioned

    @property
    def routes(self) -> RoutesInForce | None:
        """Return the configuration in force; ``None`` before the first one."""
        return self._routes

    @property
    def limits(self) -> ClientLimits:
        """Return the client limits of the configuration in force, or the defaults."""
        if self._routes is None:
            return ClientLimits()
        return self._routes.configuration.limits

    def handle(self, request: HttpRequest, connection: ClientConnection) -> RequestInProgress:
        """Serve one request."""
        names = self.call_context.names
        headers = end_to_end_headers(request.headers, names.protected)
        request = replace(request, headers=headers)
        client_request = ClientRequest(self, request, connection, self._routes)
        self.call_context.counters.requests += 1
        refusal = refusal_on_arrival(self._checks, client_request)
        if not (isinstance(refusal, Unconfirmed) and self._wait_for_confirmation(client_request)):
            self._proceed(client_request, refusal)
        return client_request

    def _proceed(self, request: ClientRequest, refusal: RequestOutcome | None) -> None:
        """Refuse a request, or check its quota."""
        if refusal is not None:
            request.end(refusal)
        else:
            check_quota(self._checks, request, partial(self._on_quota_decision, request))

    def _wait_for_confirmation(self, request: ClientRequest) -> bool:
        """Judge a request once more when the settings are confirmed, or it has waited for long."""
        until = min(request.received_at + MAX_CONFIRMATION_WAIT_S, self.process_end.answers_until)

        def judge() -> None:
            if not request.abandoned:
                request.routes = self._routes
                self._proceed(request, refusal_on_arrival(self._checks, request))

        return self._confirmations.wait(request.received_at, until, judge)

    def _on_quota_decision(
        self, request: ClientRequest, refusal: OverQuota | NotRun | None
    ) -> None:
        """Start a request within its quota, unless its client has disconnected meanwhile."""
        if refusal is None:
            request.granted = True
            # The client may disconnect while another gateway checks the quota: nothing runs then.
            if request.abandoned:
                request.refund_token()
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
        self.process_end.apply(deadlines)
        authorized = request.authorized(deadlines)
        refusal = refusal_at_start(self._checks, authorized)
        if refusal is not None:
            self.call_context.counters.refused += 1
            request.end(refusal)
            return
        run = self._planner.plan(authorized, request.end)
        self.in_progress += 1
        request.run = run
        run.start()

    def refund_token(self, tenant: Tenant) -> None:
        """Refund the quota token of a granted request that has not run."""
        self._checks.quotas.refund_token(tenant)

    def finished(self, request: FinishedRequest) -> None:
        """Report the end of one request to the observer."""
        self._observer(request)

    def _refresh(self) -> None:
        """Index a new configuration and drop the state of names that it no longer has."""
        accepted = self._checks.state.accepted
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
        self._checks.quotas.forget_unused(frozenset(self._routes.tenants))
