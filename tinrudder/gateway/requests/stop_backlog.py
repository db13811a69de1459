"""Refuses waiting requests that a stopping gateway cannot serve before its end.

Owns no state.  Relies on :mod:`tinrudder.gateway.decisions.admission.stop_backlog` for how many can
be served, on the process end for the time left, and on its caller to apply it again and again:
requests go on arriving, and back ends turn slower or faster.
"""

from __future__ import annotations

from collections import defaultdict

from tinrudder.gateway.decisions.admission.stop_backlog import servable_count
from tinrudder.gateway.requests.client_request import ClientRequest
from tinrudder.gateway.requests.process_end import ProcessEnd
from tinrudder.gateway.runs.call_context import CallContext

MAX_REFUSED_AT_ONCE = 64
"""Maximum number of requests refused in one turn of the event loop, so that others are served in
between."""


class StopBacklog:
    """The requests that wait for a connection while this gateway stops."""

    def __init__(self, process_end: ProcessEnd, call_context: CallContext) -> None:
        """Judge the requests that ``process_end`` has recorded."""
        self._process_end = process_end
        self._call_context = call_context

    def refuse_unservable(self) -> None:
        """Refuse some of the requests that cannot be served in time, the latest ones first."""
        waiting: defaultdict[str, list[ClientRequest]] = defaultdict(list)
        for request in self._process_end.requests():
            if isinstance(request, ClientRequest) and (service := request.waiting_service):
                waiting[service].append(request)
        left = MAX_REFUSED_AT_ONCE
        for service, requests in waiting.items():
            requests.sort(key=lambda one: one.received_at)
            unservable = requests[self._servable_count(service, requests) :]
            for request in reversed(unservable[-left:] if left else []):
                request.refuse_at_process_end()
                left -= 1

    def _servable_count(self, service: str, requests: list[ClientRequest]) -> int:
        """Return how many of the waiting requests of a service can be served."""
        context = self._call_context
        left_s = self._process_end.answers_until - context.loop.time()
        routes = [one.route for one in requests if one.route is not None]
        medians_s = {
            name: context.median_time_s(route)
            for name, route in {route.name: route for route in routes}.items()
        }
        connections = context.directory.connection_limit(service)
        return servable_count((medians_s[one.name] for one in routes), connections, left_s)
