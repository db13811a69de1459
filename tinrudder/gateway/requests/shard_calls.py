"""One shard of a request: its calls to back ends, hedges and retries."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from msgspec import Struct

from tinrudder.gateway.backends.backend import Backend
from tinrudder.gateway.decisions.admission.memory_bound import large_body_bytes
from tinrudder.gateway.decisions.attempts.hedge_delay import hedge_delay_s, usual_latency_s
from tinrudder.gateway.decisions.placement.backend_observations import RunningCall
from tinrudder.gateway.model.configuration import Route
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
from tinrudder.gateway.observability.request_log import log_call_lost
from tinrudder.gateway.requests.call_context import CallContext
from tinrudder.gateway.requests.call_observation import SERVER_ERROR, observe_end
from tinrudder.gateway.requests.request_bytes import RequestBytes
from tinrudder.gateway.requests.run_guard import POISON, Permission, RunGuard

MAX_SENDS = 4
"""How many calls of one shard may leave for one request, a choice: two replicas, each twice."""
MAX_TRIES = 8
"""How often a back end is chosen for one shard, calls that never left included, a choice."""
RETRY_PAUSE_S = 0.03
"""Pause before a try after the second, times the tries so far, a choice: eight tries take 0.8 s."""
DENIED_PAUSE_S = 0.02
"""When to look again where the repeat budget or the back ends' queues denied a call, a choice."""
HELD_PAUSE_S = 0.02
"""How often a call that must wait for the end of another is looked at again, where nothing else
tells of that end: a third of the tightest objective seen, 0.056 s."""
MAX_HEDGE_WAIT = 1.5
"""How long a hedge may have to wait for a slot, in usual latencies, a choice: it would come later
than what it is to replace."""
SURVIVAL_S = 0.04
"""When to look whether a back end that was lost with a call keeps other connections.  A process
that ends loses all of them at once.  This is several ways there and back between zones, and before
others are told of the loss, unless the call was a canary: that is told at once, and taken back."""
NEVER = float("inf")
FORGOTTEN = HttpAnswer(200, b"", (), b"")
"""Stands for an answer that has been given away."""


class Attempt(Struct, eq=False):
    """One call of a shard that has not ended.

    :param paid: the budget has counted it; the call that leaves first needs no budget.
    :param canary: it left alone, to find out whether the request crashes what runs it.
    """

    backend: Backend
    call: UpstreamCall
    paid: bool = False
    canary: bool = False
    running: RunningCall | None = None


def _ignore_change(shard: ShardCalls) -> None:
    """Take no notice: the run has ended."""


