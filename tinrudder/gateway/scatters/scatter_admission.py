"""Admission control for scatters: one queue per index; a scatter waits before any call is sent.

Owns the waiting and the running scatters of this gateway. Connects the decisions of
:mod:`tinrudder.gateway.decisions.admission.scatter_queue` to requests, to the reports of back ends,
and to the clock.
"""

from __future__ import annotations

import asyncio
import random

from tinrudder.gateway.decisions.admission.load_forecast import SERVICE_TIME_FACTOR
from tinrudder.gateway.decisions.admission.queued_scatter import QueuedScatter, ScatterRefusal
from tinrudder.gateway.decisions.admission.retry_after import (
    is_retry_in_time,
    retry_after_by_position_s,
)
from tinrudder.gateway.decisions.admission.scatter_queue import (
    ScatterQueue,
)
from tinrudder.gateway.decisions.attempts.hedge_delay import MINIMUM_OBSERVATIONS
from tinrudder.gateway.model.configuration import Route
from tinrudder.gateway.model.outcomes import NotRun
from tinrudder.gateway.scatters.delegation_context import DelegationContext
from tinrudder.gateway.scatters.typical_shard import TypicalShard
from tinrudder.gateway.scatters.waiting_scatter import Ticket, WaitingScatter
from tinrudder.timers import TimerHandle

SLOTS_LIFETIME_S = 1.0
"""How long a gateway's computed share of the slots is cached, seconds: back ends and gateways start
and stop within seconds."""


class ScatterAdmission:
    """The admission of one index at this gateway: a queue in front of a concurrency limit."""

    def __init__(
        self,
        index: tuple[str, ...],
        delegation_context: DelegationContext,
        random_source: random.Random,
    ) -> None:
        """Read back ends, their reports and the coordination through ``delegation_context``."""
        self.queue = ScatterQueue()
        self._call_context = delegation_context.call_context
        self._typical_shard = TypicalShard(
            index,
            delegation_context.call_context.directory,
            delegation_context.coordinators,
            random_source,
        )
        self._random = random_source
        self._running: set[Ticket] = set()
        self._waiting: dict[QueuedScatter, Ticket] = {}
        self._slots_updated_at: float | None = None
        self._reserved_until: dict[int, float] = {}
        self._timer: TimerHandle | None = None
        self._scheduled_check: asyncio.Handle | None = None

    @property
    def held(self) -> float:
        """Return the part of the concurrency limit that running scatters use, in scatters."""
        return sum(one.run.unanswered_share for one in self._running if one.run is not None)

    def _held_by_urgent(self, scatter: QueuedScatter) -> float:
        """Return what running scatters at least as urgent as ``scatter`` hold, in scatters.

        A scatter that is late already ranks behind all running ones.
        """
        if scatter.late:
            return self.held
        return sum(
            one.run.unanswered_share
            for one in self._running
            if one.run is not None
            and one.scatter is not None
            and one.scatter.priority <= scatter.priority
        )

    def enter(self, ticket: Ticket) -> None:
        """Start, queue or refuse a scatter."""
        now = self._call_context.loop.time()
        self._update_limit(now)
        scatter = ticket.scatter = self._describe(ticket.waiting)
        held_by_urgent = self._held_by_urgent(scatter)
        verdict = self.queue.arrive(scatter, self.held, now, held_by_urgent=held_by_urgent)
        if isinstance(verdict, ScatterRefusal):
            self._refuse(ticket, verdict, now)
        elif verdict:
            self._start(ticket)
        else:
            self._waiting[scatter] = ticket
            self._refuse_too_late(now)

    def leave(self, ticket: Ticket) -> None:
        """Remove a scatter that has ended, or whose client has disconnected."""
        now = self._call_context.loop.time()
        if ticket.run is not None and ticket in self._running:
            self._running.discard(ticket)
            self.queue.concurrency.note_hold(ticket.run.hold_s(now))
            ticket.run.on_progress = _ignore_progress
        if ticket.scatter is not None and self._waiting.pop(ticket.scatter, None) is not None:
            self.queue.leave(ticket.scatter)
        self._schedule_check()

    def shorten(self, ticket: Ticket) -> None:
        """Apply the shortened deadlines of a scatter that waits; refuse it if it would be late."""
        scatter = ticket.scatter
        if scatter is None or scatter not in self._waiting:
            return
        deadlines = ticket.waiting.deadlines
        scatter.objective_at = deadlines.objective_at
        scatter.deadline_at = deadlines.deadline_at
        start_by = deadlines.deadline_at - scatter.typical_time_s
        scatter.latest_start_at = min(scatter.latest_start_at, start_by)
        self._refuse_too_late(self._call_context.loop.time())

    def _schedule_check(self) -> None:
        """Schedule a check of the queue; answers that are ready are sent before it."""
        if self.queue and self._scheduled_check is None:
            self._scheduled_check = self._call_context.loop.call_soon(self._admit_waiting)

    def _admit_waiting(self, at: float = 0.0) -> None:
        """Start waiting scatters that fit the limit; refuse those that would start too late.

        :param at: the time for which the timer was set; the loop may call a little early.
        """
        self._scheduled_check = None
        now = max(at, self._call_context.loop.time())
        self._update_limit(now)
        while (first := self.queue.first) is not None:
            if self.queue.next_ready(self._held_by_urgent(first)) is None:
                break
            self._start(self._waiting.pop(first))
        self._refuse_too_late(now)

    def _start(self, ticket: Ticket) -> None:
        """Start a scatter."""
        ticket.run = ticket.waiting.begin()
        ticket.run.on_progress = self._schedule_check
        self._running.add(ticket)
        ticket.run.start()

    def _refuse_too_late(self, now: float) -> None:
        """Refuse scatters that would start too late, and set the timer for the next such check."""
        for scatter, refusal in self.queue.refuse_too_late(self.held, now):
            self._refuse(self._waiting.pop(scatter), refusal, now)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        end_at = self.queue.next_latest_start_at
        if end_at is not None:
            self._timer = self._call_context.loop.call_at(end_at, self._admit_waiting, end_at)

    def _refuse(self, ticket: Ticket, refusal: ScatterRefusal, now: float) -> None:
        """Refuse one scatter, with the values that led to it and a ``Retry-After``."""
        self._call_context.counters.refused += 1
        assert ticket.scatter is not None
        retry_s = self._retry_after_s(ticket.scatter, refusal, now)
        ticket.waiting.refuse(NotRun(str(refusal), retry_s), now)

    def _retry_after_s(self, scatter: QueuedScatter, refusal: ScatterRefusal, now: float) -> float:
        """Return the ``Retry-After``: when there will be room, after the callers refused before.

        Room is reserved only for callers that would wait that long; the others get the expected
        time, at most their deadline.
        """
        left_s = max(0.0, scatter.deadline_at - now)
        room_at = max(now + refusal.expected_s, self._reserved_until.get(refusal.priority, 0.0))
        room_in_s = room_at - now
        if room_in_s + scatter.typical_time_s > left_s:
            return left_s
        if is_retry_in_time(room_in_s, left_s):
            start_rate_per_s = self.queue.concurrency.start_rate_per_s
            self._reserved_until[refusal.priority] = room_at + (
                1.0 / start_rate_per_s if start_rate_per_s else 0.0
            )
        return retry_after_by_position_s(room_in_s, left_s, self._random.random())

    def _describe(self, waiting: WaitingScatter) -> QueuedScatter:
        """Return the values that determine a scatter's position in the queue."""
        deadlines = waiting.deadlines
        return QueuedScatter(
            priority=waiting.priority,
            objective_at=deadlines.objective_at,
            deadline_at=deadlines.deadline_at,
            typical_time_s=self._typical_time_s(waiting.route),
            returning=deadlines.returning,
            tenant=waiting.tenant,
        )

    def _typical_time_s(self, route: Route) -> float:
        """Return how long a scatter of a route takes without queueing, seconds."""
        unloaded = self._call_context.unloaded_latency(route)
        if len(unloaded) < MINIMUM_OBSERVATIONS:
            return self.queue.concurrency.hold_s * SERVICE_TIME_FACTOR
        return unloaded.quantile(0.5) * SERVICE_TIME_FACTOR

    def _update_limit(self, now: float) -> None:
        """Adapt the limit to the fleet and, if it is in use or has changed, to reported queues."""
        concurrency = self.queue.concurrency
        if self._slots_updated_at is None or now - self._slots_updated_at >= SLOTS_LIFETIME_S:
            self._slots_updated_at = now
            slots = self._typical_shard.own_slots()
            if slots:
                concurrency.set_own_slots(slots)
        in_use = bool(self.queue) or not concurrency.has_room_for_another(self.held)
        if not concurrency.may_adjust(now) or not (in_use or concurrency.is_adjusted):
            return
        queue = self._typical_shard.queue(now)
        if queue is not None:
            concurrency.adjust(queue, now, in_use=in_use)


