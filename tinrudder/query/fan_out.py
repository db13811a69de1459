"""One query's fan-out: a call per shard, retries, deadlines, and the final outcome.

Everything runs in callbacks of the event loop; no task is made per call, which is what keeps
the call path near the cost of the transport (see docs/CALL_COST.md).
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from tinrudder.backends.messages import (
    Answered,
    BackendReply,
    Broken,
    Draining,
    NotSent,
    SearchRequest,
    ShardRows,
    Shed,
    VersionGone,
)
from tinrudder.outcomes import (
    Answer,
    Complete,
    Coverage,
    Failed,
    FailedReason,
    MayHaveRun,
    MayHaveRunReason,
    MissingReason,
    MissingShard,
    NotRun,
    NotRunReason,
    Outcome,
    Partial,
)
from tinrudder.query.dispatcher import Dispatcher, SentCall
from tinrudder.query.merge import merge_rows
from tinrudder.query.plan import PlannedShard, QueryPlan
from tinrudder.resources.model import Preference
from tinrudder.routing.backend_record import BackendRecord
from tinrudder.routing.pending_call import PendingCall
from tinrudder.routing.tenant_usage import QueryPermit
from tinrudder.timers import TimerHandle, Timers

MAX_ATTEMPTS_PER_SHARD = 3
OutcomeListener = Callable[[Outcome], None]


@dataclass(slots=True, eq=False)
class ShardProgress:
    """How far one shard of the query has come.

    :param first_sent_at: monotonic time of its first call, seconds.
    :param touched: some ended call may have been started by its back end.
    """

    planned: PlannedShard
    rows: ShardRows | None = None
    problem: MissingReason | None = None
    attempts: int = 0
    touched: bool = False
    pending: PendingCall | None = None
    in_flight: list[SentCall] = field(default_factory=list)
    tried: list[BackendRecord] = field(default_factory=list)
    first_sent_at: float | None = None

    @property
    def untouched(self) -> bool:
        """Tell whether no back end can have started this shard's call so far."""
        if self.touched or self.rows is not None:
            return False
        return not any(sent.call.may_have_left for sent in self.in_flight)

    @property
    def settled(self) -> bool:
        """Tell whether this shard is done, with or without rows."""
        return self.rows is not None or self.problem is not None


