"""What a gateway learns from the end of one call, also when nobody waits for it any more.

Owns no state: latencies and sizes go to the context of calls, queues and failures to the back end's
observations, long queues of shared services to other gateways, answers to the monitor of zones.
"""

from __future__ import annotations

from tinrudder.gateway.backends.backend import Backend
from tinrudder.gateway.decisions.placement.backend_observations import RunningCall
from tinrudder.gateway.model.configuration import Route
from tinrudder.gateway.model.http_messages import (
    Answered,
    Broken,
    CallOutcome,
    HttpAnswer,
    NotSent,
    Rejected,
    header_value,
)
from tinrudder.gateway.runs.call_context import CallContext

SERVER_ERROR = 500
"""The first status that says that the back end failed, rather than the request."""
SHED_STATUSES = frozenset((429, 503))
"""Rejections for load; others say that the request cannot be run there at all."""


def observe_end(
    call_context: CallContext,
    route: Route,
    backend: Backend,
    running: RunningCall | None,
    outcome: CallOutcome,
    now: float,
) -> None:
    """Take the end of one call.

    :param running: the call as it was sent; ``None``: no byte of it left.
    """
    observations = backend.observations
    if isinstance(outcome, Answered | Rejected):
        call_context.zone_answered(backend.entry.zone)
    match outcome:
        case Answered(answer=answer):
            _observe_answer(call_context, route, backend, running, answer, now)
        case Rejected(status=status, wrong_backend=wrong_backend, load=load):
            call_context.counters.rejections += 1
            backend.readdressed |= wrong_backend
            observations.failed(running, now)
            if status in SHED_STATUSES and not route.shards:
                _observe_shed(call_context, route, backend, load, now)
        case NotSent():
            observations.failed(running, now)
        case Broken(stood_still=True):
            call_context.counters.broken += 1
            if running is not None:
                observations.forget(running)
        case Broken():
            call_context.counters.broken += 1
            observations.failed(running, now)


def _observe_answer(
    call_context: CallContext,
    route: Route,
    backend: Backend,
    running: RunningCall | None,
    answer: HttpAnswer,
    now: float,
) -> None:
    """Learn how long an answer took, and what it says of the back end's load."""
    latency_s = now - running.sent_at if running is not None else None
    _observe_load(call_context, route, backend, answer, latency_s, now)
    if running is None:
        return
    call_context.latency(route).observe(now - running.sent_at)
    if answer.status < SERVER_ERROR:
        backend.observations.answered(running, now)
    else:
        backend.observations.failed(running, now)


def _observe_load(
    call_context: CallContext,
    route: Route,
    backend: Backend,
    answer: HttpAnswer,
    latency_s: float | None,
    now: float,
) -> None:
    """Learn what a back end says of its load, and how long calls take without waiting."""
    value = header_value(answer.headers, call_context.names.load)
    if value is None:
        return
    report = call_context.load_reports.read(value, backend.backend_id)
    if report is None:
        return
    observations = backend.observations
    observations.reported(report.running, report.waiting, report.slots, now, report.slowdown)
    if report.waiting == 0 and latency_s is not None:
        call_context.unloaded_latency(route).observe(latency_s)
        if not route.shards:
            observations.worked(latency_s)
    if not route.shards:
        work_s = call_context.unloaded_median_s(route)
        call_context.load_listener.heard(backend, shed=False, work_s=work_s)


def _observe_shed(
    call_context: CallContext, route: Route, backend: Backend, load: bytes | None, now: float
) -> None:
    """Learn that a back end which many gateways may call has no place left in its queue."""
    report = call_context.load_reports.read(load, backend.backend_id) if load is not None else None
    calls = report.running + report.waiting if report is not None else 0
    if backend.observations.shed(now, backlog=calls):
        work_s = call_context.unloaded_median_s(route)
        call_context.load_listener.heard(backend, shed=True, work_s=work_s)
