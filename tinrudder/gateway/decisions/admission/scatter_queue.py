"""Does a scatter start now, wait, or get refused?

A scatter waits as a whole before any of its calls is sent, so a refusal guarantees that nothing has
run. Calls that wait in the back ends' queues would delay all scatters together, and calls shed
there would waste the other calls of their scatters.

Inputs: the scatter's priority, objective and deadline (monotonic seconds), its typical time
(seconds), whether its caller was refused before, its tenant; the room that running scatters hold.

Answer: started, waiting, or a refusal with the figures that decided it.

Owns: the scatters of one index that wait at this gateway, in their order; each leaves the queue
when it starts, is refused, or its caller disconnects.

Shown by: log line ``request`` with a detail that begins with overload and names place, wait and
room; metrics ``tinrudder_gateway_scatters_waiting`` and ``tinrudder_gateway_refused``.

When an input is missing or old: while it is unknown how long scatters hold their slots, the
expected wait is 0 and nothing is refused for it.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterator

from msgspec import Struct, field

from tinrudder.gateway.decisions.admission.queued_scatter import QueuedScatter, ScatterRefusal
from tinrudder.gateway.decisions.admission.scatter_concurrency import ScatterConcurrency
from tinrudder.gateway.decisions.admission.tenant_turns import TenantTurns

PERSISTENT_QUEUE_S = 0.1
"""A queue that has not been empty for this long, seconds, indicates sustained overload instead of a
burst: more arrives than can be served, and waiting longer than :data:`MAX_OVERLOAD_WAIT` only makes
every answer late."""
OVERLOAD_HOLD_S = 1.0
"""How long a queue still counts as overloaded after a scatter that would have waited too long,
seconds. Under four times the load it is empty for a moment several times a second."""
ACCEPTABLE_WAIT_SHARE = 0.5
"""Fraction of the time until its latest useful start that a new scatter may be expected to wait.
More urgent and retried scatters overtake it, and this reserve keeps it from being refused late."""
MAX_OVERLOAD_WAIT = 0.6
"""Longest wait behind others in an overloaded queue, in typical scatter times: a longer queue
serves no more requests, and serves all of them later."""
MAX_OVERTAKEN_WAIT = 1.5 * MAX_OVERLOAD_WAIT
"""The same as :data:`MAX_OVERLOAD_WAIT` for a scatter that others have overtaken, in typical
scatter times: accepting longer waits would let the queue grow again."""
LATE_WAIT_SHARE = 0.5
"""Fraction of its remaining time that a scatter waits after it can no longer meet its objective;
the other half is left for another try."""
EARLY_REFUSAL_SHARE = 0.25
"""Fraction of the time until the objective during which a refusal is useful to a caller: another
try can still be in time. A caller that has waited longer is better served late."""


class ScatterQueue(Struct):
    """The scatters of one index that wait at one gateway.

    Ordered by priority; then by the tenants' turns, so that a tenant that sends many waits behind
    those that send few; then new callers before retrying ones; then by the earliest objective. For
    a retrying caller an answer has lost half of its value: of 4,414 scatters in a burst of six
    seconds, 1,732 were served in time with retrying callers first, and 2,457 with new callers
    first.

    :param concurrency: the concurrency limit.
    """

    concurrency: ScatterConcurrency = field(default_factory=ScatterConcurrency)
    _waiting: list[QueuedScatter] = field(default_factory=list)
    _nonempty_since: float = 0.0
    _overload_until: float = 0.0
    _turns: TenantTurns = field(default_factory=TenantTurns)
    _arrivals: int = 0

    def __len__(self) -> int:
        """Return the number of waiting scatters."""
        return len(self._waiting)

    def __iter__(self) -> Iterator[QueuedScatter]:
        """Iterate over the waiting scatters, the next one to start first."""
        return iter(self._waiting)

    def arrive(
        self,
        scatter: QueuedScatter,
        held: float,
        now: float,
        *,
        held_by_urgent: float | None = None,
    ) -> ScatterRefusal | bool:
        """Admit or queue a scatter: ``True`` starts it now, ``False`` lets it wait.

        :param held: room that running scatters hold.
        :param held_by_urgent: the part of ``held`` that belongs to scatters of at least the same
            urgency; only this part can keep the scatter from starting. ``None``: all of it. If all
            room counted, less urgent scatters could hold it, and an urgent one cannot wait until
            they have ended. Of 89 urgent ones with 48 ms each, beside sixteen times the usual load
            of a less urgent kind for 6 s, 43 were in time and 23 refused when all room counted, 71
            and none with this rule.
        """
        self._prepare(scatter, now)
        if held_by_urgent is not None and not scatter.late:
            held = held_by_urgent
        ahead = bisect.bisect(self._waiting, scatter.order, key=_order)
        if not ahead and self.concurrency.has_room_for_another(held):
            self._turns.take(scatter, self._waiting)
            self._turns.start(scatter)
            return True
        refusal = self._refusal_on_arrival(scatter, ahead, held, now)
        if refusal is not None and now >= scatter.refusable_until and not scatter.late:
            self._defer(scatter, now)
            ahead = bisect.bisect(self._waiting, scatter.order, key=_order)
            refusal = self._refusal_on_arrival(scatter, ahead, held, now)
        if refusal is not None:
            return refusal
        if not self._waiting:
            self._nonempty_since = now
        self._turns.take(scatter, self._waiting)
        self._waiting.insert(ahead, scatter)
        return False

    @property
    def first(self) -> QueuedScatter | None:
        """Return the scatter that starts next, ``None`` if none waits."""
        return self._waiting[0] if self._waiting else None

    def next_ready(self, held: float) -> QueuedScatter | None:
        """Remove and return the scatter that starts now, ``None`` if there is none or no room.

        :param held: room held by running scatters that take precedence over the first waiting one.
        """
        if not self._waiting or not self.concurrency.has_room_for_another(held):
            return None
        scatter = self._waiting.pop(0)
        self._turns.start(scatter)
        return scatter

    def refuse_too_late(
        self, held: float, now: float
    ) -> list[tuple[QueuedScatter, ScatterRefusal]]:
        """Remove and return scatters that were overtaken or can no longer start in time."""
        refused: list[tuple[QueuedScatter, ScatterRefusal]] = []
        kept: list[QueuedScatter] = []
        for scatter in self._waiting:
            refusal = self._refusal_while_waiting(scatter, len(kept), held, now)
            if refusal is not None and now >= scatter.refusable_until and not scatter.late:
                self._defer(scatter, now)
                refusal = None
            if refusal is None:
                kept.append(scatter)
            else:
                refused.append((scatter, refusal))
        self._waiting[:] = sorted(kept, key=_order)
        for scatter, _ in reversed(refused):
            self._turns.release(scatter)
        return refused

    def _defer(self, scatter: QueuedScatter, now: float) -> None:
        """Move a scatter that can no longer be in time behind all that can."""
        scatter.late = True
        left_s = max(0.0, scatter.deadline_at - now)
        scatter.latest_start_at = now + left_s * LATE_WAIT_SHARE

    def leave(self, scatter: QueuedScatter) -> None:
        """Remove a scatter whose caller has disconnected, if it still waits."""
        if scatter in self._waiting:
            self._waiting.remove(scatter)
            self._turns.release(scatter)

    @property
    def next_latest_start_at(self) -> float | None:
        """Return the earliest time at which a waiting scatter can no longer start in time."""
        return min((one.latest_start_at for one in self._waiting), default=None)

    def _prepare(self, scatter: QueuedScatter, now: float) -> None:
        """Set a scatter's latest useful start and its sort key."""
        scatter.latest_start_at = scatter.objective_at - scatter.typical_time_s
        early_s = 0.0 if scatter.returning else EARLY_REFUSAL_SHARE * (scatter.objective_at - now)
        scatter.refusable_until = now + early_s
        if scatter.latest_start_at <= now:
            self._defer(scatter, now)
        self._arrivals += 1
        scatter.number = self._arrivals
        scatter.turn = self._turns.next_turn(scatter)

    def _refusal_on_arrival(
        self, scatter: QueuedScatter, ahead: int, held: float, now: float
    ) -> ScatterRefusal | None:
        """Return a refusal for a new scatter that would wait too long."""
        max_wait_s = ACCEPTABLE_WAIT_SHARE * (scatter.latest_start_at - now)
        overload_wait_s = min(max_wait_s, MAX_OVERLOAD_WAIT * scatter.typical_time_s)
        if (
            not scatter.late
            and ahead
            and self._is_overloaded(now)
            and self.concurrency.wait_s(held, ahead) > overload_wait_s
        ):
            self._overload_until = now + OVERLOAD_HOLD_S
            max_wait_s = overload_wait_s
        return self._refusal(scatter, ahead, held, max_wait_s)

    def _is_overloaded(self, now: float) -> bool:
        """Return whether the queue is in sustained overload, as opposed to a short burst."""
        if now < self._overload_until:
            return True
        return bool(self._waiting) and now - self._nonempty_since >= PERSISTENT_QUEUE_S

    def _refusal_while_waiting(
        self, scatter: QueuedScatter, ahead: int, held: float, now: float
    ) -> ScatterRefusal | None:
        """Return a refusal for a waiting scatter that would start too late.

        The first one in the queue is still served if it can start in time.
        """
        max_wait_s = scatter.latest_start_at - now
        if max_wait_s > 0.0 and not ahead:
            return None
        if now < self._overload_until and not scatter.late:
            max_wait_s = min(max_wait_s, MAX_OVERTAKEN_WAIT * scatter.typical_time_s)
        return self._refusal(scatter, ahead, held, max_wait_s)

    def _refusal(
        self, scatter: QueuedScatter, ahead: int, held: float, max_wait_s: float
    ) -> ScatterRefusal | None:
        """Return a refusal if the expected wait exceeds the acceptable one."""
        expected_s = self.concurrency.wait_s(held, ahead)
        if max_wait_s > 0.0 and expected_s <= max_wait_s:
            return None
        return ScatterRefusal(
            scatter.priority,
            ahead,
            expected_s,
            max(0.0, max_wait_s),
            held,
            self.concurrency.limit,
            len(self._waiting),
        )


def _order(scatter: QueuedScatter) -> tuple[bool, int, int, bool, float, int]:
    return scatter.order
