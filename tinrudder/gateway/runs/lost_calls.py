"""Detects back ends that crashed while they were running a request.

Owns no state.  The run's guard stops a request that crashes back ends; the evidence is shared by
all gateways (:class:`tinrudder.gateway.runs.run_guard.CrashEvidence`).
"""

from __future__ import annotations

from tinrudder.gateway.backends.backend import Backend
from tinrudder.gateway.model.http_messages import Answered, Broken, CallOutcome
from tinrudder.gateway.observability.request_log import log_call_lost
from tinrudder.gateway.runs.run_context import Attempt, RunContext

SURVIVAL_CHECK_DELAY_S = 0.04
"""Delay before checking whether a back end that lost a call still has other connections, seconds.
A process that ends loses all of them at once.  Covers several round trips between zones.  The check
runs before other gateways are informed of the loss; only the loss of a canary is sent at once, and
revoked if the back end has survived."""


def report_to_guard(run: RunContext, service: str, attempt: Attempt, outcome: CallOutcome) -> None:
    """Report the outcome of a call that was sent to the run's guard."""
    match outcome:
        case Answered():
            assert attempt.running is not None
            run.guard.note_answered(attempt.backend.entry.incarnation_id, attempt.running.sent_at)
        case Broken(detail=detail, unanswered=True):
            request = run.request
            backend_id = attempt.backend.backend_id
            log_call_lost(request.request_id, request.fingerprint, service, backend_id, detail)
            _suspect_crash(run, attempt)
        case _:
            run.guard.note_unanswered()


def _suspect_crash(run: RunContext, attempt: Attempt) -> None:
    """Record that a back end crashed while running the request, and schedule a survival check."""
    backend = attempt.backend
    if run.guard.note_crash(backend.entry.incarnation_id, canary=attempt.is_canary):
        loop = run.call_context.loop
        lost_at = loop.time()
        loop.call_later(SURVIVAL_CHECK_DELAY_S, _check_survival, run, backend, lost_at)


def _check_survival(run: RunContext, backend: Backend, lost_at: float) -> None:
    """Revoke a crash if the back end still has a connection from before the loss."""
    if backend.pool.has_connection_older_than(lost_at):
        evidence = run.call_context.evidence
        evidence.withdraw_crash(run.request.fingerprint, backend.entry.incarnation_id)
