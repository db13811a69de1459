"""Runs one request to its outcome: a scatter over shards, or a single back end as one shard."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from tinrudder.gateway.clients.client_deadlines import Deadlines
from tinrudder.gateway.decisions.attempts.answer_time import ScatterState, Verdict, decide
from tinrudder.gateway.model.configuration import Route
from tinrudder.gateway.model.http_messages import HttpAnswer, header_value
from tinrudder.gateway.model.outcomes import (
    Merged,
    NoAnswer,
    NotRun,
    Relayed,
    RequestOutcome,
    TimedOut,
)
from tinrudder.gateway.peers.peer_messages import MissingShard
from tinrudder.gateway.requests.call_context import CallContext
from tinrudder.gateway.requests.request_bytes import RequestBytes
from tinrudder.gateway.requests.run_guard import RunGuard
from tinrudder.gateway.requests.shard_calls import NEVER, ShardCalls
from tinrudder.gateway.scatters.delegated_shards import DelegatedShards
from tinrudder.gateway.scatters.record_merge import greatest_records
from tinrudder.timers import TimerHandle

ABSORB_S = 0.3
"""How long calls that nobody waits for may go on, since closing costs a connection: work for a
client that has left must end within half a second, the ways there and back included."""
RETRY_AFTER_S = 0.1
"""When to come back after a refusal that another replica or a free slot may end, a choice."""
RETRY_DEAD_S = 0.5
"""When to come back where every back end of a shard has ended: processes take seconds to start, and
the clients seen come back within a third of their deadline of 0.8 to 8 s at the latest."""
WHOLE = 1.0
"""The share of a single back end's answer: all of it."""

OutcomeListener = Callable[[RequestOutcome], None]


