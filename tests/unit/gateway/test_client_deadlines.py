"""Deadlines of a request, as seen by a client on a path with high latency."""

from __future__ import annotations

from tests.unit.gateway.test_shard_calls_machine import NAMES
from tinrudder.gateway.clients.client_deadlines import ClientDeadlines
from tinrudder.gateway.model.configuration import Route
from tinrudder.gateway.model.http_messages import HttpRequest

MAX_ONE_WAY_LATENCY_S = 0.003
"""Largest one-way latency of the sites served, seconds."""
ONE_WAY_TRIPS = 3
WORK_S = 0.002


def test_an_answer_cut_at_the_objective_is_in_time_for_a_client_that_connects_anew() -> None:
    route = Route("r", "h", "/", True, timeout_s=0.8, objective_s=0.057, attempts=2, priority=1)
    request = HttpRequest(b"GET", b"/", (), b"")
    began_at = 50.0
    received_at = began_at + ONE_WAY_TRIPS * MAX_ONE_WAY_LATENCY_S
    deadlines = ClientDeadlines(NAMES).of(route, request, received_at)
    arrives_at = deadlines.objective_at + WORK_S + MAX_ONE_WAY_LATENCY_S
    assert arrives_at <= began_at + route.objective_s
