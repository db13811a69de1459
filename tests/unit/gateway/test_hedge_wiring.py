"""When the hedge of a shard is sent, given the latencies of its route."""

from __future__ import annotations

from tests.unit.gateway.test_shard_calls_machine import (
    NAMES,
    SERVICE,
    FakeDirectory,
    LocalEvidence,
    ManualLoop,
)
from tinrudder.gateway.backends.load_reports import LoadReports
from tinrudder.gateway.clients.client_deadlines import Deadlines
from tinrudder.gateway.model.configuration import RepeatBounds, Route
from tinrudder.gateway.model.http_messages import HttpRequest
from tinrudder.gateway.runs.call_context import CallContext
from tinrudder.gateway.runs.request_bytes import RequestBytes
from tinrudder.gateway.runs.run_context import RunContext
from tinrudder.gateway.runs.shard_calls import ShardCalls
from tinrudder.platform.load_header import decode_load_report

OBJECTIVE_S = 0.063


def start_shard(loop: ManualLoop, latencies_s: list[float], left_s: float) -> ShardCalls:
    """Return a shard of three replicas whose first call has just been sent."""
    directory = FakeDirectory(3, [True] * 3)
    call_context = CallContext(
        load_reports=LoadReports(decode_load_report, loop.time),
        loop=loop,  # type: ignore[arg-type]
        names=NAMES,
        zone="zone",
        directory=directory,  # type: ignore[arg-type]
        bounds=RepeatBounds(1.0, 1000.0, 10.0),
        budget_parts=lambda service: 1.0,
        started_at=0.0,
        evidence=LocalEvidence(loop),
    )
    route = Route("r", "h", "/", True, 5.0, OBJECTIVE_S, 3, 0, shards=(SERVICE,))
    for latency_s in latencies_s:
        call_context.latency(route).observe(latency_s)
    deadlines = Deadlines(loop.now, loop.now + left_s, loop.now + 5.0)
    request = RequestBytes(HttpRequest(b"GET", b"/", (), b""), b"id", deadlines, NAMES)
    run = RunContext.of(call_context, route, request, deadlines)
    shard = ShardCalls(SERVICE, run, lambda shard: None)
    shard.start(loop.now)
    return shard


def advance_to_next_action(loop: ManualLoop, shard: ShardCalls) -> None:
    loop.now = shard.next_at
    shard.on_due(loop.now)


def test_a_second_call_leaves_while_it_can_be_in_time() -> None:
    """Calls usually take 18 ms, 48 ms are left: a hedge after 1.9 medians, 34 ms, is too late."""
    loop = ManualLoop()
    shard = start_shard(
        loop, [0.015 + number % 7 * 0.001 for number in range(960)] + [0.2] * 40, 0.048
    )
    started_at = loop.now
    advance_to_next_action(loop, shard)
    assert shard.sends == 2
    assert 0.015 < loop.now - started_at < 0.026


def test_a_second_call_that_cannot_be_in_time_waits_for_the_moment_of_the_answer() -> None:
    """Calls take 50 ms, 45 ms are left: a hedge after 38 ms could not be in time."""
    loop = ManualLoop()
    shard = start_shard(loop, [0.050] * 500, 0.045)
    started_at = loop.now
    advance_to_next_action(loop, shard)
    assert shard.sends == 1
    advance_to_next_action(loop, shard)
    assert shard.sends == 2
    assert loop.now - started_at >= 0.045


def test_before_latencies_are_known_a_share_of_the_objective_decides() -> None:
    loop = ManualLoop()
    started_at = loop.now
    advance_to_next_action(loop, start_shard(loop, [], 0.048))
    assert 0.0 < loop.now - started_at <= 0.6 * OBJECTIVE_S
