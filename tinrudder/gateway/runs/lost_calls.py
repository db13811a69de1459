"""What the end of a call says of its request: whether the back end crashed under it.

Owns no state.  Relies on the run's guard, which stops a request that crashes back ends, and on the
evidence that all gateways share (:class:`tinrudder.gateway.runs.run_guard.CrashEvidence`).
"""

from __future__ import annotations

from tinrudder.gateway.backends.backend import Backend
from tinrudder.gateway.model.http_messages import Answered, Broken, CallOutcome
from tinrudder.gateway.observability.request_log import log_call_lost
from tinrudder.gateway.runs.run_context import Attempt, RunContext

SURVIVAL_S = 0.04
"""When to look whether a back end that was lost with a call keeps other connections, seconds.  A
process that ends loses all of them at once.  Chosen, not measured: several round trips between
zones, and before others are told of the loss, unless the call was a canary: that is told at once,
and taken back."""


def report_end(run: RunContext, service: str, attempt: Attempt, outcome: CallOutcome) -> None:
    """Tell the guard how a call ended that had left."""
    match outcome:
        case Answered():
            assert attempt.running is not None
            run.guard.note_answered(attempt.backend.entry.life, attempt.running.sent_at)
        case Broken(detail=detail, unanswered=True):
            request = run.request
            backend_id = attempt.backend.backend_id
            log_call_lost(request.request_id, request.fingerprint, service, backend_id, detail)
            _suspect_crash(run, attempt)
        case _:
            run.guard.note_unanswered()


def _suspect_crash(run: RunContext, attempt: Attempt) -> None:
    """Hold a lost call against the request, unless its back end turns out to be alive."""
    backend = attempt.backend
    if run.guard.note_crash(backend.entry.life, canary=attempt.is_canary):
        loop = run.call_context.loop
        lost_at = loop.time()
        loop.call_later(SURVIVAL_S, _look_for_survivor, run, backend, lost_at)


def _look_for_survivor(run: RunContext, backend: Backend, lost_at: float) -> None:
    """Take a crash back where only one connection has ended."""
    if backend.pool.has_connection_from_before(lost_at):
        evidence = run.call_context.evidence
        evidence.note_survivor(run.request.fingerprint, backend.entry.life)
