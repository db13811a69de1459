"""One query's fan-out: a call per shard, retries, hedges, deadlines, and the final outcome.

Everything runs in callbacks of the event loop: no task and no closure is made per call, and one
timer serves the whole query, which keeps the call path near the cost of the transport (see
docs/CALL_COST.md).  docs/ROUTING.md says why each decision is taken as it is.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from tinrudder.common.crash_limit import ENOUGH_CRASHES
from tinrudder.node.backends.messages import (
    Answered,
    BackendReply,
    Broken,
    NotSent,
    Shed,
    VersionGone,
)
from tinrudder.node.decisions.backend_record import BackendRecord
from tinrudder.node.decisions.load.tenant_usage import QueryPermit
from tinrudder.node.outcomes import MissingReason, Outcome
from tinrudder.node.query.call_sender import CallSender
from tinrudder.node.query.dispatcher import Dispatcher, SentCall
from tinrudder.node.query.hedger import Hedger, owners_included
from tinrudder.node.query.judgement import decide_outcome
from tinrudder.node.query.plan import QueryPlan
from tinrudder.node.query.reply_reading import reason_of, rows_of
from tinrudder.node.query.shard_progress import ShardProgress
from tinrudder.node.resources.model import Preference
from tinrudder.timers import TimerHandle, Timers

MAX_ATTEMPTS_PER_SHARD = 3
"""Calls of one shard, hedges apart, in one plan.  Chosen, not measured: with two replicas each is
asked, one of them twice."""
MAX_REPLANS = 1
"""Times that a query starts again on another version: it bounds its calls to twice as many."""
REFUSAL_WAIT_S = 0.02
"""Seconds that a query which cannot reach its coverage waits for refusals of what is in flight,
where no hedge delay is known.  Chosen, not measured."""
OutcomeListener = Callable[[Outcome], None]


class Replanner(Protocol):
    """Moves a query to another index version when its own is going away."""

    def note_version_gone(self, plan: QueryPlan, backend: BackendRecord) -> None:
        """Remember that a back end does not serve the plan's version."""

    def replan(self, plan: QueryPlan) -> QueryPlan | None:
        """Return the query's plan on a version that reaches more, ``None`` to stay."""


