"""Where scatters wait as a whole before anything of them has run: one gate for each index.

The decisions are in :mod:`tinrudder.gateway.decisions.admission.scatter_queue`; this connects
them to requests, to what back ends report, and to the clock.
"""

from __future__ import annotations

import asyncio
import random
import statistics
from collections.abc import Callable, Collection

from tinrudder.gateway.clients.client_deadlines import Deadlines
from tinrudder.gateway.decisions.admission.load_forecast import USUAL_FACTOR
from tinrudder.gateway.decisions.admission.retry_after import (
    may_come_back,
    retry_after_by_place_s,
)
from tinrudder.gateway.decisions.admission.scatter_queue import (
    QueuedScatter,
    ScatterQueue,
    ScatterRefusal,
)
from tinrudder.gateway.decisions.attempts.hedge_delay import MINIMUM_OBSERVATIONS
from tinrudder.gateway.model.configuration import Route
from tinrudder.gateway.model.outcomes import NotRun, RequestOutcome
from tinrudder.gateway.peers.peer_messages import MissingShard
from tinrudder.gateway.runs.request_run import OutcomeListener, RequestRun
from tinrudder.gateway.scatters.delegation_context import DelegationContext
from tinrudder.timers import TimerHandle

PART_KEPT_S = 1.0
"""How long a gateway's part of the slots is not worked out anew: back ends and gateways come and go
in seconds."""
SAMPLED_SHARDS = 16
"""So many shards tell what the typical one is like; all 90 of an index cost 0.5 ms each time."""

MakeRun = Callable[[OutcomeListener], RequestRun]


class Ticket:
    """One scatter at a gate: it waits, runs, or has left.

    :ivar run: the scatter while it runs.
    """

    def __init__(self, gate: ScatterAdmission, entrance: WaitingScatter) -> None:
        """Prepare; nothing happens before :meth:`enter`."""
        self.entrance = entrance
        self.run: RequestRun | None = None
        self.scatter: QueuedScatter | None = None
        self._gate = gate

    def enter(self) -> None:
        """Begin, wait, or be refused."""
        self._gate.enter(self)

    def leave(self) -> None:
        """Give back the place in the queue, or the room."""
        self._gate.leave(self)


class WaitingScatter:
    """One scatter from its arrival to its outcome; nothing of it runs before there is room.

    :ivar decided_at: monotonic time of the latest decision on it.
    """

    def __init__(
        self,
        gate: ScatterAdmission,
        route: Route,
        deadlines: Deadlines,
        priority: int,
        tenant: str,
        make_run: MakeRun,
        on_outcome: OutcomeListener,
    ) -> None:
        """Prepare.

        :param tenant: on whose behalf it comes; empty for nobody's.
        :param make_run: prepares the run at the moment at which it begins.
        """
        self.route = route
        self.deadlines = deadlines
        self.priority = priority
        self.tenant = tenant
        self._make_run = make_run
        self._on_outcome = on_outcome
        self._run: RequestRun | None = None
        self._refused_at = deadlines.received_at
        self._ticket = Ticket(gate, self)

    @property
    def repeats(self) -> int:
        """Return how many calls were sent beyond the first of each shard."""
        return self._run.repeats if self._run is not None else 0

    @property
    def missing_shards(self) -> tuple[MissingShard, ...]:
        """Return the shards without an answer; none while nothing was asked."""
        return self._run.missing_shards if self._run is not None else ()

    @property
    def decided_at(self) -> float:
        """Return when the latest decision fell."""
        return self._run.decided_at if self._run is not None else self._refused_at

    def start(self) -> None:
        """Enter the gate."""
        self._ticket.enter()

    def abandon(self) -> None:
        """End for a client that has left."""
        if self._run is not None:
            self._run.abandon()
        self._ticket.leave()

    def begin(self) -> RequestRun:
        """Prepare the run; the gate starts it."""
        self._run = self._make_run(self._end)
        return self._run

    def refuse(self, refusal: NotRun, now: float) -> None:
        """End without having run."""
        self._refused_at = now
        self._on_outcome(refusal)

    def _end(self, outcome: RequestOutcome) -> None:
        """Answer, then let others begin."""
        self._on_outcome(outcome)
        self._ticket.leave()