class ScatterAdmissions:
    """The admission queues of all indexes whose back ends this gateway calls."""

    def __init__(self, delegation_context: DelegationContext, random_source: random.Random) -> None:
        """Create the admission of an index when it is first needed."""
        self._delegation_context = delegation_context
        self._random = random_source
        self._by_index: dict[tuple[str, ...], ScatterAdmission] = {}

    def of_route(self, route: Route) -> ScatterAdmission:
        """Return the admission of a route's index."""
        admission = self._by_index.get(route.shards)
        if admission is None:
            admission = ScatterAdmission(route.shards, self._delegation_context, self._random)
            self._by_index[route.shards] = admission
        return admission

    def forget_unused(self, indexes: frozenset[tuple[str, ...]]) -> None:
        """Drop indexes that are not in use any more; scatters that wait there still end."""
        for index in self._by_index.keys() - indexes:
            del self._by_index[index]

    @property
    def admissions(self) -> tuple[ScatterAdmission, ...]:
        """Return all admissions."""
        return tuple(self._by_index.values())

    @property
    def waiting(self) -> int:
        """Return how many scatters wait."""
        return sum(len(one.queue) for one in self._by_index.values())

    @property
    def held(self) -> float:
        """Return the part of all limits that running scatters use, in scatters."""
        return sum(one.held for one in self._by_index.values())

    @property
    def limit(self) -> float:
        """Return the sum of the concurrency limits, in scatters."""
        return sum(one.queue.concurrency.limit for one in self._by_index.values())


def _ignore_progress() -> None:
    """Ignore the progress of a scatter that has ended."""
