"""One client's request between its arrival and its answer.

Owns what is known of the request so far and its run, if it has one.  Relies on the
:class:`RequestOwner` that made it for counts, quota and log, and on the client's connection, which
gets exactly one answer unless the client leaves before.
"""

from __future__ import annotations

from typing import Protocol

from msgspec import Struct

from tinrudder.gateway.clients.answers import build_answer
from tinrudder.gateway.clients.client_connection import ClientConnection
from tinrudder.gateway.clients.client_deadlines import Deadlines
from tinrudder.gateway.model.configuration import Route, Tenant
from tinrudder.gateway.model.http_messages import HttpRequest
from tinrudder.gateway.model.outcomes import NotRun, RequestOutcome
from tinrudder.gateway.observability.request_log import FinishedRequest
from tinrudder.gateway.peers.peer_messages import MissingShard
from tinrudder.gateway.requests.authentication import AuthenticatedRequest
from tinrudder.gateway.requests.routes_in_force import RoutesInForce
from tinrudder.gateway.runs.call_context import CallContext


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


class RequestOwner(Protocol):
    """Takes the end of its requests.

    :ivar in_progress: requests that have a run, which has not ended.
    """

    in_progress: int
    call_context: CallContext

    def give_back(self, tenant: Tenant) -> None:
        """Let a tenant ask again for what was granted and has not run."""

    def finished(self, request: FinishedRequest) -> None:
        """Take the end of one request, for logs and metrics."""


class AuthorizedRequest(Struct):
    """A request that its caller may make: what is needed to judge and to plan its run.

    :param authenticated: the request as everybody behind the entry sees it, and its tenant.
    :param service: the one chosen of a route to a single back end; empty for a scatter.
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
    def steps_below_urgent(self) -> int:
        """Return how many priorities in use are more urgent than the request's."""
        return self.routes.steps_below_urgent(self.priority)


class ClientRequest:
    """Collects what is found out of one request, and ends it.

    :ivar routes: the configuration in force at its arrival; ``None`` if there was none.
    :ivar request_id: empty until it is known to be well-formed, as ``version`` is 0 and ``route``
        is ``None`` until a configuration says so.
    :ivar granted: its tenant's quota counts it.
    :ivar abandoned: its client has left.
    """

    def __init__(
        self,
        owner: RequestOwner,
        http_request: HttpRequest,
        connection: ClientConnection,
        routes: RoutesInForce | None,
    ) -> None:
        """Begin at this moment."""
        self.http_request = http_request
        self.routes = routes
        self.request_id = b""
        self.version = 0
        self.route: Route | None = None
        self.authenticated: AuthenticatedRequest | None = None
        self.run: Run | None = None
        self.granted = False
        self.abandoned = False
        self.received_at = owner.call_context.loop.time()
        self._owner = owner
        self._connection = connection

    @property
    def tenant(self) -> Tenant | None:
        """Return on whose behalf it runs, as far as that is known."""
        return self.authenticated.tenant if self.authenticated is not None else None

    def authorized(self, deadlines: Deadlines) -> AuthorizedRequest:
        """Return what was found out, once its route and its caller are known."""
        assert self.routes is not None
        assert self.route is not None
        assert self.authenticated is not None
        return AuthorizedRequest(
            self.routes, self.route, self.authenticated, self.request_id, deadlines
        )

    def end(self, outcome: RequestOutcome) -> None:
        """Answer the client."""
        owner = self._owner
        if self.run is not None:
            owner.in_progress -= 1
        if isinstance(outcome, NotRun):
            self.give_back()
        answer = build_answer(outcome, owner.call_context.names, self.request_id or None)
        self._connection.answer(answer)
        owner.finished(self._finished(outcome))
        # Else the cycle of the two keeps the request until the collector's next run.
        self.run = None

    def abandon(self) -> None:
        """Stop for a client that has left."""
        self.abandoned = True
        if self.run is not None:
            self._owner.in_progress -= 1
            self.run.abandon()
            self._owner.finished(self._finished(None))

    def give_back(self) -> None:
        """Return to the tenant's quota what was granted and has not run."""
        if self.granted and self.tenant is not None:
            self.granted = False
            self._owner.give_back(self.tenant)

    def _finished(self, outcome: RequestOutcome | None) -> FinishedRequest:
        """Describe the end for logs and metrics."""
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
