"""Computes when the answer to a client should be sent, and the latest time at which it may be sent.

Owns, for each route, the longest timeout that a client has stated.  Assumes that a client that
retries states its remaining time; a client that states none gets the route's timeout.
"""

from __future__ import annotations

from collections.abc import Set

from msgspec import Struct

from tinrudder.gateway.model.configuration import HeaderNames, Route
from tinrudder.gateway.model.http_messages import HttpRequest

MILLISECONDS_PER_S = 1000.0
"""Milliseconds in a second."""
ANSWER_MARGIN_S = 0.015
"""How long before the objective an answer is sent, seconds.  Clients measure from when they begin
to connect: four trips of 3 ms between cities, for connecting, the request and the answer, and 3 ms
of work."""
DEADLINE_MARGIN_S = 0.02
"""How long before the deadline the final answer is sent, seconds.  Slightly more than the trips of
:data:`ANSWER_MARGIN_S`, since an answer after the deadline is worthless."""
MAX_MARGIN_FRACTION = 0.25
"""Upper bound of :data:`DEADLINE_MARGIN_S` as a fraction of the client's timeout.  A client with a
timeout of 0.08 s or less keeps three quarters of it."""
RETRY_DETECTION_S = 0.01
"""Seconds by which a request's stated time must be below the longest on its route to make it a
retry.  More than rounding causes, and less than clients wait after a refusal."""


class Deadlines(Struct):
    """Monotonic times of one request, shared by everything that waits for it.

    :param objective_at: when an answer must be sent to meet the route's latency objective.
    :param deadline_at: when the final answer must be sent.
    :param returning: the request is a retry; the client has waited since an earlier attempt.
    :param late: the objective passed before this attempt; ``objective_at`` is that of a new
        request.
    :param is_shortened: the process ends before the client's own deadline.
    """

    received_at: float
    objective_at: float
    deadline_at: float
    returning: bool = False
    late: bool = False
    is_shortened: bool = False

    def shorten(self, at: float) -> bool:
        """Move the deadline to ``at`` if it is later; return whether it was."""
        if at >= self.deadline_at:
            return False
        self.deadline_at = at
        self.objective_at = min(self.objective_at, at)
        self.is_shortened = True
        return True


class ClientDeadlines:
    """Computes deadlines from the timeouts that clients state.

    A client that retries states its remaining time, so the difference to the longest time stated on
    the route is how long the request has been in progress.
    """

    def __init__(self, names: HeaderNames) -> None:
        """Start without any route."""
        self._names = names
        self._longest_timeouts_s: dict[str, float] = {}

    def of(self, route: Route, request: HttpRequest, received_at: float) -> Deadlines:
        """Return the deadlines of one request."""
        client_timeout_s = self._stated_timeout_s(request)
        if client_timeout_s is None:
            client_timeout_s = route.timeout_s
        longest_timeout_s = max(client_timeout_s, self._longest_timeouts_s.get(route.name, 0.0))
        self._longest_timeouts_s[route.name] = longest_timeout_s
        elapsed_s = longest_timeout_s - client_timeout_s
        limit_s = min(client_timeout_s, route.timeout_s)
        # A retry after the objective has passed gets a new objective: the answer is late in any
        # case, or the first attempt was refused and does not count.
        started_at = received_at - elapsed_s if elapsed_s < route.objective_s else received_at
        return Deadlines(
            received_at=received_at,
            objective_at=started_at + route.objective_s - ANSWER_MARGIN_S,
            deadline_at=received_at
            + limit_s
            - min(DEADLINE_MARGIN_S, limit_s * MAX_MARGIN_FRACTION),
            returning=elapsed_s > RETRY_DETECTION_S,
            late=elapsed_s >= route.objective_s,
        )

    def forget_unused(self, routes: Set[str]) -> None:
        """Drop the data of routes that are not in ``routes``."""
        for name in self._longest_timeouts_s.keys() - routes:
            del self._longest_timeouts_s[name]

    def _stated_timeout_s(self, request: HttpRequest) -> float | None:
        """Return the timeout that the client states; ``None`` if it states none."""
        for header, value in request.headers:
            if header == self._names.deadline_ms and value.strip().isdigit():
                return int(value) / MILLISECONDS_PER_S
        return None
