"""One query's fan-out: a call per shard, retries, hedges, deadlines, and the final outcome.

Owns the progress of a running query.  Everything runs in event-loop callbacks, without a task or a
closure per call, and one timer serves the whole query; this keeps the cost of a call close to that
of the transport (docs/CALL_COST.md).  docs/ROUTING.md gives the reasons for the routing decisions.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from tinrudder.common.crash_limit import CRASH_LIMIT
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
from tinrudder.node.query.plan import QueryPlan
from tinrudder.node.query.query_outcome import decide_outcome
from tinrudder.node.query.reply_interpretation import reason_of, rows_of
from tinrudder.node.query.shard_progress import ShardProgress
from tinrudder.node.resources.model import Preference
from tinrudder.timers import TimerHandle, Timers

MAX_ATTEMPTS_PER_SHARD = 3
"""Maximum number of calls for one shard in one plan, without hedges: with two replicas, both are
tried and one of them twice."""
MAX_REPLANS = 1
"""Maximum number of times that a query restarts on another index version.  One restart at most
doubles the number of its calls."""
REFUSAL_WAIT_S = 0.02
"""Seconds for which a query that can no longer reach its minimum coverage waits for its calls in
flight to be refused, while no hedge delay is known."""
OutcomeListener = Callable[[Outcome], None]


class Replanner(Protocol):
    """Moves a query to another index version when back ends no longer serve its own."""

    def record_version_gone(self, plan: QueryPlan, backend: BackendRecord) -> None:
        """Record that a back end does not serve the plan's version."""

    def replan(self, plan: QueryPlan) -> QueryPlan | None:
        """Return a plan on a version that reaches more shards, ``None`` to keep the current one."""


class FanOut:
    """Runs one query to its outcome and reports it exactly once, unless the query is abandoned."""

    def __init__(
        self,
        plan: QueryPlan,
        dispatcher: Dispatcher,
        timers: Timers,
        on_outcome: OutcomeListener,
        replanner: Replanner,
        permit: QueryPermit | None = None,
    ) -> None:
        """Create a fan-out; no call is sent before :meth:`start`.

        :param permit: counts the bytes of the answers that the query buffers; closed by its owner.
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
        """Start a plan with empty progress, discarding the progress of an earlier plan."""
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
        """Return the current plan."""
        return self._plan

    @property
    def shards(self) -> Sequence[ShardProgress]:
        """Return the progress of each shard of the current plan."""
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
        """End the query without reporting an outcome, because its caller has gone."""
        if not self._finished:
            self._finished = True
            self._stop()

    def _submit_all(self, now: float) -> None:
        """Submit the first call of every shard."""
        self._routing.credit_first_calls(len(self._progress))
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
        """Return the back ends that may receive a shard's next call."""
        return self._plan.routing.candidates(
            progress.planned.candidates, progress.tried, now, may_probe=self._plan.repeatable
        )

    def on_shed(self, progress: ShardProgress) -> None:
        """Settle a shard without rows after its queued call was dropped."""
        progress.pending = None
        if not self._finished and not progress.settled:
            self._settle(progress, progress.last_reason or MissingReason.NOT_ASKED)

    def on_dispatch(self, progress: ShardProgress, backend: BackendRecord) -> None:
        """Send a shard's submitted call to the chosen back end."""
        progress.pending = None
        progress.attempts += 1
        self._sender.send(progress, backend)

    def on_reply(self, progress: ShardProgress, sent: SentCall, reply: BackendReply) -> None:
        """Process one reply; the routing observes it even if the shard is already settled."""
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
            progress.may_have_started = True
            self._broken_calls += 1
        elif type(reply) is VersionGone:
            self._replanner.record_version_gone(self._plan, sent.backend)
        progress.last_reason = reason_of(reply)
        self._retry_or_settle(progress, reply, now)

    def _on_answer(self, progress: ShardProgress, reply: Answered, now: float) -> None:
        """Accept rows only if they are of the pinned version and of the requested shard."""
        answer = reply.answer
        if self._permit is not None and not self._permit.reserve_bytes(reply.size_bytes):
            progress.may_have_started = True
            self._sender.cancel_superseded(progress, now)
            self._settle(progress, MissingReason.TENANT_LIMIT)
            return
        rows = rows_of(answer.shards, progress.planned.spec.shard)
        if answer.version != self._plan.version or rows is None:
            progress.may_have_started = True
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
        """Retry on another replica if rule and retry budget allow it, else settle the shard.

        A call that was not sent put no load on a back end, so its retry costs no budget.
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
        """Settle a shard without rows; end the query if its minimum coverage is out of reach."""
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
        """End a query that cannot reach its minimum coverage, without waiting for its deadline.

        If no back end has started it so far, the outcome is still ``NotRun`` when all calls in
        flight are refused.  Refusals are awaited for the hedge delay, i.e. about as long as a slow
        answer takes.
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
            progress.may_have_started or progress.rows is not None for progress in self._progress
        )
        if not in_flight or not may_be_not_run:
            self._finish(at_deadline=False)

    def _try_replan(self) -> bool:
        """Restart on a version that reaches more shards, discarding all rows received so far."""
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
            self._permit.release_bytes()
        self._adopt(plan)
        now = self._timers.time()
        self._submit_all(now)
        if not self._finished:
            self._schedule_timer(now)
        return True

    @property
    def _may_be_poison(self) -> bool:
        """Return whether ``CRASH_LIMIT`` calls broke while no shard was answered.

        Such a query may crash every back end that runs it, so it is sent to no further replica.
        In a scripted run with two shards, such a query crashed six back ends without this bound
        and four with it.
        """
        return self._answered == 0 and self._broken_calls >= CRASH_LIMIT

    def _may_spend_retry(self, progress: ShardProgress) -> bool:
        """Take a retry from the budget; a coverage-first query that lacks the owner is urgent."""
        urgent = (
            self._plan.rule.preference is Preference.COVERAGE
            and progress.planned.spec.owner not in owners_included(self._progress)
        )
        return self._routing.retry.may_retry(urgent=urgent)

    def _schedule_timer(self, now: float) -> None:
        """Set the timer to the next deadline or the next check for overdue calls."""
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
        """Finish at a deadline, otherwise hedge overdue calls and set the timer again.

        :param when: the time for which the timer was set.  The event loop may call up to its
            clock's resolution early; taking ``when`` as the current time prevents setting the
            timer for the same time again.
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
        """Return whether the coverage so far meets the rule."""
        return len(self._progress) - self._answered <= self._max_missing

    def _finish(self, *, at_deadline: bool) -> None:
        """Report the outcome once, after releasing the query's calls."""
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
        """Mark the shards whose calls are still in flight as given up."""
        for progress in self._progress:
            if not progress.settled and progress.calls:
                progress.problem = MissingReason.GIVEN_UP

    def _stop(self) -> None:
        """Cancel the timer and release all calls."""
        if self._timer is not None:
            self._timer.cancel()
        self._sender.release(self._progress)
