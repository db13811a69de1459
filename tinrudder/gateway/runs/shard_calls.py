"""Makes the calls of one shard for one request: the first call, hedges and retries.

A *hedge* is sent while another call is in progress, a *retry* after a call has failed.  Both are
*repeats*, charged to the retry budget of the shard's service.  A request runs at most once unless
its route is repeatable.

Owns the calls until one is answered or nothing more can be tried.  The run calls
:meth:`ShardCalls.on_due` at :attr:`ShardCalls.next_at`, the run's guard decides what may be sent
after back ends have crashed, and :class:`ShardReplicas` tracks the back ends that were tried.

A call may wait for a connection between the choice of its back end and the moment at which it is
sent.  The conditions are therefore checked again when it is sent, see
:meth:`ShardCalls._may_send`.
"""

from __future__ import annotations

from collections.abc import Callable

from tinrudder.gateway.backends.backend import Backend
from tinrudder.gateway.decisions.admission.memory_bound import large_body_bytes
from tinrudder.gateway.decisions.attempts.hedge_delay import typical_latency_s
from tinrudder.gateway.model.http_messages import (
    Answered,
    Broken,
    CallOutcome,
    HttpAnswer,
    NotSent,
    Rejected,
    UpstreamCall,
    Withdrawn,
)
from tinrudder.gateway.runs.call_observation import SERVER_ERROR, record_call_end
from tinrudder.gateway.runs.hedge_timing import HedgeTimes, hedge_times
from tinrudder.gateway.runs.lost_calls import report_to_guard
from tinrudder.gateway.runs.replica_choice import choose_replica
from tinrudder.gateway.runs.retry_rule import (
    MAX_SENDS,
    MAX_TRIES,
    NO_BACKOFF,
    TRIES_AT_ONCE,
    ShardTries,
    retry_backoff_s,
)
from tinrudder.gateway.runs.run_context import NEVER, Attempt, RunContext
from tinrudder.gateway.runs.run_guard import POISON_REFUSAL, Permission
from tinrudder.gateway.runs.shard_replicas import ShardReplicas

DENIED_RETRY_DELAY_S = 0.02
"""Delay before trying again when the retry budget or long queues prevented a call, seconds.  Like
:data:`HOLD_POLL_INTERVAL_S`, a third of the tightest objective."""
HOLD_POLL_INTERVAL_S = 0.02
"""Poll interval of a call that must wait for another one to end, where no event reports that end,
seconds.  A third of the tightest objective (0.056 s)."""
PROCESS_ENDS = "the gateway stops before a back end could answer"
"""Why a call was not sent during a planned stop."""
RELEASED_ANSWER = HttpAnswer(200, b"", (), b"")
"""Placeholder for an answer that was released."""


def _ignore_change(shard: ShardCalls) -> None:
    """Do nothing, since the run has ended."""