class FanOut:
    """Runs one plan to its outcome, which is reported exactly once."""

    def __init__(
        self,
        plan: QueryPlan,
        dispatcher: Dispatcher,
        timers: Timers,
        on_outcome: OutcomeListener,
        permit: QueryPermit | None = None,
    ) -> None:
        """Prepare; nothing is sent before :meth:`start`.

        :param permit: counts the answers that the query holds; its owner closes it.
        """
        self._permit = permit
        self._plan = plan
        self._dispatcher = dispatcher
        self._timers = timers
        self._on_outcome = on_outcome
        self._progress = [ShardProgress(shard) for shard in plan.shards]
        self._unsettled = len(self._progress)
        self._finished = False
        self._timer_handles: list[TimerHandle] = []

    @property
    def plan(self) -> QueryPlan:
        """Return the plan."""
        return self._plan

    @property
    def shards(self) -> Sequence[ShardProgress]:
        """Return how far each shard has come."""
        return self._progress

    def start(self) -> None:
        """Submit one call per shard and set the deadlines."""
        now = self._timers.time()
        deadline = self._plan.request.deadline
        self._timer_handles.append(self._timers.call_at(deadline, self._on_hard_deadline))
        if self._plan.rule.preference is Preference.LATENCY:
            soft = now + self._plan.rule.soft_deadline_ms / 1000
            if soft < deadline:
                self._timer_handles.append(self._timers.call_at(soft, self._on_soft_deadline))
        for progress in self._progress:
            self._submit(progress)
            if self._finished:
                return

    def abandon(self) -> None:
        """End the query for a caller that went away; nobody is told an outcome."""
        self._on_outcome = _tell_nobody
        self._finish(MayHaveRun(MayHaveRunReason.CANCELLED))

    def _submit(self, progress: ShardProgress) -> None:
        """Queue one call for a shard, or settle it when no replica is left."""
        candidates = tuple(
            backend
            for backend in progress.planned.candidates
            if not backend.leaving and backend not in progress.tried
        )
        if not candidates:
            self._settle(progress, progress_problem(progress, MissingReason.NO_REPLICA))
            return
        request = self._plan.request
        pending = PendingCall(
            request.tenant,
            self._plan.weight,
            self._plan.rule.priority,
            1.0,
            candidates,
            request.deadline,
            self._timers.time(),
            lambda backend: self._send(progress, backend),
            lambda: self._on_shed(progress),
        )
        progress.pending = pending
        self._dispatcher.submit(pending)

    def _on_shed(self, progress: ShardProgress) -> None:
        """Give up a shard whose waiting call will not be sent any more."""
        progress.pending = None
        if not self._finished:
            self._settle(progress, progress_problem(progress, MissingReason.NOT_ASKED))

    def _send(self, progress: ShardProgress, backend: BackendRecord) -> None:
        """Send a shard's call to the chosen back end."""
        progress.pending = None
        progress.attempts += 1
        progress.tried.append(backend)
        request = self._plan.request
        remaining_ms = max(1, int((request.deadline - self._timers.time()) * 1000))
        message = SearchRequest(
            0,
            request.index,
            self._plan.version,
            (progress.planned.spec.shard,),
            request.match,
            request.order_by,
            request.descending,
            request.limit,
            remaining_ms,
            request.after,
            request.operation,
            request.query_id,
        )
        sent = self._dispatcher.send(
            backend,
            message,
            request.deadline,
            lambda call, reply: self._on_reply(progress, call, reply),
        )
        progress.in_flight.append(sent)
        if progress.first_sent_at is None:
            progress.first_sent_at = sent.sent_at

    def _on_reply(self, progress: ShardProgress, sent: SentCall, reply: BackendReply) -> None:
        """Take one reply; a second answer for a settled shard changes nothing."""
        progress.in_flight.remove(sent)
        if self._finished or progress.settled:
            return
        match reply:
            case Answered(answer, size_bytes):
                if self._permit is not None and not self._permit.hold_bytes(size_bytes):
                    progress.touched = True
                    self._settle(progress, MissingReason.TENANT_LIMIT)
                    return
                self._on_answer(progress, answer.version, answer.shards)
            case Shed() | Draining() | NotSent() | VersionGone():
                self._retry_or_settle(progress, _reason_of(reply))
            case Broken():
                progress.touched = True
                self._retry_or_settle(progress, MissingReason.BROKEN)

    def _on_answer(
        self, progress: ShardProgress, version: int, shards: Sequence[ShardRows]
    ) -> None:
        """Take rows, but only of the pinned version and of the shard that was asked."""
        wanted = progress.planned.spec.shard
        rows = next((rows for rows in shards if rows.shard == wanted), None)
        if version != self._plan.version or rows is None:
            progress.touched = True
            self._retry_or_settle(progress, MissingReason.VERSION_GONE)
            return
        progress.rows = rows
        for other in progress.in_flight:
            self._dispatcher.cancel(other)
        progress.in_flight.clear()
        self._after_settling()

    def _retry_or_settle(self, progress: ShardProgress, reason: MissingReason) -> None:
        """Ask another replica if the rule allows it, else give the shard up."""
        if progress.in_flight:
            return
        may_repeat = self._plan.rule.repeatable or progress.untouched
        if may_repeat and progress.attempts < MAX_ATTEMPTS_PER_SHARD:
            self._submit(progress)
            return
        self._settle(progress, reason)

    def _settle(self, progress: ShardProgress, reason: MissingReason) -> None:
        """Give a shard up."""
        progress.problem = reason
        self._after_settling()

    def _after_settling(self) -> None:
        """Finish once every shard is settled."""
        self._unsettled -= 1
        if self._unsettled == 0:
            self._finish(self._outcome())

    def _on_soft_deadline(self) -> None:
        """Return early if the coverage suffices."""
        answered = sum(1 for progress in self._progress if progress.rows is not None)
        if answered / len(self._progress) >= self._plan.rule.minimum_coverage:
            self._finish(self._outcome())

    def _on_hard_deadline(self) -> None:
        """Return with what is there."""
        self._finish(self._outcome())

    def _finish(self, outcome: Outcome) -> None:
        """Report once, stop timers and free every place the query still holds."""
        if self._finished:
            return
        self._finished = True
        for handle in self._timer_handles:
            handle.cancel()
        for progress in self._progress:
            if progress.pending is not None:
                self._dispatcher.withdraw(progress.pending)
            for sent in progress.in_flight:
                self._dispatcher.cancel(sent)
            progress.in_flight.clear()
        self._on_outcome(outcome)

    def _outcome(self) -> Outcome:
        """Judge the shards as they stand now."""
        coverage = self._coverage()
        if not coverage.included:
            return self._empty_outcome(coverage)
        if coverage.ratio < self._plan.rule.minimum_coverage:
            return Failed(FailedReason.COVERAGE_TOO_LOW, f"coverage {coverage.ratio:.3f}", coverage)
        request = self._plan.request
        answered = [progress.rows for progress in self._progress if progress.rows is not None]
        page = merge_rows(
            [rows.rows for rows in answered],
            descending=request.descending,
            limit=request.limit,
            more=any(rows.more for rows in answered),
        )
        answer = Answer(self._plan.version, page.rows, coverage, page.next_after)
        return Partial(answer) if coverage.missing else Complete(answer)

    def _empty_outcome(self, coverage: Coverage) -> Outcome:
        """Judge a query without a single answered shard."""
        if all(progress.untouched for progress in self._progress):
            return NotRun(NotRunReason.OVERLOADED, "no back end started any part")
        if not self._plan.rule.repeatable:
            return MayHaveRun(MayHaveRunReason.NO_ANSWER)
        return Failed(FailedReason.COVERAGE_TOO_LOW, "no shard answered", coverage)

    def _coverage(self) -> Coverage:
        """State which shards are in and why the others are not."""
        included: list[str] = []
        missing: list[MissingShard] = []
        for progress in self._progress:
            spec = progress.planned.spec
            if progress.rows is not None:
                included.append(spec.shard)
                continue
            reason = progress.problem or MissingReason.TIMED_OUT
            missing.append(MissingShard(spec.shard, spec.owner, reason))
        return Coverage(tuple(included), tuple(missing))


def _tell_nobody(_: Outcome) -> None:
    """Drop an outcome nobody waits for."""


def progress_problem(progress: ShardProgress, if_never_sent: MissingReason) -> MissingReason:
    """Return why a shard that is not asked again is missing."""
    return MissingReason.BROKEN if progress.attempts else if_never_sent


def _reason_of(reply: BackendReply) -> MissingReason:
    """Turn a refusal into the reason stated in the coverage."""
    if isinstance(reply, VersionGone):
        return MissingReason.VERSION_GONE
    if isinstance(reply, NotSent):
        return MissingReason.BROKEN
    return MissingReason.REFUSED
