"""Records the outcome of a call, also after the request has ended.

Owns no state: latencies go to the call context, queue lengths and failures to the back end's
observations, load reports of shared services to the load listener, which informs other gateways,
and answers to the zone monitor.
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
"""First HTTP status that means that the back end failed, rather than that the request was wrong."""
SHED_STATUSES = frozenset((429, 503))
"""Statuses of rejections for overload; other rejections mean that the back end cannot run it."""


def record_call_end(
    call_context: CallContext,
    route: Route,
    backend: Backend,
    running: RunningCall | None,
    outcome: CallOutcome,
    now: float,
) -> None:
    """Record the outcome of one call.

    :param running: the call as it was sent; ``None`` if no byte was sent.
    """
    observations = backend.observations
    if isinstance(outcome, Answered | Rejected):
        call_context.zone_answered(backend.entry.zone)
    match outcome:
        case Answered(answer=answer):
            _observe_answer(call_context, route, backend, running, answer, now)
        case Rejected(status=status, wrong_backend=wrong_backend, load=load):
            call_context.counters.rejections += 1
            backend.address_reused |= wrong_backend
            observations.failed(running, now)
            if status in SHED_STATUSES and not route.shards:
                _observe_shed(call_context, route, backend, load, now)
        case NotSent():
            observations.failed(running, now)
        case Broken(stood_still=True):
            call_context.counters.broken += 1
            if running is not None:
                observations.drop_call(running)
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
    """Record the latency of an answer and the load that the back end reports in it."""
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
    """Record the load that a back end reports, and the latency of a call that did not queue."""
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
            observations.record_service_time(latency_s)
    if not route.shards:
        service_time_s = call_context.unloaded_median_s(route)
        call_context.load_listener.on_load(backend, shed=False, service_time_s=service_time_s)


def _observe_shed(
    call_context: CallContext, route: Route, backend: Backend, load: bytes | None, now: float
) -> None:
    """Record that the queue of a back end which many gateways call is full."""
    report = call_context.load_reports.read(load, backend.backend_id) if load is not None else None
    calls = report.running + report.waiting if report is not None else 0
    if backend.observations.shed(now, backlog=calls):
        service_time_s = call_context.unloaded_median_s(route)
        call_context.load_listener.on_load(backend, shed=True, service_time_s=service_time_s)