class FanOut:
    """Runs one plan to its outcome, which is reported exactly once."""

    def __init__(
        self,
        plan: QueryPlan,
        dispatcher: Dispatcher,
        timers: Timers,
        on_outcome: OutcomeListener,
        replanner: Replanner,
        permit: QueryPermit | None = None,
    ) -> None:
        """Prepare; nothing is sent before :meth:`start`.

        :param permit: counts the answers that the query holds; its owner closes it.
        """
        self._permit = permit
        self._dispatcher = dispatcher
        self._timers = timers
        self._on_outcome = on_outcome
        self._replanner = replanner
        self._finished = False
        self._started_before = False
        self._coverage_unreachable = False
        self._replans = 0
        self._broken_calls = 0
        self._timer: TimerHandle | None = None
        self._adopt(plan)

    def _adopt(self, plan: QueryPlan) -> None:
        """Begin a plan with nothing of an earlier one but the knowledge that it ran."""
        self._plan = plan
        self._routing = plan.routing
        self._progress = [ShardProgress(shard, self) for shard in plan.shards]
        self._sender = CallSender(plan, self._dispatcher, self._timers)
        self._hedger = Hedger(plan, self._progress, self._sender.send)
        self._unsettled = len(self._progress)
        self._answered = 0
        self._max_missing = int((1.0 - plan.rule.minimum_coverage) * self._unsettled + 1e-9)

    @property
    def plan(self) -> QueryPlan:
        """Return the plan."""
        return self._plan

    @property
    def shards(self) -> Sequence[ShardProgress]:
        """Return how far each shard has come."""
        return self._progress

    def start(self) -> None:
        """Submit one call per shard and set the timer."""
        now = self._timers.time()
        rule = self._plan.rule
        self._hard_deadline = self._plan.request.deadline
        self._soft_deadline = self._hard_deadline
        if rule.preference is Preference.LATENCY:
            self._soft_deadline = now + rule.soft_deadline_ms / 1000
        self._submit_all(now)
        if not self._finished:
            self._schedule_timer(now)

    def abandon(self) -> None:
        """End the query for a caller that went away; nobody is told an outcome."""
        if not self._finished:
            self._finished = True
            self._stop()

    def _submit_all(self, now: float) -> None:
        """Submit the first call of every shard."""
        self._routing.earn(len(self._progress))
        plan = self._plan
        for progress in self._progress:
            candidates = self._candidates(progress, now)
            if candidates:
                self._sender.submit(progress, candidates)
            else:
                self._settle(progress, MissingReason.NO_REPLICA)
            if self._finished or self._coverage_unreachable or self._plan is not plan:
                return

    def _candidates(self, progress: ShardProgress, now: float) -> tuple[BackendRecord, ...]:
        """Return the back ends that may get a shard's next call."""
        return self._plan.routing.candidates(
            progress.planned.candidates, progress.tried, now, may_probe=self._plan.repeatable
        )

    def on_shed(self, progress: ShardProgress) -> None:
        """Give up a shard whose waiting call will not be sent any more."""
        progress.pending = None
        if not self._finished and not progress.settled:
            self._settle(progress, progress.last_reason or MissingReason.NOT_ASKED)

    def on_dispatch(self, progress: ShardProgress, backend: BackendRecord) -> None:
        """Send a shard's waiting call to the chosen back end."""
        progress.pending = None
        progress.attempts += 1
        self._sender.send(progress, backend)

    def on_reply(self, progress: ShardProgress, sent: SentCall, reply: BackendReply) -> None:
        """Take one reply; a second answer for a settled shard changes nothing."""
        progress.calls.remove(sent)
        now = self._timers.time()
        if type(reply) is Answered:
            answer = reply.answer
            reported = answer.load.in_flight if answer.load is not None else None
            self._routing.observe_answer(sent.backend, now - sent.sent_at, reported, now)
            if not self._finished and not progress.settled:
                self._on_answer(progress, reply, now)
            return
        if type(reply) is Broken or type(reply) is NotSent:
            self._routing.observe_failure(sent.backend, now)
        if self._finished or progress.settled:
            return
        if type(reply) is Broken:
            progress.touched = True
            self._broken_calls += 1
        elif type(reply) is VersionGone:
            self._replanner.note_version_gone(self._plan, sent.backend)
        progress.last_reason = reason_of(reply)
        self._retry_or_settle(progress, reply, now)

    def _on_answer(self, progress: ShardProgress, reply: Answered, now: float) -> None:
        """Take rows, but only of the pinned version and of the shard that was asked."""
        answer = reply.answer
        if self._permit is not None and not self._permit.hold_bytes(reply.size_bytes):
            progress.touched = True
            self._sender.cancel_superseded(progress, now)
            self._settle(progress, MissingReason.TENANT_LIMIT)
            return
        rows = rows_of(answer.shards, progress.planned.spec.shard)
        if answer.version != self._plan.version or rows is None:
            progress.touched = True
            progress.last_reason = MissingReason.VERSION_GONE
            self._retry_or_settle(progress, None, now)
            return
        progress.rows = rows
        self._answered += 1
        if progress.calls:
            self._sender.cancel_superseded(progress, now)
        self._unsettled -= 1
        enough = now >= self._soft_deadline and self._meets_minimum_coverage()
        if self._unsettled == 0 or self._coverage_unreachable or enough:
            self._finish(at_deadline=False)

    def _retry_or_settle(
        self, progress: ShardProgress, reply: BackendReply | None, now: float
    ) -> None:
        """Ask another replica if the rule and the budget allow it, else give the shard up.

        A call that was not sent put no load on any back end, so sending it elsewhere is free.
        """
        if progress.calls:
            return
        may_repeat = not self._coverage_unreachable and (
            self._plan.repeatable or progress.not_started
        )
        may_repeat &= not self._may_be_poison
        if may_repeat and progress.attempts < MAX_ATTEMPTS_PER_SHARD:
            if type(reply) is Shed and len(progress.tried) >= len(progress.planned.candidates):
                progress.tried = ()
            candidates = self._candidates(progress, now)
            if candidates and (type(reply) is NotSent or self._may_spend_retry(progress)):
                self._sender.submit(progress, candidates)
                return
        self._settle(progress, progress.last_reason or MissingReason.NO_REPLICA)

    def _settle(self, progress: ShardProgress, reason: MissingReason) -> None:
        """Give a shard up; the whole query too when it can no longer meet its rule."""
        progress.problem = reason
        self._unsettled -= 1
        if reason is MissingReason.VERSION_GONE and self._try_replan():
            return
        missing = len(self._progress) - self._answered - self._unsettled
        if self._unsettled == 0:
            self._finish(at_deadline=False)
        elif missing > self._max_missing:
            self._give_up()

    def _give_up(self) -> None:
        """End a query that can no longer meet its rule, without waiting for its deadline.

        While nothing was started yet, refusals of what is in flight may still make it a true
        "not run"; they are awaited for about as long as a slow answer takes.
        """
        if not self._coverage_unreachable:
            self._coverage_unreachable = True
            self._sender.withdraw_waiting(self._progress)
            now = self._timers.time()
            wait_s = self._routing.hedge_delay_s(0) or REFUSAL_WAIT_S
            self._hard_deadline = min(self._hard_deadline, now + wait_s)
            self._schedule_timer(now)
        in_flight = any(progress.calls for progress in self._progress)
        may_be_not_run = not self._started_before and not any(
            progress.touched or progress.rows is not None for progress in self._progress
        )
        if not in_flight or not may_be_not_run:
            self._finish(at_deadline=False)

    def _try_replan(self) -> bool:
        """Start again on a version that reaches more shards; no row of the old one is kept."""
        if self._coverage_unreachable or self._replans >= MAX_REPLANS:
            return False
        plan = self._replanner.replan(self._plan)
        if plan is None:
            return False
        self._replans += 1
        if not all(progress.not_started for progress in self._progress):
            self._started_before = True
        self._sender.release(self._progress)
        if self._permit is not None:
            self._permit.drop_bytes()
        self._adopt(plan)
        now = self._timers.time()
        self._submit_all(now)
        if not self._finished:
            self._schedule_timer(now)
        return True

    @property
    def _may_be_poison(self) -> bool:
        """Tell whether back ends were lost under the query and none has answered it.

        It may crash whatever runs it, so it is sent to no further replica: two shards lost six
        back ends under such a query, four with this bound (a scripted run).
        """
        return self._answered == 0 and self._broken_calls >= ENOUGH_CRASHES

    def _may_spend_retry(self, progress: ShardProgress) -> bool:
        """Draw on the budget; a coverage-first answer without this owner has precedence."""
        urgent = (
            self._plan.rule.preference is Preference.COVERAGE
            and progress.planned.spec.owner not in owners_included(self._progress)
        )
        return self._routing.retry.may_retry(urgent=urgent)

    def _schedule_timer(self, now: float) -> None:
        """Set the one timer to whatever comes first: a deadline or a look for overdue calls."""
        when = self._hard_deadline
        if now < self._soft_deadline < when:
            when = self._soft_deadline
        if not self._coverage_unreachable:
            hedge_check = self._hedger.next_check(now)
            if hedge_check is not None and hedge_check < when:
                when = hedge_check
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._timers.call_at(when, self._on_timer, when)

    def _on_timer(self, when: float) -> None:
        """Return at a deadline, hedge what is overdue, and set the timer again.

        :param when: the time it was set to; an event loop may call a little early, by the
            resolution of its clock, and must not be asked again for the same moment.
        """
        if self._finished:
            return
        now = max(when, self._timers.time())
        if now >= self._hard_deadline:
            self._finish(at_deadline=not self._coverage_unreachable)
            return
        if now >= self._soft_deadline and self._meets_minimum_coverage():
            self._finish(at_deadline=False)
            return
        if not self._coverage_unreachable and not self._may_be_poison:
            self._hedger.hedge_overdue(now)
        self._schedule_timer(now)

    def _meets_minimum_coverage(self) -> bool:
        """Tell whether the coverage meets the rule."""
        return len(self._progress) - self._answered <= self._max_missing

    def _finish(self, *, at_deadline: bool) -> None:
        """Report once, after freeing every place the query still holds."""
        if self._finished:
            return
        self._finished = True
        if self._coverage_unreachable:
            self._mark_rest_given_up()
        outcome = decide_outcome(
            self._plan,
            self._progress,
            started_before=self._started_before,
            at_deadline=at_deadline,
        )
        self._stop()
        self._on_outcome(outcome)

    def _mark_rest_given_up(self) -> None:
        """State that the query did not wait for what is still open."""
        for progress in self._progress:
            if not progress.settled and progress.calls:
                progress.problem = MissingReason.GIVEN_UP

    def _stop(self) -> None:
        """Stop the timer and free every place."""
        if self._timer is not None:
            self._timer.cancel()
        self._sender.release(self._progress)
