"""Runs one request to its outcome: a scatter over shards, or a single service as one shard.

Owns the shards of the run and one timer for all of them.  After every change it evaluates when to
answer (:mod:`tinrudder.gateway.decisions.attempts.answer_time`).  :class:`ShardCalls` makes the
calls of each shard, :class:`DelegatedGroups` handles the shards that other gateways call, and
:class:`RunGuard` restricts the run after back ends have crashed while running the request.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from tinrudder.gateway.decisions.attempts.answer_time import ScatterState, Verdict, decide
from tinrudder.gateway.model.outcomes import NotRun, RequestOutcome
from tinrudder.gateway.peers.peer_messages import MissingShard
from tinrudder.gateway.runs.delegated_groups import DelegatedGroups
from tinrudder.gateway.runs.run_context import NEVER, RunContext
from tinrudder.gateway.runs.run_outcome import RefusalMaker, answer_of, failure_of
from tinrudder.gateway.runs.shard_calls import ShardCalls
from tinrudder.gateway.runs.shard_tally import ShardTally
from tinrudder.gateway.scatters.delegated_shards import DelegatedShards
from tinrudder.timers import TimerHandle

ABANDONED_CALL_TIMEOUT_S = 0.3
"""How long calls may continue after their run has ended, seconds.  Cancelling a call costs its
connection, but work for a client that has disconnected must end within half a second, including the
network round trip."""
FULL_SHARE = 1.0
"""Minimum share for a single service: its answer is complete or missing."""

OutcomeListener = Callable[[RequestOutcome], None]


class RequestRun:
    """Runs one request; reports its outcome exactly once, unless it is abandoned before.

    :ivar decided_at: monotonic time of the latest decision; merging follows the last one.
    :ivar on_progress: called when a shard or group has changed and the run continues.
    """

    def __init__(
        self,
        context: RunContext,
        services: tuple[str, ...],
        on_outcome: OutcomeListener,
        *,
        minimum_share: float | None = None,
        delegated: Sequence[DelegatedShards] = (),
        make_refusal: RefusalMaker = NotRun,
    ) -> None:
        """Prepare calls to ``services``: shards of the route, or the single service chosen.

        :param minimum_share: minimum share of the shards that an answer must include; the route's
            if ``None``.
        :param delegated: the other shards of the scatter, which other gateways call.
        """
        self._context = context
        self._on_outcome = on_outcome
        self._make_refusal = make_refusal
        self._finished = False
        self._starting = True
        self._timer: TimerHandle | None = None
        self._timer_at = NEVER
        self.decided_at = 0.0
        self.on_progress: Callable[[], None] = lambda: None
        self._started_at = 0.0
        self._answered_after_s = 0.0
        if minimum_share is None:
            minimum_share = context.route.minimum_share if context.is_scatter else FULL_SHARE
        self._minimum_share = minimum_share
        self._total = len(services) + sum(len(group.services) for group in delegated)
        self._tally = ShardTally(context.call_context.memory)
        self._groups = DelegatedGroups(delegated)
        self._was_unrestricted = True
        self.shards = self._calls(services)

    def _calls(
        self, services: Sequence[str], *, called_by_other_gateway: bool = False
    ) -> list[ShardCalls]:
        """Return the calls of some shards, not started yet."""
        return [
            ShardCalls(
                service,
                self._context,
                self._on_shard_change,
                called_by_other_gateway=called_by_other_gateway,
            )
            for service in services
        ]

    @property
    def included(self) -> int:
        """Number of shards that have answered."""
        return self._tally.included + self._groups.included

    @property
    def unanswered_share(self) -> float:
        """Share of the shards that have not answered, 0 to 1."""
        return 1.0 - self.included / self._total

    def hold_s(self, now: float) -> float:
        """Return how long the run has held a shard's slot so far, mean of all shards, seconds."""
        elapsed_s = now - self._started_at
        return self._answered_after_s / self._total + self.unanswered_share * elapsed_s

    @property
    def repeats(self) -> int:
        """Number of hedges and retries sent for all shards."""
        here = sum(shard.repeats for shard in self.shards)
        return here + self._groups.repeats

    @property
    def missing_shards(self) -> tuple[MissingShard, ...]:
        """The shards without an answer, with the reason."""
        here = tuple(
            MissingShard(shard.service, shard.last_error or "no answer yet")
            for shard in self.shards
            if shard.part is None
        )
        called_here = {shard.service for shard in self.shards}
        elsewhere = self._groups.missing_shards
        return here + tuple(one for one in elsewhere if one.service not in called_here)

    @property
    def waiting_service(self) -> str:
        """The service whose back ends have got nothing of the run yet; empty for a scatter."""
        if self._finished or self._context.is_scatter or self.shards[0].was_sent:
            return ""
        return self.shards[0].service

    def start(self) -> None:
        """Send the first calls."""
        now = self._context.call_context.loop.time()
        self._started_at = now
        self._was_unrestricted = self._context.guard.is_unrestricted
        self._groups.follow(self._on_group_end)
        if self._was_unrestricted:
            self._groups.start_all()
        for shard in self.shards:
            shard.start(now)
        self._starting = False
        for shard in self.shards:
            self._tally.update(shard)
        self._apply_guard(now)
        self._act_on_decision(now)
        self._arm_for_shards()

    def _apply_guard(self, now: float) -> None:
        """Apply the guard's state: send the calls held back, start a canary, or stop sending."""
        if self._context.guard.is_stopped:
            self._stop_sending()
            return
        is_unrestricted = self._context.guard.is_unrestricted
        if is_unrestricted and not self._was_unrestricted:
            self._groups.start_all()
            for shard in self.shards:
                shard.resume(now)
        elif not is_unrestricted and not any(shard.may_be_answered for shard in self.shards):
            # This gateway can call no back end, so only a delegated canary can end the hold.
            self._groups.start_canary()
        self._was_unrestricted = is_unrestricted

    def _stop_sending(self) -> None:
        """Stop sending, since this request crashes back ends."""
        self._groups.cancel_unstarted()
        for shard in self.shards:
            if shard.part is None:
                shard.stop_sending()
                self._tally.update(shard)

    def abandon(self) -> None:
        """End the run without reporting an outcome, since the client has disconnected."""
        if self._finished:
            return
        self._context.call_context.counters.clients_left += 1
        self._stop()

    def on_deadline_shortened(self) -> None:
        """Apply a deadline that a planned stop has brought forward."""
        if self._finished:
            return
        self._on_due(self._context.call_context.loop.time())

    def _on_shard_change(self, shard: ShardCalls) -> None:
        """Decide again after a change of one shard."""
        # Shards that change while the first calls are sent are counted after the last one is sent.
        if self._finished or self._starting:
            return
        now = self._context.call_context.loop.time()
        before = self._tally.included
        self._tally.update(shard)
        self._answered_after_s += (self._tally.included - before) * (now - self._started_at)
        self._apply_guard(now)
        self._act_on_decision(now)
        if not self._finished:
            self._arm(shard.next_at)
            self.on_progress()

    def _on_group_end(self, group: DelegatedShards) -> None:
        """Use the answer of another gateway, or call the shards from here if that is safe."""
        # The group may end after the run, which cancels it.
        if self._finished:
            return
        now = self._context.call_context.loop.time()
        if group.may_run_locally:
            self._take_over(group, now)
        if group.included:
            self._context.guard.note_answered_elsewhere()
            self._answered_after_s += group.included * (now - self._started_at)
        self._apply_guard(now)
        self._act_on_decision(now)
        self._arm_for_shards()
        if not self._finished:
            self.on_progress()

    def _take_over(self, group: DelegatedShards, now: float) -> None:
        """Call the shards of a delegated group from this gateway."""
        self._context.call_context.counters.delegations_run_here += 1
        self._groups.take_over(group)
        self._start_calls(self._calls(group.services), now)

    def _call_missing_here(self, now: float) -> bool:
        """Call the shards missing from other gateways' answers; return whether there are any.

        Each of these gateways answered at the objective, and may have left out as many shards as
        the whole scatter may lack.  Together that can be too many.
        """
        if not self._context.is_scatter or now >= self._context.deadlines.deadline_at:
            return False
        called_here = {shard.service for shard in self.shards}
        attempts_cover_all_replicas = (
            self._context.call_context.directory.attempts_cover_all_replicas
        )
        missing = [
            one.service
            for one in self._groups.missing_at_end
            if one.service not in called_here
            and attempts_cover_all_replicas(one.service, self._context.route.attempts)
        ]
        self._start_calls(self._calls(missing, called_by_other_gateway=True), now)
        return bool(missing)

    def _start_calls(self, calls: list[ShardCalls], now: float) -> None:
        """Add and start calls of further shards."""
        self.shards.extend(calls)
        self._starting = True
        for shard in calls:
            shard.start(now)
        self._starting = False
        for shard in calls:
            self._tally.update(shard)

    def _act_on_decision(self, now: float) -> None:
        """Decide whether to wait, answer or fail, and do so."""
        self.decided_at = now
        decision = decide(self._state(), now)
        if decision.verdict is Verdict.FAIL and self._call_missing_here(now):
            decision = decide(self._state(), now)
            self._arm_for_shards()
        if decision.verdict is Verdict.WAIT:
            self._arm(decision.until)
            if now < (latest_send_at := self._context.latest_send_at):
                self._arm(latest_send_at)
        elif decision.verdict is Verdict.ANSWER:
            self._finish(answer_of(self._context, self.shards, self._groups, self._total))
        else:
            self._finish(
                failure_of(self._context, self.shards, self._groups, self._make_refusal, now)
            )

    def _state(self) -> ScatterState:
        """Return the inputs of the decision."""
        return ScatterState(
            shards=self._total,
            included=self.included,
            outstanding=len(self.shards) - self._tally.settled + self._groups.outstanding,
            minimum_share=self._minimum_share,
            objective_at=self._context.deadlines.objective_at,
            deadline_at=self._context.deadlines.deadline_at,
        )

    def _arm(self, when: float) -> None:
        """Set the run's timer to ``when``, unless it is set to an earlier time."""
        if self._timer is not None:
            if self._timer_at <= when:
                return
            self._timer.cancel()
        if when == NEVER:
            return
        self._timer_at = when
        self._timer = self._context.call_context.loop.call_at(when, self._on_timer)

    def _arm_for_shards(self) -> None:
        """Set the timer to the next due time of all shards."""
        if not self._finished:
            self._arm(min((shard.next_at for shard in self.shards), default=NEVER))

    def _on_timer(self) -> None:
        """Send the hedges and retries that are due, then decide."""
        self._timer = None
        if self._finished:
            return
        # The loop may call early by up to the resolution of its clock.
        self._on_due(max(self._timer_at, self._context.call_context.loop.time()))

    def _on_due(self, now: float) -> None:
        """Act on everything that is due, then decide."""
        for shard in self.shards:
            shard.on_due(now)
            shard.stop_unsendable(now)
            # A call may end synchronously, and so end the run.
            if self._finished:
                return
            self._tally.update(shard)
        self._apply_guard(now)
        self._act_on_decision(now)
        self._arm_for_shards()

    def _finish(self, outcome: RequestOutcome) -> None:
        """End the run and report its outcome."""
        self._stop()
        self._on_outcome(outcome)

    def _stop(self) -> None:
        """Stop sending; calls in progress get a grace period, as cancelling costs a connection."""
        self._finished = True
        self._tally.release()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._groups.cancel()
        for shard in self.shards:
            shard.end()
        if any(shard.running for shard in self.shards):
            self._context.call_context.loop.call_later(
                ABANDONED_CALL_TIMEOUT_S, self._cancel_running
            )

    def _cancel_running(self) -> None:
        """Cancel the calls that are still in progress."""
        now = self._context.call_context.loop.time()
        for shard in self.shards:
            shard.cancel_running(now)