class ShardCalls:
    """Runs one shard's calls until one is answered or nothing more can be tried.

    :ivar part: the answer, once there is one.
    :ivar failure: the last answer with an error status.
    :ivar last_error: why there is no answer, for logs and clients; empty at first.
    :ivar next_at: when to call :meth:`on_due`, by the loop's clock; :data:`NEVER` if not at all.
    :ivar sends: number of calls sent.
    """

    def __init__(
        self,
        service: str,
        run: RunContext,
        on_change: Callable[[ShardCalls], None],
        *,
        called_by_other_gateway: bool = False,
    ) -> None:
        """Prepare the calls of ``service``; :meth:`start` sends the first one.

        :param on_change: called whenever a call has ended, until the run ends.
        :param called_by_other_gateway: whether another gateway has called the shard's back ends
            for this request, so that every call from here is a repeat.
        """
        self.service = service
        self.part: HttpAnswer | None = None
        self.failure: HttpAnswer | None = None
        self.last_error = ""
        self.next_at = NEVER
        self.sends = 0
        self._run = run
        self._on_change = on_change
        self._called_by_other_gateway = called_by_other_gateway
        self._ended = False
        self._attempts: list[Attempt] = []
        self._tries = 0
        self._replicas = ShardReplicas(run, service)
        self._budget = run.call_context.budget(service)
        self._latency = run.call_context.latency(run.route)
        self._hedge_times = HedgeTimes()

    @property
    def running(self) -> bool:
        """Whether a call is in progress."""
        return bool(self._attempts)

    @property
    def may_have_run(self) -> bool:
        """Whether some back end may have run the request, or may still run it."""
        return self._replicas.may_have_run

    @property
    def connection_refused(self) -> bool:
        """Whether some back end refused a connection and there is no answer."""
        return self.part is None and self._replicas.any_connection_refused

    @property
    def may_be_answered(self) -> bool:
        """Whether an answer may still arrive."""
        if self.part is not None:
            return False
        return bool(self._attempts) or self.next_at != NEVER

    def start(self, now: float) -> None:
        """Send the first call."""
        if not self._called_by_other_gateway:
            self._budget.note_request(now)
        self._try_next(now)

    def on_due(self, now: float) -> None:
        """Send the hedge or retry that is due, if any."""
        if self.part is not None or now < self.next_at:
            return
        self.next_at = NEVER
        if self._attempts:
            self._hedge(now)
        else:
            self._try_next(now)

    def resume(self, now: float) -> None:
        """Send the call that the guard held back, now that the run is unrestricted."""
        # Not while a call is in progress, which was sent before the restriction.
        if self.part is None and not self._attempts and self.next_at != NEVER:
            self.next_at = NEVER
            self._try_next(now)

    def stop_sending(self) -> None:
        """Stop sending, since the request crashes back ends; calls in progress go on."""
        self.next_at = NEVER
        self.last_error = POISON_REFUSAL

    def stop_unsendable(self, now: float) -> None:
        """Send nothing more if it could not be answered before this process ends."""
        if self.part is None and now >= self._run.latest_send_at:
            self.last_error = PROCESS_ENDS
            self.cancel_unsent()

    def cancel_unsent(self) -> None:
        """Cancel the calls that wait for a connection, so that they are never sent."""
        self.next_at = NEVER
        for attempt in tuple(self._attempts):
            if attempt.running is None:
                self._attempts.remove(attempt)
                attempt.backend.pool.cancel(attempt.call)

    def end(self) -> None:
        """Stop sending and drop the answer; calls in progress only update the observations.

        Without this, answers stay in memory until the next garbage collection, a hundred requests
        later.
        """
        self._ended = True
        self._on_change = _ignore_change
        if self.part is not None:
            self.part = RELEASED_ANSWER
        self.cancel_unsent()

    def cancel_running(self, now: float) -> None:
        """Cancel all calls in progress, which closes their connections."""
        for attempt in self._attempts:
            if attempt.running is not None:
                attempt.backend.observations.failed(attempt.running, now)
            attempt.backend.pool.cancel(attempt.call)
        self._attempts.clear()

    @property
    def was_sent(self) -> bool:
        """Whether any call was sent to a back end, by this gateway or another one."""
        return self._called_by_other_gateway or self.sends > 0

    @property
    def _next_is_repeat(self) -> bool:
        """Whether the next call sent would be a repeat, not the first of this request."""
        return self.was_sent

    @property
    def repeats(self) -> int:
        """Number of hedges and retries sent."""
        return self.sends if self._called_by_other_gateway else max(0, self.sends - 1)

    def _try_next(self, now: float) -> None:
        """Send a call, or schedule the next check, or give up if nothing is left to try."""
        if self._is_blocked(now):
            return
        self._tries += 1
        candidates = self._replicas.for_retry()
        if not candidates:
            reason = self._run.call_context.directory.reason_for_none(self.service)
            self.last_error = self.last_error or reason
            return
        if self._tries > MAX_TRIES or self.sends >= MAX_SENDS:
            return
        self._call_best_of(candidates, now, hedge=False)

    def _hedge(self, now: float) -> None:
        """Send a hedge if it is due, and report overdue calls."""
        if now >= self._hedge_times.overdue_at:
            self._report_overdue()
        if not self._run.route.repeatable or self.sends >= MAX_SENDS:
            return
        if now < self._hedge_times.hedge_at:
            self.next_at = self._hedge_times.hedge_at
            return
        if self._is_blocked(now):
            return
        running = {attempt.backend.backend_id for attempt in self._attempts}
        typical_time_s = typical_latency_s(self._latency, self._run.route.objective_s)
        candidates = self._replicas.for_hedge(running, typical_time_s, now)
        if candidates:
            self._call_best_of(candidates, now, hedge=True)
        else:
            self.next_at = now + DENIED_RETRY_DELAY_S

    def _call_best_of(self, candidates: list[Backend], now: float, *, hedge: bool) -> None:
        """Send a call to the best candidate, unless the retry budget denies it."""
        uses_retry_budget = self._next_is_repeat
        if uses_retry_budget and not self._may_repeat(now, hedge=hedge):
            self.next_at = now + DENIED_RETRY_DELAY_S
            return
        if hedge:
            self._run.call_context.counters.hedges += 1
        backend = choose_replica(self._run.call_context, candidates, self._run.route, now)
        self._send(backend, now, uses_retry_budget=uses_retry_budget)

    def _report_overdue(self) -> None:
        """Report overdue calls to the zone monitor."""
        for attempt in self._attempts:
            if attempt.running is not None:
                zone = attempt.backend.entry.zone
                self._run.call_context.zone_unanswered(zone, attempt.running.sent_at)

    def _is_blocked(self, now: float) -> bool:
        """Return whether nothing may be sent now; for a hold, schedule the next check."""
        if now >= self._run.latest_send_at:
            self.last_error = PROCESS_ENDS
            return True
        permission = self._run.guard.permission(now)
        if permission is Permission.HOLD:
            self.next_at = now + HOLD_POLL_INTERVAL_S
        elif permission is Permission.STOP:
            self.stop_sending()
        return permission is not Permission.SEND

    def _may_send(self, attempt: Attempt, now: float) -> bool:
        """Return whether a call may be sent, checked right before its bytes are written.

        While it waited for a connection, back ends may have crashed while running the request, the
        chosen back end may have begun to drain, and other calls of the shard may have been sent, so
        that this one exceeds a limit or has become a repeat that was not charged to the budget.
        """
        if now >= self._run.latest_send_at:
            return False
        if self._run.guard.permission(now) is not Permission.SEND:
            return False
        if not self._run.call_context.directory.may_send_to(attempt.backend):
            return False
        if self.sends >= MAX_SENDS or not self._replicas.within_attempt_limit(attempt.backend):
            return False
        if attempt.uses_retry_budget or not self._next_is_repeat:
            return True
        # Prepared as the first call, but another one was sent meanwhile, so this is now a hedge.
        return self._may_repeat(now, hedge=True)

    def _may_repeat(self, now: float, *, hedge: bool) -> bool:
        """Charge a repeat to the service's retry budget; return whether the budget allows it."""
        call_context = self._run.call_context
        if self._budget.may_repeat(now, call_context.budget_parts(self.service), hedge=hedge):
            return True
        call_context.counters.repeats_denied += 1
        return False

    def _send(self, backend: Backend, now: float, *, uses_retry_budget: bool) -> None:
        """Start one call."""
        self._replicas.note_chosen(backend)
        attempt = Attempt(backend, self._new_call(), uses_retry_budget)
        attempt.call.listener = lambda outcome: self._on_outcome(attempt, outcome)
        attempt.call.make_bytes = lambda: self._encode_if_allowed(attempt)
        self._attempts.append(attempt)
        budget_fill = self._budget.fill(now, self._run.call_context.budget_parts(self.service))
        self._hedge_times = hedge_times(self._run, self._latency, budget_fill, now)
        self.next_at = min(self._hedge_times.overdue_at, self._hedge_times.hedge_at)
        backend.pool.start(attempt.call)

    def _new_call(self) -> UpstreamCall:
        """Return a call; :meth:`_send` sets its callbacks."""
        return UpstreamCall(
            make_bytes=lambda: None,
            request_id=self._run.request.request_id,
            listener=lambda outcome: None,
            deadline=self._run.request.deadline_at,
            body_expected=self._run.request.body_expected,
            repeatable=self._run.route.repeatable,
            body_bytes=large_body_bytes(self._run.request.body_bytes),
        )

    def _encode_if_allowed(self, attempt: Attempt) -> bytes | None:
        """Return the bytes to send now; ``None`` if the call may no longer be sent."""
        call_context = self._run.call_context
        now = call_context.loop.time()
        if not self._may_send(attempt, now):
            return None
        self.sends += 1
        self._replicas.note_sent(attempt.backend)
        call_context.directory.note_call(attempt.backend)
        call_context.counters.calls += 1
        typical_time_s = typical_latency_s(self._latency, self._run.route.objective_s)
        attempt.running = attempt.backend.observations.begin(now, typical_time_s)
        attempt.is_canary = self._run.guard.note_sent(now)
        return self._run.request.encode(attempt.backend.backend_id, now)

    def _on_outcome(self, attempt: Attempt, outcome: CallOutcome) -> None:
        """Record the outcome of one call, then use its answer or retry."""
        # A cancelled call may still report an outcome, which is ignored.
        if attempt not in self._attempts:
            return
        self._attempts.remove(attempt)
        now = self._run.call_context.loop.time()
        record_call_end(
            self._run.call_context, self._run.route, attempt.backend, attempt.running, outcome, now
        )
        if attempt.running is not None:
            report_to_guard(self._run, self.service, attempt, outcome)
        # Another back end has answered meanwhile, or the run has ended.
        if self._ended or self.part is not None:
            return
        self._handle_outcome(attempt.backend, outcome, now)
        self._on_change(self)

    def _handle_outcome(self, backend: Backend, outcome: CallOutcome, now: float) -> None:
        """Keep an answer, or handle a failure."""
        match outcome:
            case Answered(answer=answer):
                self._on_answer(answer, now)
            case Rejected(status=status):
                self._replicas.note_rejected(backend)
                self._on_rejection(f"rejected with {status}", now)
            case NotSent(detail=detail, refused=refused):
                if refused:
                    self._replicas.note_connection_refused(backend)
                self._on_failure(detail, now, at_once=True, connection_refused=refused)
            case Withdrawn():
                self._on_failure("withdrawn", now, at_once=True)
            case Broken(detail=detail):
                self._on_failure(detail, now, at_once=True)

    def _on_answer(self, answer: HttpAnswer, now: float) -> None:
        """Keep an answer that is final; retry after one that says that the back end failed."""
        is_final = answer.successful
        if not self._run.is_scatter:
            is_final |= answer.status < SERVER_ERROR or not self._run.route.repeatable
        if is_final:
            self.part = answer
            self.next_at = NEVER
            return
        self.failure = answer
        self._on_failure(f"answered with {answer.status}", now, at_once=True)

    def _on_rejection(self, error: str, now: float) -> None:
        """Retry, unless the service is known to have no back end that can answer in time.

        Each such retry occupies a place in a queue or is rejected too, and is charged to the retry
        budget of the whole fleet: at 1.4 times the capacity of four back ends, 0.4 of all calls
        were such retries.
        """
        left_s = min(self._run.request.deadline_at - now, self._run.route.objective_s)
        if self._run.route.shards or self._run.call_context.has_room(
            self.service, self._run.route, left_s, now
        ):
            self._on_failure(error, now, at_once=self._replicas.chosen < TRIES_AT_ONCE)
        else:
            self.last_error = error
            if not self._attempts:
                self.next_at = NEVER

    def _on_failure(
        self, error: str, now: float, *, at_once: bool, connection_refused: bool = False
    ) -> None:
        """Retry if :mod:`retry_rule` allows it and no other call is in progress."""
        self.last_error = error
        if self._attempts:
            return
        self.next_at = NEVER
        repeatable = self._run.route.repeatable
        done = ShardTries(self._tries, self.sends, self.may_have_run, repeatable)
        backoff_s = retry_backoff_s(done, at_once=at_once, connection_refused=connection_refused)
        if backoff_s == NO_BACKOFF:
            self._run.call_context.counters.retries += 1
            self._try_next(now)
        elif backoff_s is not None:
            self.next_at = now + backoff_s
