"""When an answer to a client is worth most, and when the last one must leave.

Owns, for each route, the longest time that a client has named.  Relies on clients that name what is
left of their time when they ask again; whoever names nothing gets the route's own timeout.
"""

from __future__ import annotations

from collections.abc import Set

from msgspec import Struct

from tinrudder.gateway.model.configuration import HeaderNames, Route
from tinrudder.gateway.model.http_messages import HttpRequest

MILLISECONDS = 1000.0
"""In a second."""
ANSWER_MARGIN_S = 0.015
"""How long before the objective an answer leaves, seconds.  Chosen, not measured: a client counts
from when it begins to connect, so four times 3 ms of a path between cities for connecting, the
request and the answer, and 3 ms of work."""
DEADLINE_MARGIN_S = 0.02
"""How long before the deadline the final answer leaves, seconds.  Chosen, not measured: a little
more than the path of :data:`ANSWER_MARGIN_S`, since nothing after it is worth anything."""
LARGEST_MARGIN_SHARE = 0.25
"""The most of a client's time that :data:`DEADLINE_MARGIN_S` may take, a share.  Chosen, not
measured: who waits for 0.08 s or less still gets most of that time."""
RETURNING_AFTER_S = 0.01
"""A request that names so much less time than the longest on its route is of a client that came
before, seconds.  Chosen, not measured: more than rounding makes, less than clients wait after a
refusal."""


class Deadlines(Struct, frozen=True):
    """Monotonic times of one request.

    :param objective_at: when an answer must leave to be worth most.
    :param deadline_at: when a final answer must leave.
    :param returning: the client has been waiting since an earlier attempt.
    :param late: the objective passed meanwhile; ``objective_at`` is that of a new request.
    """

    received_at: float
    objective_at: float
    deadline_at: float
    returning: bool = False
    late: bool = False


class ClientDeadlines:
    """Works out deadlines from what clients say of their patience.

    A client that asks again names what is left of its time, so the longest time that was named on
    a route tells how long a request has been under way already.
    """

    def __init__(self, names: HeaderNames) -> None:
        """Know no route yet."""
        self._names = names
        self._longest_s: dict[str, float] = {}

    def of(self, route: Route, request: HttpRequest, received_at: float) -> Deadlines:
        """Return the deadlines of one request."""
        wait_s = self._wait_s(request)
        if wait_s is None:
            wait_s = route.timeout_s
        longest_s = max(wait_s, self._longest_s.get(route.name, 0.0))
        self._longest_s[route.name] = longest_s
        already_s = longest_s - wait_s
        limit_s = min(wait_s, route.timeout_s)
        # Whoever comes back when the objective has passed is served by it anew: the answer is
        # late in any case, or its first attempt was refused and does not count.
        started_at = received_at - already_s if already_s < route.objective_s else received_at
        return Deadlines(
            received_at=received_at,
            objective_at=started_at + route.objective_s - ANSWER_MARGIN_S,
            deadline_at=received_at
            + limit_s
            - min(DEADLINE_MARGIN_S, limit_s * LARGEST_MARGIN_SHARE),
            returning=already_s > RETURNING_AFTER_S,
            late=already_s >= route.objective_s,
        )

    def forget_unused(self, routes: Set[str]) -> None:
        """Drop what belongs to routes that are not named any more."""
        for name in self._longest_s.keys() - routes:
            del self._longest_s[name]

    def _wait_s(self, request: HttpRequest) -> float | None:
        """Return how long the client will wait, ``None`` if it does not say."""
        for header, value in request.headers:
            if header == self._names.deadline_ms and value.strip().isdigit():
                return int(value) / MILLISECONDS
        return None
