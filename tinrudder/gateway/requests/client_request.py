"""One client's request between its arrival and its answer.

Owns the request's state and its run, if it has one.  Depends on the :class:`RequestOwner` that
created it for counters, quota and log, and on the client's connection, to which it sends exactly
one answer unless the client disconnects first.
"""

from __future__ import annotations

from typing import Protocol

from msgspec import Struct

from tinrudder.gateway.clients.answers import build_answer
from tinrudder.gateway.clients.client_connection import ClientConnection
from tinrudder.gateway.clients.client_deadlines import Deadlines
from tinrudder.gateway.model.configuration import Route, Tenant
from tinrudder.gateway.model.http_messages import HttpRequest
from tinrudder.gateway.model.outcomes import NotRun, RequestOutcome, TimedOut
from tinrudder.gateway.observability.request_log import FinishedRequest
from tinrudder.gateway.peers.peer_messages import MissingShard
from tinrudder.gateway.requests.authentication import AuthenticatedRequest
from tinrudder.gateway.requests.process_end import PROCESS_ENDS, RETRY_AFTER_S, ProcessEnd
from tinrudder.gateway.requests.routes_in_force import RoutesInForce
from tinrudder.gateway.runs.call_context import CallContext


class Run(Protocol):
    """The execution of a request, on this gateway or at a coordinator."""

    @property
    def repeats(self) -> int:
        """Return how many retries and hedged calls were sent, over all shards."""

    @property
    def missing_shards(self) -> tuple[MissingShard, ...]:
        """Return the shards without an answer."""

    @property
    def waiting_service(self) -> str:
        """Return the service whose back ends have got nothing of the run yet; empty if there is
        none, or if the run is a scatter, which waits in a queue of its own.
        """

    def start(self) -> None:
        """Start the run."""

    def on_deadline_shortened(self) -> None:
        """Apply a deadline that a planned stop has brought forward."""

    def abandon(self) -> None:
        """End the run: the client has disconnected."""


class RequestOwner(Protocol):
    """Creates requests, and is notified when they end.

    :ivar in_progress: requests whose run has started and not ended.
    :ivar process_end: when this process ends, and the requests that have not ended yet.
    """

    in_progress: int
    call_context: CallContext
    process_end: ProcessEnd

    def refund_token(self, tenant: Tenant) -> None:
        """Refund the quota token of a granted request that has not run."""

    def finished(self, request: FinishedRequest) -> None:
        """Record the end of one request in logs and metrics."""


class AuthorizedRequest(Struct):
    """An authenticated request within its quota: the input of the start rules and the planner.

    :param authenticated: the request as it is forwarded, and its tenant.
    :param service: the service chosen on a route to a single back end; empty for a scatter.
    """

    routes: RoutesInForce
    route: Route
    authenticated: AuthenticatedRequest
    request_id: bytes
    deadlines: Deadlines
    service: str = ""

    @property
    def priority(self) -> int:
        """Return the priority; a smaller one is more urgent."""
        return self.authenticated.priority(self.route)

    @property
    def priority_steps(self) -> int:
        """Return how many configured priorities are more urgent than the request's."""
        return self.routes.priority_steps(self.priority)