class ScatterAdmission:
    """The gate of one index at this gateway."""

    def __init__(
        self,
        index: tuple[str, ...],
        delegation_context: DelegationContext,
        random_source: random.Random,
    ) -> None:
        """Learn of back ends, callers and reports through ``relaying``."""
        self.queue = ScatterQueue()
        self._index = index
        self._delegation_context = delegation_context
        self._call_context = delegation_context.call_context
        self._random = random_source
        self._running: set[Ticket] = set()
        self._waiting: dict[QueuedScatter, Ticket] = {}
        self._part_at: float | None = None
        self._returns_until: dict[int, float] = {}
        self._timer: TimerHandle | None = None
        self._next_look: asyncio.Handle | None = None

    @property
    def held(self) -> float:
        """Return the room that running scatters hold, in scatters' worth."""
        return sum(one.run.unanswered_share for one in self._running if one.run is not None)

    def _held_before(self, scatter: QueuedScatter) -> float:
        """Return the room that running scatters hold which are as urgent as one, or more."""
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
        """Start a scatter, let it wait, or refuse it."""
        now = self._call_context.loop.time()
        self._follow_reports(now)
        scatter = ticket.scatter = self._describe(ticket.entrance)
        held_before = self._held_before(scatter)
        verdict = self.queue.arrive(scatter, self.held, now, held_before=held_before)
        if isinstance(verdict, ScatterRefusal):
            self._refuse(ticket, verdict, now)
        elif verdict:
            self._start(ticket)
        else:
            self._waiting[scatter] = ticket
            self._refuse_hopeless(now)

    def leave(self, ticket: Ticket) -> None:
        """Forget a scatter that has ended, or whose caller has gone."""
        now = self._call_context.loop.time()
        if ticket.run is not None and ticket in self._running:
            self._running.discard(ticket)
            self.queue.room.note_hold(ticket.run.hold_s(now))
            ticket.run.on_progress = _nothing
        if ticket.scatter is not None and self._waiting.pop(ticket.scatter, None) is not None:
            self.queue.leave(ticket.scatter)
        self._progressed()

    def _progressed(self) -> None:
        """Look soon whether there is room now; answers that are ready leave first."""
        if self.queue and self._next_look is None:
            self._next_look = self._call_context.loop.call_soon(self._look)

    def _look(self, at: float = 0.0) -> None:
        """Start what there is room for, and refuse what will have none in time.

        :param at: what the timer was set to; the loop may call a little early.
        """
        self._next_look = None
        now = max(at, self._call_context.loop.time())
        self._follow_reports(now)
        while (first := self.queue.first) is not None:
            if self.queue.next_ready(self._held_before(first)) is None:
                break
            self._start(self._waiting.pop(first))
        self._refuse_hopeless(now)

    def _start(self, ticket: Ticket) -> None:
        """Begin a scatter."""
        ticket.run = ticket.entrance.begin()
        ticket.run.on_progress = self._progressed
        self._running.add(ticket)
        ticket.run.start()

    def _refuse_hopeless(self, now: float) -> None:
        """Refuse those that wait in vain, and look again when the next one would."""
        for scatter, refusal in self.queue.refuse_hopeless(self.held, now):
            self._refuse(self._waiting.pop(scatter), refusal, now)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        end_at = self.queue.next_end_at
        if end_at is not None:
            self._timer = self._call_context.loop.call_at(end_at, self._look, end_at)

    def _refuse(self, ticket: Ticket, refusal: ScatterRefusal, now: float) -> None:
        """Refuse one, with what decided it and a moment to come back at."""
        self._call_context.counters.refused += 1
        assert ticket.scatter is not None
        retry_s = self._retry_after_s(ticket.scatter, refusal, now)
        ticket.entrance.refuse(NotRun(str(refusal), retry_s), now)

    def _retry_after_s(self, scatter: QueuedScatter, refusal: ScatterRefusal, now: float) -> float:
        """Return when there will be room for a refused caller, behind those refused before it.

        Only who would wait so long has a place there; others are told the truth, once.
        """
        left_s = max(0.0, scatter.deadline_at - now)
        until = max(now + refusal.expected_s, self._returns_until.get(refusal.priority, 0.0))
        room_in_s = until - now
        if room_in_s + scatter.usual_s > left_s:
            return left_s
        if may_come_back(room_in_s, left_s):
            pace = self.queue.room.pace
            self._returns_until[refusal.priority] = until + (1.0 / pace if pace else 0.0)
        return retry_after_by_place_s(room_in_s, left_s, self._random.random())

    def _describe(self, entrance: WaitingScatter) -> QueuedScatter:
        """Return what decides on a scatter's place."""
        deadlines = entrance.deadlines
        return QueuedScatter(
            priority=entrance.priority,
            objective_at=deadlines.objective_at,
            deadline_at=deadlines.deadline_at,
            usual_s=self._usual_s(entrance.route),
            returning=deadlines.returning,
            tenant=entrance.tenant,
        )

    def _usual_s(self, route: Route) -> float:
        """Return how long a scatter of a route takes where nothing waits."""
        unloaded = self._call_context.unloaded_latency(route)
        if len(unloaded) < MINIMUM_OBSERVATIONS:
            return self.queue.room.hold_s * USUAL_FACTOR
        return unloaded.quantile(0.5) * USUAL_FACTOR

    def _follow_reports(self, now: float) -> None:
        """Adapt the room to the fleet and to what back ends report, where that may matter."""
        room = self.queue.room
        if self._part_at is None or now - self._part_at >= PART_KEPT_S:
            self._part_at = now
            self._set_part()
        in_use = bool(self.queue) or not room.bears_another(self.held)
        if not room.may_judge(now) or not (in_use or room.has_changed):
            return
        queue = self._typical_queue(now)
        if queue is not None:
            room.judge(queue, now, in_use=in_use)

    def _set_part(self) -> None:
        """Work out this gateway's part of the slots of the typical shard."""
        slots = [
            sum(
                backend.observations.slots
                for backend in self._call_context.directory.staying(shard)
            )
            for shard in self._sample(self._index)
        ]
        callers = self._delegation_context.coordinators.of_service(self._index[0]).callers
        typical = statistics.median(slots)
        if typical:
            self.queue.room.set_part(typical / max(1, callers))

    def _typical_queue(self, now: float) -> float | None:
        """Return the wait for a slot at the typical shard, in calls' times; ``None``: unknown."""
        coordination = self._delegation_context.coordinators.of_service(self._index[0])
        queues: list[float] = []
        for shard in self._sample(coordination.own_shards(self._index)):
            reported = [
                queue
                for backend in self._call_context.directory.staying(shard)
                if (queue := backend.observations.reported_queue(now)) is not None
            ]
            if reported:
                queues.append(statistics.fmean(reported))
        return statistics.median(queues) if queues else None

    def _sample(self, shards: tuple[str, ...]) -> Collection[str]:
        """Return some shards by chance."""
        if len(shards) <= SAMPLED_SHARDS:
            return shards
        return self._random.sample(shards, SAMPLED_SHARDS)