class RequestRun:
    """One request; its outcome is reported exactly once, unless the client leaves before.

    :ivar decided_at: monotonic time of the latest decision; merging comes after the last one.
    :ivar on_progress: is told whenever shards have ended and the request goes on.
    """

    def __init__(
        self,
        route: Route,
        services: tuple[str, ...],
        request: RequestBytes,
        deadlines: Deadlines,
        call_context: CallContext,
        on_outcome: OutcomeListener,
        *,
        minimum_share: float | None = None,
        delegated: Sequence[DelegatedShards] = (),
        turned_away: Callable[[str, float], NotRun] = NotRun,
    ) -> None:
        """Prepare calls to ``services``: shards of the route, or the one service chosen.

        :param minimum_share: the least share that makes an answer; by the route if ``None``.
        :param delegated: the other shards of the scatter, asked by other gateways.
        :param turned_away: makes the outcome where nothing has run, of why and a shortest pause.
        """
        self._route = route
        self._turned_away = turned_away
        self._request = request
        self._deadlines = deadlines
        self._call_context = call_context
        self._on_outcome = on_outcome
        self._scatter = bool(route.shards)
        self._finished = False
        self._starting = True
        self._timer: TimerHandle | None = None
        self._timer_at = NEVER
        self.decided_at = 0.0
        self.on_progress: Callable[[], None] = lambda: None
        self._started_at = 0.0
        self._answered_after_s = 0.0
        self._included = 0
        self._part_bytes = 0
        self._ended: set[ShardCalls] = set()
        self._hopeless: set[ShardCalls] = set()
        self._unheard_may_run = False
        if minimum_share is None:
            minimum_share = route.minimum_share if self._scatter else WHOLE
        self._minimum_share = minimum_share
        self._total = len(services) + sum(len(group.services) for group in delegated)
        self._delegated = list(delegated)
        self._held_groups: list[DelegatedShards] = []
        self._guard = RunGuard(call_context.evidence, request, route)
        self._was_free = True
        self.shards = self._calls(services)

    def _calls(self, services: Sequence[str], *, asked_before: bool = False) -> list[ShardCalls]:
        """Prepare the calls of some shards."""
        return [
            ShardCalls(
                service,
                self._route,
                self._request,
                self._call_context,
                self._review,
                self._guard,
                self._deadlines.objective_at,
                relay_failures=not self._scatter,
                asked_before=asked_before,
            )
            for service in services
        ]

    @property
    def included(self) -> int:
        """Return how many shards have answered."""
        return self._included + sum(group.included for group in self._delegated)

    @property
    def unanswered_share(self) -> float:
        """Return the part of the shards that has not answered, 0 to 1."""
        return 1.0 - self.included / self._total

    def hold_s(self, now: float) -> float:
        """Return for how long it has held the room of a shard so far, in the mean of all."""
        elapsed_s = now - self._started_at
        return self._answered_after_s / self._total + self.unanswered_share * elapsed_s

    @property
    def repeats(self) -> int:
        """Return how many calls were sent beyond the first of each shard."""
        here = sum(shard.repeats for shard in self.shards)
        return here + sum(group.repeats for group in self._delegated)

    @property
    def missing_shards(self) -> tuple[MissingShard, ...]:
        """Return the shards without an answer, and why."""
        here = tuple(
            MissingShard(shard.service, shard.last_problem or "no answer yet")
            for shard in self.shards
            if shard.part is None
        )
        asked_here = {shard.service for shard in self.shards}
        elsewhere = (one for group in self._delegated for one in group.missing_shards)
        return here + tuple(one for one in elsewhere if one.service not in asked_here)

    def start(self) -> None:
        """Send the first calls."""
        now = self._call_context.loop.time()
        self._started_at = now
        self._was_free = self._guard.is_free
        for group in self._delegated:
            group.on_end = self._on_group_end
        self._held_groups = list(self._delegated)
        if self._was_free:
            self._start_held_groups()
        for shard in self.shards:
            shard.start(now)
        self._starting = False
        for shard in self.shards:
            self._count(shard)
        self._follow_guard(now)
        self._act(now)
        self._arm_for_shards()

    def _start_held_groups(self) -> None:
        """Let other gateways ask their shards."""
        held, self._held_groups = self._held_groups, []
        for group in held:
            group.start()

    def _try_elsewhere(self) -> None:
        """Let one other gateway find out whether the request crashes what runs it.

        Where no back end can be asked from here, nothing else would ever end the wait for that.
        """
        waits_here = any(shard.hopeful for shard in self.shards)
        waits_there = any(one.pending for one in self._delegated if one not in self._held_groups)
        if self._held_groups and not waits_here and not waits_there:
            self._held_groups.pop(0).start()

    def _follow_guard(self, now: float) -> None:
        """Send what was held back once the run is free, or give it up."""
        if self._guard.is_stopped:
            self._give_up()
            return
        is_free = self._guard.is_free
        if is_free and not self._was_free:
            self._start_held_groups()
            for shard in self.shards:
                shard.resume(now)
        elif not is_free:
            self._try_elsewhere()
        self._was_free = is_free

    def _give_up(self) -> None:
        """Send nothing more: back ends crash under this request."""
        for group in self._held_groups:
            group.withhold()
        self._held_groups.clear()
        for shard in self.shards:
            if shard.part is None:
                shard.give_up()
                self._count(shard)

    def abandon(self) -> None:
        """End for a client that has left; nobody is told an outcome."""
        if self._finished:
            return
        self._call_context.counters.clients_left += 1
        self._stop()

    def _review(self, shard: ShardCalls) -> None:
        """Decide anew after a change of one shard."""
        if self._finished or self._starting:
            return
        now = self._call_context.loop.time()
        before = self._included
        self._count(shard)
        self._answered_after_s += (self._included - before) * (now - self._started_at)
        self._follow_guard(now)
        self._act(now)
        if not self._finished:
            self._arm(shard.next_at)
            self.on_progress()

    def _on_group_end(self, group: DelegatedShards) -> None:
        """Take what another gateway got, or ask here for what it did not."""
        if self._finished:
            return
        now = self._call_context.loop.time()
        if group.may_run_here:
            self._take_over(group, now)
        if group.included:
            self._guard.note_answered_elsewhere()
            self._answered_after_s += group.included * (now - self._started_at)
        self._follow_guard(now)
        self._act(now)
        self._arm_for_shards()
        if not self._finished:
            self.on_progress()

    def _take_over(self, group: DelegatedShards, now: float) -> None:
        """Ask a group's shards from here."""
        self._call_context.counters.delegations_run_here += 1
        self._delegated.remove(group)
        self._unheard_may_run |= group.may_have_run
        self._start_here(self._calls(group.services), now)

    def _ask_again_here(self, now: float) -> bool:
        """Ask for shards that other gateways ended without; tell whether there are any.

        Their answers left at the objective, each with as few shards as may be missing of the
        whole; together that can be too few.
        """
        if not self._scatter or now >= self._deadlines.deadline_at:
            return False
        asked_here = {shard.service for shard in self.shards}
        fits_attempts = self._call_context.directory.fits_attempts
        lacking = [
            one.service
            for group in self._delegated
            if not group.pending
            for one in group.missing_shards
            if one.service not in asked_here and fits_attempts(one.service, self._route.attempts)
        ]
        self._start_here(self._calls(lacking, asked_before=True), now)
        return bool(lacking)

    def _start_here(self, calls: list[ShardCalls], now: float) -> None:
        """Start calls of further shards."""
        self.shards.extend(calls)
        self._starting = True
        for shard in calls:
            shard.start(now)
        self._starting = False
        for shard in calls:
            self._count(shard)

    def _count(self, shard: ShardCalls) -> None:
        """Keep the counts that the decision needs; a scatter reviews as often as it has shards."""
        if shard in self._ended:
            return
        if shard.part is not None:
            self._ended.add(shard)
            self._included += 1
            self._hold(len(shard.part.body))
        if shard.hopeful or shard.part is not None:
            self._hopeless.discard(shard)
        else:
            self._hopeless.add(shard)

    def _hold(self, size: int) -> None:
        """Count bytes of answers that wait for the others, or do not any more."""
        self._part_bytes += size
        self._call_context.memory.backends += size

    def _act(self, now: float) -> None:
        """Wait, answer or fail, as decided now."""
        self.decided_at = now
        decision = decide(self._state(), now)
        if decision.verdict is Verdict.FAIL and self._ask_again_here(now):
            decision = decide(self._state(), now)
            self._arm_for_shards()
        if decision.verdict is Verdict.WAIT:
            self._arm(decision.until)
        elif decision.verdict is Verdict.ANSWER:
            self._finish(self._answer())
        else:
            self._finish(self._failure(now))

    def _state(self) -> ScatterState:
        """Return the inputs of the decision."""
        here = len(self.shards) - self._included - len(self._hopeless)
        return ScatterState(
            shards=self._total,
            included=self.included,
            hopeful=here + sum(group.hopeful for group in self._delegated),
            minimum_share=self._minimum_share,
            objective_at=self._deadlines.objective_at,
            deadline_at=self._deadlines.deadline_at,
        )

    def _arm(self, when: float) -> None:
        """Set the one timer to a moment, unless it is set to an earlier one anyway."""
        if self._timer is not None:
            if self._timer_at <= when:
                return
            self._timer.cancel()
        if when == NEVER:
            return
        self._timer_at = when
        self._timer = self._call_context.loop.call_at(when, self._on_timer)

    def _arm_for_shards(self) -> None:
        """Set the timer to the next hedge or retry that is due."""
        if not self._finished:
            self._arm(min((shard.next_at for shard in self.shards), default=NEVER))

    def _on_timer(self) -> None:
        """Hedge and retry what is due, then decide."""
        self._timer = None
        if self._finished:
            return
        # The loop may call a little early, by its clock's resolution.
        now = max(self._timer_at, self._call_context.loop.time())
        for shard in self.shards:
            shard.on_time(now)
            if self._finished:
                return
            self._count(shard)
        self._follow_guard(now)
        self._act(now)
        self._arm_for_shards()
        self._arm_for_shards()

    def _answer(self) -> RequestOutcome:
        """Return what is in."""
        parts = [shard.part for shard in self.shards if shard.part is not None]
        if not self._scatter:
            return Relayed(parts[0])
        return self._merged(parts)

    def _merged(self, parts: list[HttpAnswer]) -> Merged:
        """Merge what came here with what other gateways merged."""
        stamp = self._call_context.names.stamp
        stamps = [header_value(part.headers, stamp) or b"" for part in parts]
        bodies = [part.body for part in parts]
        sizes = [len(body) for body in bodies]
        for group in self._delegated:
            if group.part is not None:
                stamps.extend(group.part.stamps)
                bodies.append(group.part.body)
        body = greatest_records(bodies, self._route.top_records)
        self._call_context.observe_sizes(self._route.shards, len(body), sizes)
        return Merged(body, tuple(stamps), self._total - len(stamps))

    def _failure(self, now: float) -> RequestOutcome:
        """Say truthfully why there is no answer."""
        detail = "; ".join(
            sorted({shard.last_problem for shard in self.shards if shard.last_problem})
        )
        if not self._may_have_run:
            detail = detail or "no back end is left"
            none_listens = any(shard.is_dead for shard in self.shards)
            if self._guard.barred_s or none_listens:
                return NotRun(detail, self._guard.barred_s or RETRY_DEAD_S)
            return self._turned_away(detail, RETRY_AFTER_S)
        failure = None if self._scatter else self.shards[0].failure
        if failure is not None:
            return Relayed(failure)
        if now >= self._deadlines.deadline_at:
            return TimedOut(detail or "no answer in time")
        return NoAnswer(detail)

    @property
    def _may_have_run(self) -> bool:
        """Tell whether any back end may have got the request."""
        here = any(shard.may_have_run for shard in self.shards)
        elsewhere = any(group.may_have_run for group in self._delegated)
        return here or elsewhere or self._unheard_may_run

    def _finish(self, outcome: RequestOutcome) -> None:
        """Report once."""
        self._stop()
        self._on_outcome(outcome)

    def _stop(self) -> None:
        """Stop sending; what still runs is awaited a little, since closing costs a connection."""
        self._finished = True
        self._hold(-self._part_bytes)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for group in self._delegated:
            group.cancel()
        for shard in self.shards:
            shard.end()
        if any(shard.running for shard in self.shards):
            self._call_context.loop.call_later(ABSORB_S, self._cancel_running)

    def _cancel_running(self) -> None:
        """Close the connections of calls that took too long."""
        now = self._call_context.loop.time()
        for shard in self.shards:
            shard.cancel_running(now)
