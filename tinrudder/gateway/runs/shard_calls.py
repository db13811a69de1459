"""The calls of one shard for one request: the first, hedges beside it, retries after it.

A *hedge* is sent beside a call that runs, a *retry* after one that has failed; together they are
*repeats*, which the budget of the shard's service pays.  What several replicas may run, the route
says; a request that is not repeatable runs at most once.

Owns the calls until one is answered or nothing more can be tried.  Relies on the run that made it
to look at it when :attr:`ShardCalls.next_at` has come, on the run's guard for what may be sent
after back ends were lost, and on :class:`ShardReplicas` for the back ends that were tried.

Calls wait for connections, so choosing a back end and sending its bytes are two moments.  Whatever
was decided at the first is looked at again at the second, see :meth:`ShardCalls._may_leave`.
"""

from __future__ import annotations

from collections.abc import Callable

from tinrudder.gateway.backends.backend import Backend
from tinrudder.gateway.decisions.admission.memory_bound import large_body_bytes
from tinrudder.gateway.decisions.attempts.hedge_delay import usual_latency_s
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
from tinrudder.gateway.runs.call_observation import SERVER_ERROR, observe_end
from tinrudder.gateway.runs.hedge_timing import HedgeTimes, hedge_times
from tinrudder.gateway.runs.lost_calls import report_end
from tinrudder.gateway.runs.replica_choice import choose_replica
from tinrudder.gateway.runs.retry_rule import (
    AT_ONCE,
    MAX_SENDS,
    MAX_TRIES,
    TRIES_AT_ONCE,
    ShardTries,
    retry_pause_s,
)
from tinrudder.gateway.runs.run_context import NEVER, Attempt, RunContext
from tinrudder.gateway.runs.run_guard import POISON, Permission
from tinrudder.gateway.runs.shard_replicas import ShardReplicas

DENIED_PAUSE_S = 0.02
"""When to look again where the budget of repeats or the back ends' queues denied a call, seconds.
Chosen, not measured: like :data:`HELD_PAUSE_S`, a third of the tightest objective seen."""
HELD_PAUSE_S = 0.02
"""How often a call that must wait for the end of another is looked at again, where nothing else
tells of that end, seconds.  Chosen, not measured: a third of the tightest objective seen, 0.056 s.
"""
FORGOTTEN = HttpAnswer(200, b"", (), b"")
"""Stands for an answer that has been given away."""


def _ignore_change(shard: ShardCalls) -> None:
    """Take no notice: the run has ended."""