class ScatterAdmissions:
    """The gates of all indexes that this gateway calls."""

    def __init__(self, delegation_context: DelegationContext, random_source: random.Random) -> None:
        """Make gates as they are needed."""
        self._delegation_context = delegation_context
        self._random = random_source
        self._gates: dict[tuple[str, ...], ScatterAdmission] = {}

    def of_route(self, route: Route) -> ScatterAdmission:
        """Return the gate of a route's index."""
        gate = self._gates.get(route.shards)
        if gate is None:
            gate = ScatterAdmission(route.shards, self._delegation_context, self._random)
            self._gates[route.shards] = gate
        return gate

    def forget_unused(self, indexes: frozenset[tuple[str, ...]]) -> None:
        """Drop the gates of indexes that no configuration names; what waits there still ends."""
        for index in self._gates.keys() - indexes:
            del self._gates[index]

    @property
    def gates(self) -> tuple[ScatterAdmission, ...]:
        """Return all gates."""
        return tuple(self._gates.values())

    @property
    def waiting(self) -> int:
        """Return how many scatters wait."""
        return sum(len(gate.queue) for gate in self._gates.values())

    @property
    def held(self) -> float:
        """Return the room that running scatters hold."""
        return sum(gate.held for gate in self._gates.values())

    @property
    def limit(self) -> float:
        """Return the room that they may hold."""
        return sum(gate.queue.room.limit for gate in self._gates.values())


def _nothing() -> None:
    """Take no note."""