class ClientRequest:
    """The state of one request, filled in by the checks on it; sends its answer.

    :ivar routes: the configuration in force at its arrival; ``None`` if there was none.
    :ivar request_id: empty until it has been validated.
    :ivar version: the version of that configuration; 0 until it has been checked.
    :ivar route: ``None`` until the request has been routed.
    :ivar deadlines: ``None`` until it starts.
    :ivar granted: it is counted against its tenant's quota.
    :ivar abandoned: its client has disconnected.
    """

    def __init__(
        self,
        owner: RequestOwner,
        http_request: HttpRequest,
        connection: ClientConnection,
        routes: RoutesInForce | None,
    ) -> None:
        """Record the current time as the time of arrival."""
        self.http_request = http_request
        self.routes = routes
        self.request_id = b""
        self.version = 0
        self.route: Route | None = None
        self.authenticated: AuthenticatedRequest | None = None
        self.deadlines: Deadlines | None = None
        self.run: Run | None = None
        self.granted = False
        self.abandoned = False
        self.received_at = owner.call_context.loop.time()
        self._owner = owner
        self._connection = connection
        owner.process_end.add(self)

    @property
    def tenant(self) -> Tenant | None:
        """Return the request's tenant; ``None`` before authentication, or without a key."""
        return self.authenticated.tenant if self.authenticated is not None else None

    @property
    def waiting_service(self) -> str:
        """Return the service that the request waits for; empty if it does not wait for one."""
        return self.run.waiting_service if self.run is not None else ""

    def authorized(self, deadlines: Deadlines) -> AuthorizedRequest:
        """Return the inputs of the start rules; the route and the tenant must be known."""
        self.deadlines = deadlines
        assert self.routes is not None
        assert self.route is not None
        assert self.authenticated is not None
        return AuthorizedRequest(
            self.routes, self.route, self.authenticated, self.request_id, deadlines
        )

    def end(self, outcome: RequestOutcome) -> None:
        """Answer the client."""
        owner = self._owner
        owner.process_end.remove(self)
        if self.run is not None:
            owner.in_progress -= 1
        if isinstance(outcome, NotRun):
            self.refund_token()
            outcome = self._for_another_gateway(outcome)
        answer = build_answer(outcome, owner.call_context.names, self.request_id or None)
        self._connection.answer(answer)
        owner.finished(self._finished(outcome))
        # Breaks the reference cycle of request and run, which would keep both in memory until the
        # next garbage collection.
        self.run = None

    def abandon(self) -> None:
        """Stop the run: the client has disconnected."""
        self.abandoned = True
        self._owner.process_end.remove(self)
        if self.run is not None:
            self._owner.in_progress -= 1
            self.run.abandon()
            self._owner.finished(self._finished(None))

    def end_by(self, at: float) -> None:
        """Move its deadline to ``at``, unless it ends earlier anyway."""
        if self.deadlines is not None and self.deadlines.shorten(at) and self.run is not None:
            self.run.on_deadline_shortened()

    def end_with_process(self) -> None:
        """Answer the client at the end of the process, whatever the request still waits for."""
        run = self.run
        if run is None:
            # A confirmation or the quota's decision is awaited; it must not start the request.
            self.abandoned = True
            self.end(NotRun(PROCESS_ENDS, RETRY_AFTER_S))
        else:
            run.abandon()
            self.end(TimedOut(PROCESS_ENDS))

    def refuse_at_process_end(self) -> None:
        """Refuse a request that waits for a back end: it cannot be served before the end."""
        assert self.run is not None
        self.run.abandon()
        self.end(NotRun(PROCESS_ENDS, RETRY_AFTER_S))

    def _for_another_gateway(self, refusal: NotRun) -> NotRun:
        """Return a refusal whose ``Retry-After`` allows for other gateways if this one ends."""
        if self.deadlines is None or not self.deadlines.is_shortened:
            return refusal
        return NotRun(refusal.detail, min(refusal.retry_after_s, RETRY_AFTER_S))

    def refund_token(self) -> None:
        """Refund the request's quota token, if it was counted against a quota."""
        if self.granted and self.tenant is not None:
            self.granted = False
            self._owner.refund_token(self.tenant)

    def _finished(self, outcome: RequestOutcome | None) -> FinishedRequest:
        """Return the request's record for logs and metrics."""
        run = self.run
        return FinishedRequest(
            request_id=self.request_id,
            route=self.route,
            target=self.http_request.target,
            version=self.version,
            outcome=outcome,
            elapsed_s=self._owner.call_context.loop.time() - self.received_at,
            missing_shards=run.missing_shards if run is not None else (),
            repeats=run.repeats if run is not None else 0,
            tenant=self.tenant.name if self.tenant is not None else "",
        )