class ShardCalls:
    """Runs one shard's calls until one is answered or nothing more can be tried.

    :ivar part: the answer, once there is one.
    :ivar failure: the last failure that a back end answered with.
    :ivar may_have_run: a call was sent and was not rejected.
    """

    def __init__(
        self,
        service: str,
        route: Route,
        request: RequestBytes,
        call_context: CallContext,
        on_change: Callable[[ShardCalls], None],
        guard: RunGuard,
        objective_at: float,
        *,
        relay_failures: bool,
        asked_before: bool = False,
    ) -> None:
        """Prepare.

        :param guard: decides for the whole run what may be sent after back ends were lost.
        :param objective_at: when the answer leaves, if it suffices then.
        :param relay_failures: a back end's own refusal is an answer.
        :param asked_before: another gateway has called the shard's back ends for this request.
        """
        self.service = service
        self.part: HttpAnswer | None = None
        self.failure: HttpAnswer | None = None
        self.may_have_run = False
        self.last_problem = ""
        self.next_at = NEVER
        self.sends = 0
        self._route = route
        self._request = request
        self._call_context = call_context
        self._on_change = on_change
        self._guard = guard
        self._objective_at = objective_at
        self._relay_failures = relay_failures
        self._asked_before = asked_before
        self._ended = False
        self._attempts: list[Attempt] = []
        self._tries = 0
        self._offered: Counter[str] = Counter()
        self._avoided: set[str] = set()
        # Nobody listens there, as this run has found out.
        self._dead: set[str] = set()
        self._budget = call_context.budget(service)
        self._latency = call_context.latency(route)
        self._hedge_at = NEVER
        # When the call that was sent last is overdue, which says something of the way to it.
        self._overdue_at = NEVER

    @property
    def running(self) -> bool:
        """Tell whether a call is in progress."""
        return bool(self._attempts)

    @property
    def is_dead(self) -> bool:
        """Tell whether this run has found nobody listening at some back end, and has no answer."""
        return self.part is None and bool(self._dead)

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
        if self.part is None and not self._attempts and self.next_at != NEVER:
            self.next_at = NEVER
            self._try_next(now)

    def give_up(self) -> None:
        """Send nothing more; what runs may still be answered."""
        self.next_at = NEVER
        self.last_problem = POISON

    def withdraw_unsent(self) -> None:
        """Take back what waits for a connection."""
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
        # Trying those again for 0.4 to 0.8 s, as long as tries last, held requests back in vain:
        # a process that has ended takes seconds to listen again.
        candidates = [one for one in self._candidates() if one.backend_id not in self._dead]
        if not candidates:
            reason = self._call_context.directory.reason_for_none(self.service)
            self.last_problem = self.last_problem or reason
            return
        if self._tries > MAX_TRIES or self.sends >= MAX_SENDS:
            return
        paid = self._next_is_repeat
        if paid and not self._may_repeat(now, hedge=False):
            self.next_at = now + DENIED_PAUSE_S
            return
        self._send(self._call_context.choose(candidates, self._route, now), now, paid=paid)

    def _hedge(self, now: float) -> None:
        """Send a second call beside one that may be late."""
        if now >= self._overdue_at:
            self._doubt_zones()
        if not self._route.repeatable or self.sends >= MAX_SENDS:
            return
        if now < self._hedge_at:
            self.next_at = self._hedge_at
            return
        if self._is_held_back(now):
            return
        busy = {attempt.backend.backend_id for attempt in self._attempts}
        candidates = [backend for backend in self._candidates() if backend.backend_id not in busy]
        usual_s = usual_latency_s(self._latency, self._route.objective_s)
        candidates = [
            backend
            for backend in candidates
            if backend.observations.wait_s(now, usual_s) <= MAX_HEDGE_WAIT * usual_s
        ]
        if not candidates:
            self.next_at = now + DENIED_PAUSE_S
            return
        paid = self._next_is_repeat
        if paid and not self._may_repeat(now, hedge=True):
            self.next_at = now + DENIED_PAUSE_S
            return
        self._call_context.counters.hedges += 1
        self._send(self._call_context.choose(candidates, self._route, now), now, paid=paid)

    def _doubt_zones(self) -> None:
        """Tell that calls are overdue."""
        for attempt in self._attempts:
            if attempt.running is not None:
                zone = attempt.backend.entry.zone
                self._call_context.zone_doubted(zone, attempt.running.sent_at)

    def _is_held_back(self, now: float) -> bool:
        """Tell whether the run may not send now, and note when to look again, if ever."""
        permission = self._guard.permission(now)
        if permission is Permission.HOLD:
            self.next_at = now + HELD_PAUSE_S
        elif permission is Permission.STOP:
            self.give_up()
        return permission is not Permission.SEND

    def _candidates(self) -> list[Backend]:
        """Return the back ends that may get the next call.

        No more than a number of back ends may run one request; those that it was
        offered to already may be asked again.
        """
        usable = self._call_context.directory.usable(self.service)
        usable = [backend for backend in usable if self._may_offer(backend)]
        fresh = [backend for backend in usable if backend.backend_id not in self._avoided]
        return fresh or usable

    def _may_offer(self, backend: Backend) -> bool:
        """Tell whether a call to a back end keeps to the number of back ends that may run it."""
        return backend.backend_id in self._offered or len(self._offered) < self._route.attempts

    def _may_leave(self, attempt: Attempt, now: float) -> bool:
        """Judge a call at the moment at which its bytes would leave.

        What held when the back end was chosen may not hold any more: calls wait for connections,
        and meanwhile others of the same shard leave.
        """
        if self._guard.permission(now) is not Permission.SEND:
            return False
        if not self._call_context.directory.may_receive(attempt.backend):
            return False
        if self.sends >= MAX_SENDS or not self._may_offer(attempt.backend):
            return False
        if attempt.paid or not self._next_is_repeat:
            return True
        return self._may_repeat(now, hedge=True)

    def _may_repeat(self, now: float, *, hedge: bool) -> bool:
        """Draw on the service's budget."""
        call_context = self._call_context
        if self._budget.may_repeat(now, call_context.sharers(self.service), hedge=hedge):
            return True
        call_context.counters.repeats_denied += 1
        return False

    def _send(self, backend: Backend, now: float, *, paid: bool) -> None:
        """Start one call."""
        self._avoided.add(backend.backend_id)
        attempt = Attempt(backend, self._new_call(), paid)
        attempt.call.listener = lambda outcome: self._on_outcome(attempt, outcome)
        attempt.call.make_bytes = lambda: self._leave(attempt)
        self._attempts.append(attempt)
        self._arm(now)
        backend.pool.start(attempt.call)

    def _arm(self, now: float) -> None:
        """Note when a call that is sent now is overdue, and when another one is sent beside it."""
        fill = self._budget.fill(now, self._call_context.sharers(self.service))
        self._overdue_at = now + hedge_delay_s(self._latency, self._route.objective_s, fill)
        self._hedge_at = self._moment_of_hedge(now, fill, self._overdue_at)
        self.next_at = min(self._overdue_at, self._hedge_at)

    def _moment_of_hedge(self, now: float, fill: float, overdue_at: float) -> float:
        """Return when another call is worth sending beside one that is sent now."""
        deadlines = self._call_context.hedge_moments(self._route)
        left_s = self._objective_at - now
        if left_s <= 0.0 or not deadlines.is_known:
            return overdue_at
        age_s = deadlines.age_s(left_s, fill)
        if age_s is not None:
            # Latencies know nothing yet of back ends that vanished a moment ago.
            return min(overdue_at, now + age_s)
        # None would be in time; what is lacking when the answer should leave is still needed.
        return max(overdue_at, self._objective_at)

    def _new_call(self) -> UpstreamCall:
        """Make a call whose parts are filled in by :meth:`_send`."""
        return UpstreamCall(
            make_bytes=lambda: None,
            request_id=self._request.request_id,
            listener=lambda outcome: None,
            deadline=self._request.deadline_at,
            body_expected=self._request.body_expected,
            repeatable=self._route.repeatable,
            body_bytes=large_body_bytes(self._request.body_bytes),
        )

    def _leave(self, attempt: Attempt) -> bytes | None:
        """Return the bytes that leave now; ``None`` if the back end may not get them any more."""
        call_context = self._call_context
        now = call_context.loop.time()
        if not self._may_leave(attempt, now):
            return None
        self.sends += 1
        self.may_have_run = True
        self._offered[attempt.backend.backend_id] += 1
        call_context.directory.note_call(attempt.backend)
        call_context.counters.calls += 1
        usual = usual_latency_s(self._latency, self._route.objective_s)
        attempt.running = attempt.backend.observations.begin(now, usual)
        attempt.canary = self._guard.note_sent(now)
        return self._request.encode(attempt.backend.backend_id, now)

    def _on_outcome(self, attempt: Attempt, outcome: CallOutcome) -> None:
        """Take the end of one call."""
        if attempt not in self._attempts:
            return
        self._attempts.remove(attempt)
        now = self._call_context.loop.time()
        observe_end(self._call_context, self._route, attempt.backend, attempt.running, outcome, now)
        if attempt.running is not None:
            self._tell_guard(attempt, outcome)
        if self._ended or self.part is not None:
            return
        match outcome:
            case Answered(answer=answer):
                self._on_answer(attempt, answer, now)
            case Rejected(status=status):
                self._take_back(attempt.backend)
                self._on_rejection(f"rejected with {status}", now)
            case NotSent(detail=detail, refused=refused):
                if refused:
                    self._dead.add(attempt.backend.backend_id)
                self._on_failure(detail, now, at_once=True, is_dead=refused)
            case Withdrawn():
                self._on_failure("withdrawn", now, at_once=True)
            case Broken(detail=detail):
                self._on_failure(detail, now, at_once=True)
        self._on_change(self)

    def _tell_guard(self, attempt: Attempt, outcome: CallOutcome) -> None:
        """Tell what the end of a call that left says of the request."""
        match outcome:
            case Answered():
                assert attempt.running is not None
                life = attempt.backend.entry.life
                self._guard.note_answered(life, attempt.running.sent_at)
            case Broken(detail=detail, unanswered=True):
                backend_id = attempt.backend.backend_id
                request = self._request
                log_call_lost(
                    request.request_id, request.fingerprint, self.service, backend_id, detail
                )
                self._suspect_crash(attempt)
            case _:
                self._guard.note_unanswered()

    def _suspect_crash(self, attempt: Attempt) -> None:
        """Hold a lost call against the request, unless its back end turns out to be alive."""
        backend = attempt.backend
        if self._guard.note_crash(backend.entry.life, canary=attempt.canary):
            loop = self._call_context.loop
            lost_at = loop.time()
            loop.call_later(SURVIVAL_S, self._look_for_survivor, backend, lost_at)

    def _look_for_survivor(self, backend: Backend, lost_at: float) -> None:
        """Take a crash back where only one connection has ended."""
        if backend.pool.has_connection_from_before(lost_at):
            evidence = self._call_context.evidence
            evidence.note_survivor(self._request.fingerprint, backend.entry.life)

    def _take_back(self, backend: Backend) -> None:
        """Note that one call has not run; an earlier one to the same back end still may have."""
        self._offered[backend.backend_id] -= 1
        if not self._offered[backend.backend_id]:
            del self._offered[backend.backend_id]
        self.may_have_run = bool(self._offered)

    def _on_answer(self, attempt: Attempt, answer: HttpAnswer, now: float) -> None:
        """Take a whole answer; a failure of the back end's own may be tried elsewhere."""
        final = answer.successful
        if self._relay_failures:
            final |= answer.status < SERVER_ERROR or not self._route.repeatable
        if final:
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
        left_s = min(self._request.deadline_at - now, self._route.objective_s)
        if self._route.shards or self._call_context.has_room(
            self.service, self._route, left_s, now
        ):
            self._on_failure(problem, now, at_once=len(self._avoided) < 2)
        else:
            self.last_problem = problem
            if not self._attempts:
                self.next_at = NEVER

    def _on_failure(
        self, problem: str, now: float, *, at_once: bool, is_dead: bool = False
    ) -> None:
        """Try again where that is allowed and nothing else is running.

        :param is_dead: nobody listened, so the next try is at another back end, if there is one.
        """
        self.last_problem = problem
        if self._attempts:
            return
        self.next_at = NEVER
        if self.may_have_run and not self._route.repeatable:
            return
        if is_dead or (at_once and self._tries < 2):
            self._call_context.counters.retries += 1
            self._try_next(now)
        elif self._tries < MAX_TRIES and self.sends < MAX_SENDS:
            self.next_at = now + RETRY_PAUSE_S * self._tries