class ShardCalls:
    """Runs one shard's calls until one is answered or nothing more can be tried.

    :ivar part: the answer, once there is one.
    :ivar failure: the last failure that a back end answered with.
    :ivar last_problem: why there is no answer, as logs and clients are told; empty at first.
    :ivar next_at: when to call :meth:`on_time`, by the loop's clock; :data:`NEVER`: not at all.
    :ivar sends: calls that have left.
    """

    def __init__(
        self,
        service: str,
        run: RunContext,
        on_change: Callable[[ShardCalls], None],
        *,
        asked_before: bool = False,
    ) -> None:
        """Prepare.

        :param on_change: is told whenever a call has ended, until the run has.
        :param asked_before: another gateway has called the shard's back ends for this request.
        """
        self.service = service
        self.part: HttpAnswer | None = None
        self.failure: HttpAnswer | None = None
        self.last_problem = ""
        self.next_at = NEVER
        self.sends = 0
        self._run = run
        self._on_change = on_change
        self._asked_before = asked_before
        self._ended = False
        self._attempts: list[Attempt] = []
        self._tries = 0
        self._replicas = ShardReplicas(run, service)
        self._budget = run.call_context.budget(service)
        self._latency = run.call_context.latency(run.route)
        self._hedge_times = HedgeTimes()

    @property
    def running(self) -> bool:
        """Tell whether a call is in progress."""
        return bool(self._attempts)

    @property
    def may_have_run(self) -> bool:
        """Tell whether some back end may have run the request, or may still run it."""
        return self._replicas.may_have_run

    @property
    def is_dead(self) -> bool:
        """Tell whether this run has found nobody listening at some back end, and has no answer."""
        return self.part is None and self._replicas.any_dead

    @property
    def hopeful(self) -> bool:
        """Tell whether an answer may still come."""
        if self.part is not None:
            return False
        return bool(self._attempts) or self.next_at != NEVER

    def start(self, now: float) -> None:
        """Send the first call."""
        if not self._asked_before:
            self._budget.note_request(now)
        self._try_next(now)

    def on_time(self, now: float) -> None:
        """Hedge or retry when it is due."""
        if self.part is not None or now < self.next_at:
            return
        self.next_at = NEVER
        if self._attempts:
            self._hedge(now)
        else:
            self._try_next(now)

    def resume(self, now: float) -> None:
        """Send what was held back, now that the run is free to."""
        # Not beside a call that runs: that one left before the run was held back.
        if self.part is None and not self._attempts and self.next_at != NEVER:
            self.next_at = NEVER
            self._try_next(now)

    def stop_sending(self) -> None:
        """Send nothing more of a request that crashes back ends; what runs may be answered."""
        self.next_at = NEVER
        self.last_problem = POISON

    def withdraw_unsent(self) -> None:
        """Take back what waits for a connection, so that none leaves when that comes up."""
        self.next_at = NEVER
        for attempt in tuple(self._attempts):
            if attempt.running is None:
                self._attempts.remove(attempt)
                attempt.backend.pool.cancel(attempt.call)

    def end(self) -> None:
        """Send nothing more and keep no answer; what runs only tells of its back end from now on.

        Without this, answers stay until the collector's next run, a hundred requests later.
        """
        self._ended = True
        self._on_change = _ignore_change
        if self.part is not None:
            self.part = FORGOTTEN
        self.withdraw_unsent()

    def cancel_running(self, now: float) -> None:
        """Close the connections of calls that nobody waits for any more."""
        for attempt in self._attempts:
            if attempt.running is not None:
                attempt.backend.observations.failed(attempt.running, now)
            attempt.backend.pool.cancel(attempt.call)
        self._attempts.clear()

    @property
    def _next_is_repeat(self) -> bool:
        """Tell whether the next call that leaves is not the service's first of this request."""
        return self._asked_before or self.sends > 0

    @property
    def repeats(self) -> int:
        """Return how many calls were sent beyond the first of this request."""
        return self.sends if self._asked_before else max(0, self.sends - 1)

    def _try_next(self, now: float) -> None:
        """Send a call, or note when to look again, or that there is nothing to try."""
        if self._is_held_back(now):
            return
        self._tries += 1
        candidates = self._replicas.for_retry()
        if not candidates:
            reason = self._run.call_context.directory.reason_for_none(self.service)
            self.last_problem = self.last_problem or reason
            return
        if self._tries > MAX_TRIES or self.sends >= MAX_SENDS:
            return
        self._send_to_one_of(candidates, now, hedge=False)

    def _hedge(self, now: float) -> None:
        """Send a call beside one that may be late."""
        if now >= self._hedge_times.overdue_at:
            self._doubt_zones()
        if not self._run.route.repeatable or self.sends >= MAX_SENDS:
            return
        if now < self._hedge_times.hedge_at:
            self.next_at = self._hedge_times.hedge_at
            return
        if self._is_held_back(now):
            return
        running = {attempt.backend.backend_id for attempt in self._attempts}
        usual_s = usual_latency_s(self._latency, self._run.route.objective_s)
        candidates = self._replicas.for_hedge(running, usual_s, now)
        if candidates:
            self._send_to_one_of(candidates, now, hedge=True)
        else:
            self.next_at = now + DENIED_PAUSE_S

    def _send_to_one_of(self, candidates: list[Backend], now: float, *, hedge: bool) -> None:
        """Send a call to the most promising back end, unless the budget denies a repeat."""
        is_paid = self._next_is_repeat
        if is_paid and not self._may_repeat(now, hedge=hedge):
            self.next_at = now + DENIED_PAUSE_S
            return
        if hedge:
            self._run.call_context.counters.hedges += 1
        backend = choose_replica(self._run.call_context, candidates, self._run.route, now)
        self._send(backend, now, is_paid=is_paid)

    def _doubt_zones(self) -> None:
        """Tell that calls are overdue."""
        for attempt in self._attempts:
            if attempt.running is not None:
                zone = attempt.backend.entry.zone
                self._run.call_context.zone_doubted(zone, attempt.running.sent_at)

    def _is_held_back(self, now: float) -> bool:
        """Tell whether the run may not send now, and note when to look again, if ever."""
        permission = self._run.guard.permission(now)
        if permission is Permission.HOLD:
            self.next_at = now + HELD_PAUSE_S
        elif permission is Permission.STOP:
            self.stop_sending()
        return permission is not Permission.SEND

    def _may_leave(self, attempt: Attempt, now: float) -> bool:
        """Judge a call at the moment at which its bytes would leave.

        It races with whatever happens while it waits for its connection: back ends crash under the
        request, the chosen one drains, and other calls of the same shard leave, so that this one
        may have become one too many, or a repeat that nobody has paid for.
        """
        if self._run.guard.permission(now) is not Permission.SEND:
            return False
        if not self._run.call_context.directory.may_receive(attempt.backend):
            return False
        if self.sends >= MAX_SENDS or not self._replicas.may_offer(attempt.backend):
            return False
        if attempt.is_paid or not self._next_is_repeat:
            return True
        # Chosen as the first call, overtaken by another one while it waited: it leaves beside that.
        return self._may_repeat(now, hedge=True)

    def _may_repeat(self, now: float, *, hedge: bool) -> bool:
        """Draw on the service's budget."""
        call_context = self._run.call_context
        if self._budget.may_repeat(now, call_context.sharers(self.service), hedge=hedge):
            return True
        call_context.counters.repeats_denied += 1
        return False

    def _send(self, backend: Backend, now: float, *, is_paid: bool) -> None:
        """Start one call."""
        self._replicas.note_chosen(backend)
        attempt = Attempt(backend, self._new_call(), is_paid)
        attempt.call.listener = lambda outcome: self._on_outcome(attempt, outcome)
        attempt.call.make_bytes = lambda: self._leave(attempt)
        self._attempts.append(attempt)
        fill = self._budget.fill(now, self._run.call_context.sharers(self.service))
        self._hedge_times = hedge_times(self._run, self._latency, fill, now)
        self.next_at = min(self._hedge_times.overdue_at, self._hedge_times.hedge_at)
        backend.pool.start(attempt.call)

    def _new_call(self) -> UpstreamCall:
        """Make a call whose parts are filled in by :meth:`_send`."""
        return UpstreamCall(
            make_bytes=lambda: None,
            request_id=self._run.request.request_id,
            listener=lambda outcome: None,
            deadline=self._run.request.deadline_at,
            body_expected=self._run.request.body_expected,
            repeatable=self._run.route.repeatable,
            body_bytes=large_body_bytes(self._run.request.body_bytes),
        )

    def _leave(self, attempt: Attempt) -> bytes | None:
        """Return the bytes that leave now; ``None`` if the back end may not get them any more."""
        call_context = self._run.call_context
        now = call_context.loop.time()
        if not self._may_leave(attempt, now):
            return None
        self.sends += 1
        self._replicas.note_sent(attempt.backend)
        call_context.directory.note_call(attempt.backend)
        call_context.counters.calls += 1
        usual = usual_latency_s(self._latency, self._run.route.objective_s)
        attempt.running = attempt.backend.observations.begin(now, usual)
        attempt.is_canary = self._run.guard.note_sent(now)
        return self._run.request.encode(attempt.backend.backend_id, now)

    def _on_outcome(self, attempt: Attempt, outcome: CallOutcome) -> None:
        """Take the end of one call."""
        # Its end may cross with what cancelled it: then nothing more is learnt from it.
        if attempt not in self._attempts:
            return
        self._attempts.remove(attempt)
        now = self._run.call_context.loop.time()
        observe_end(
            self._run.call_context, self._run.route, attempt.backend, attempt.running, outcome, now
        )
        if attempt.running is not None:
            report_end(self._run, self.service, attempt, outcome)
        # The answer has come from another back end meanwhile, or the run has ended without it.
        if self._ended or self.part is not None:
            return
        self._follow_up(attempt.backend, outcome, now)
        self._on_change(self)

    def _follow_up(self, backend: Backend, outcome: CallOutcome, now: float) -> None:
        """Keep an answer, or try elsewhere."""
        match outcome:
            case Answered(answer=answer):
                self._on_answer(answer, now)
            case Rejected(status=status):
                self._replicas.take_back(backend)
                self._on_rejection(f"rejected with {status}", now)
            case NotSent(detail=detail, refused=refused):
                if refused:
                    self._replicas.note_dead(backend)
                self._on_failure(detail, now, at_once=True, is_dead=refused)
            case Withdrawn():
                self._on_failure("withdrawn", now, at_once=True)
            case Broken(detail=detail):
                self._on_failure(detail, now, at_once=True)

    def _on_answer(self, answer: HttpAnswer, now: float) -> None:
        """Take a whole answer; a failure of the back end's own may be tried elsewhere."""
        is_final = answer.successful
        if not self._run.is_scatter:
            is_final |= answer.status < SERVER_ERROR or not self._run.route.repeatable
        if is_final:
            self.part = answer
            self.next_at = NEVER
            return
        self.failure = answer
        self._on_failure(f"answered with {answer.status}", now, at_once=True)

    def _on_rejection(self, problem: str, now: float) -> None:
        """Try elsewhere, unless it is known that the service has no room in time.

        Each try takes a place in a queue or is turned away too, and is taken from the budget of
        the whole fleet: at 1.4 times of what four back ends can do, 0.4 of the calls were such.
        """
        left_s = min(self._run.request.deadline_at - now, self._run.route.objective_s)
        if self._run.route.shards or self._run.call_context.has_room(
            self.service, self._run.route, left_s, now
        ):
            self._on_failure(problem, now, at_once=self._replicas.chosen < TRIES_AT_ONCE)
        else:
            self.last_problem = problem
            if not self._attempts:
                self.next_at = NEVER

    def _on_failure(
        self, problem: str, now: float, *, at_once: bool, is_dead: bool = False
    ) -> None:
        """Try again where that is allowed and nothing else is running, see :mod:`retry_rule`."""
        self.last_problem = problem
        if self._attempts:
            return
        self.next_at = NEVER
        repeatable = self._run.route.repeatable
        done = ShardTries(self._tries, self.sends, self.may_have_run, repeatable)
        pause_s = retry_pause_s(done, at_once=at_once, is_dead=is_dead)
        if pause_s == AT_ONCE:
            self._run.call_context.counters.retries += 1
            self._try_next(now)
        elif pause_s is not None:
            self.next_at = now + pause_s
