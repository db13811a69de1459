"""Checks a client's request, finds its route, and runs it."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from tinrudder.gateway.admission import Admission
from tinrudder.gateway.answers import build_answer
from tinrudder.gateway.client_connection import ClientConnection, RequestInProgress
from tinrudder.gateway.client_moments import ClientMoments, Moments
from tinrudder.gateway.forwarding import Forwarding
from tinrudder.gateway.messages import HttpRequest
from tinrudder.gateway.model import ClientLimits, GatewayConfiguration, Route
from tinrudder.gateway.outcomes import (
    STATUS_BAD_REQUEST,
    Invalid,
    NotRun,
    RequestOutcome,
    UnknownRoute,
)
from tinrudder.gateway.request_bytes import RequestBytes
from tinrudder.gateway.request_log import FinishedRequest, RequestObserver
from tinrudder.gateway.request_run import RequestRun
from tinrudder.gateway.shared_state import SharedState
from tinrudder.routing.route_table import RouteTable
from tinrudder.routing.weighted_rotation import WeightedRotation

RETRY_AFTER_START_S = 0.3
ROTATION_SPREAD = 8


@dataclass(slots=True)
class RoutesInForce:
    """One configuration, indexed.

    :param priorities: those that any route has, the most urgent first.
    """

    configuration: GatewayConfiguration
    table: RouteTable[Route]
    rotations: dict[str, WeightedRotation] = field(default_factory=dict)
    priorities: tuple[int, ...] = ()

    def steps_below_urgent(self, route: Route) -> int:
        """Return how many priorities in use are more urgent than a route's."""
        return sum(1 for priority in self.priorities if priority < route.priority)


class InvalidRequestError(Exception):
    """The request breaks a rule of the protocol."""


class RequestHandler:
    """Serves clients' requests by the configuration in force."""

    def __init__(
        self,
        forwarding: Forwarding,
        state: SharedState,
        observer: RequestObserver,
        random_source: random.Random,
        knows_news: Callable[[], bool],
    ) -> None:
        """Report every finished request to ``observer``.

        :param knows_news: tells whether this gateway would know of a newer configuration.
        """
        self._knows_news = knows_news
        self.closing = False
        self.in_progress = 0
        self.forwarding = forwarding
        self._state = state
        self._observer = observer
        self._random = random_source
        self._routes: RoutesInForce | None = None
        self._moments = ClientMoments(forwarding.names)
        self._admission = Admission(forwarding, random_source)
        state.subscribe(self._refresh)

    @property
    def limits(self) -> ClientLimits:
        """Return the limits in force."""
        if self._routes is None:
            return ClientLimits()
        return self._routes.configuration.limits

    def handle(self, request: HttpRequest, connection: ClientConnection) -> RequestInProgress:
        """Serve one request."""
        serving = _Serving(self, request, connection, self.forwarding.loop.time())
        self.forwarding.counters.requests += 1
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
        route = self._find(routes, request)
        if route is None:
            serving.end(self._without_route())
            return serving
        serving.route = route
        moments = self._moments.of(route, request, serving.received_at)
        services = route.shards or (self._choose_service(routes, route),)
        steps = routes.steps_below_urgent(route)
        refusal = self._admission.refusal(route, services, moments, steps)
        if refusal is not None:
            self.forwarding.counters.refused += 1
            serving.end(refusal)
            return serving
        run = self._new_run(route, services, request, moments, serving)
        self.in_progress += 1
        serving.run = run
        run.start()
        return serving

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
        id_name = self.forwarding.names.request_id
        ids = [value for name, value in request.headers if name == id_name]
        if len(ids) != 1 or not ids[0]:
            raise InvalidRequestError("request id: must stand exactly once")
        return ids[0]

    def _find(self, routes: RoutesInForce, request: HttpRequest) -> Route | None:
        """Return the request's route."""
        host = next(value for name, value in request.headers if name == b"host")
        name = host.decode("latin-1").lower()
        if name.count(":") == 1:
            name = name.partition(":")[0]
        return routes.table.find(name, request.path.decode("latin-1"))

    def _without_route(self) -> RequestOutcome:
        """Say that there is no route, but only if a newer configuration would be known here."""
        if self._knows_news():
            return UnknownRoute()
        return NotRun("no route, and no word from store or peers lately", RETRY_AFTER_START_S)

    def _new_run(
        self,
        route: Route,
        services: tuple[str, ...],
        request: HttpRequest,
        moments: Moments,
        serving: _Serving,
    ) -> RequestRun:
        """Plan one request."""
        encoded = RequestBytes(
            request, serving.request_id, moments.deadline_at, self.forwarding.names
        )
        return RequestRun(route, services, encoded, moments, self.forwarding, serving.end)

    def _choose_service(self, routes: RoutesInForce, route: Route) -> str:
        """Return the service whose turn it is."""
        if len(route.services) == 1:
            return route.services[0].service
        rotation = routes.rotations.get(route.name)
        if rotation is None:
            weights = {part.service: part.weight for part in route.services}
            rotation = WeightedRotation(weights, self._random.randrange(ROTATION_SPREAD))
            routes.rotations[route.name] = rotation
        return rotation.next()

    def _refresh(self) -> None:
        """Index a configuration that has just come into force."""
        accepted = self._state.accepted
        if accepted is None:
            return
        configuration = accepted.configuration
        if self._routes is not None and self._routes.configuration is configuration:
            return
        priorities = tuple(sorted({route.priority for route in configuration.routes}))
        self._routes = RoutesInForce(
            configuration, RouteTable(configuration.routes), priorities=priorities
        )
        names = frozenset(route.name for route in configuration.routes)
        self.forwarding.forget_unused(frozenset(configuration.services), names)
        self._moments.forget_unused(names)


class _Serving:
    """One request between its arrival and its answer."""

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
        self.run: RequestRun | None = None
        self.received_at = received_at
        self._handler = handler
        self._request = request
        self._connection = connection

    def end(self, outcome: RequestOutcome) -> None:
        """Answer the client."""
        handler = self._handler
        forwarding = handler.forwarding
        if self.run is not None:
            handler.in_progress -= 1
        answer = build_answer(outcome, forwarding.names, self.request_id or None)
        self._connection.answer(answer)
        handler.finished(self._finished(outcome))

    def abandon(self) -> None:
        """Stop for a client that has left."""
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
            elapsed_s=self._handler.forwarding.loop.time() - self.received_at,
            shards=run.shards if run is not None else [],
            repeats=run.repeats if run is not None else 0,
        )
