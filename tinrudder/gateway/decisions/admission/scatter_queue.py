"""Does a scatter start now, wait, or is it refused?

A scatter waits as a whole before any of its calls has left, so that a refusal is true: nothing has
run. Calls that wait in back ends' queues make all scatters late together; calls that are shed
there make the other calls of their scatters worthless.

Inputs: the scatter's priority, objective and deadline (monotonic seconds), its usual time
(seconds), whether its caller was refused before, its tenant; the room that running scatters hold.

Answer: started, waiting, or a refusal with the figures that decided it.

Owns: the scatters of one index that wait at this gateway, in their order; each ends by a start, a
refusal or its caller's leaving.

Shown by: log line ``request`` with a detail that begins with overload and names place, wait and
room; metrics ``tinrudder_gateway_scatters_waiting`` and ``tinrudder_gateway_refused``.

When an input is missing or old: where it is not known for how long scatters hold their slots, no
wait is expected and nothing is refused for it.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterator

from msgspec import Struct, field

from tinrudder.gateway.decisions.admission.queued_scatter import QueuedScatter, ScatterRefusal
from tinrudder.gateway.decisions.admission.scatter_concurrency import ScatterConcurrency
from tinrudder.gateway.decisions.admission.tenant_turns import TenantTurns

STANDING_S = 0.1
"""A queue that has not been empty for this long, seconds, is no burst. Chosen, not measured: what
waits in it longer than :data:`SHORT_WAIT` only makes every answer late, since more comes than can
be served."""
OVERLOAD_S = 1.0
"""How long after a scatter that would have waited too long a queue still counts as standing,
seconds. Chosen, not measured: under four times the load it is empty for a moment several times a
second."""
BEARABLE_SHARE = 0.5
"""Part of the time until its latest useful start that a newcomer may have to wait, by what is
expected. Chosen, not measured: more urgent ones and others that come back overtake it, and none of
those that wait is to be refused late for that."""
SHORT_WAIT = 0.6
"""How long a scatter may wait in a standing queue behind others, in usual times of one, a choice: a
longer one serves no more, and all of it later."""
OVERTAKEN_WAIT = 1.5 * SHORT_WAIT
"""The same as :data:`SHORT_WAIT`, in usual times, for one that others have overtaken. Chosen, not
measured: waiting on would make the queue as long again."""
LATE_WAIT_SHARE = 0.5
"""Part of its time left that a scatter waits which cannot meet its objective any more, a choice:
half of the time is left for another try."""
EARLY_SHARE = 0.25
"""Part of the time until its objective within which a refusal is worth something to a caller.
Chosen, not measured: it can be served in time by another try; who has waited longer is better
served late."""


class ScatterQueue(Struct):
    """The scatters of one index that wait at one gateway.

    Order: priority; then tenants by turns, so that one that asks for much waits behind those that
    ask for little; then new callers before those that come back, which have lost half of what an
    answer is worth to them: with these first, 1,732 of 4,414 were served in time in a burst of six
    seconds, with these last 2,457; then the earliest objective.

    :param room: how much may run.
    """

    room: ScatterConcurrency = field(default_factory=ScatterConcurrency)
    _waiting: list[QueuedScatter] = field(default_factory=list)
    _standing_since: float = 0.0
    _overload_until: float = 0.0
    _turns: TenantTurns = field(default_factory=TenantTurns)
    _count: int = 0

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._waiting)

    def __iter__(self) -> Iterator[QueuedScatter]:
        """Yield those that wait, the next one first."""
        return iter(self._waiting)

    def arrive(
        self, scatter: QueuedScatter, held: float, now: float, *, held_before: float | None = None
    ) -> ScatterRefusal | bool:
        """Take a scatter: ``True`` starts it now, ``False`` lets it wait.

        :param held: room that running scatters hold.
        :param held_before: the part of it that such as are as urgent hold, which is all that bars
            this one from starting; ``None``: all of it.  Less urgent ones may have taken all room
            that was free, and an urgent one cannot wait until they have ended.  Of 89 urgent ones
            with 48 ms each, beside sixteen times the usual load of a less urgent kind for 6 s, 43
            were in time and 23 refused where all room counted, 71 and none where this does.
        """
        self._prepare(scatter, now)
        if held_before is not None and not scatter.late:
            held = held_before
        ahead = bisect.bisect(self._waiting, scatter.order, key=_order)
        if not ahead and self.room.bears_another(held):
            self._turns.take(scatter, self._waiting)
            self._turns.start(scatter)
            return True
        refusal = self._judge(scatter, ahead, held, now)
        if refusal is not None and now >= scatter.refusable_until and not scatter.late:
            self._put_off(scatter, now)
            ahead = bisect.bisect(self._waiting, scatter.order, key=_order)
            refusal = self._judge(scatter, ahead, held, now)
        if refusal is not None:
            return refusal
        if not self._waiting:
            self._standing_since = now
        self._turns.take(scatter, self._waiting)
        self._waiting.insert(ahead, scatter)
        return False

    @property
    def first(self) -> QueuedScatter | None:
        """Return the scatter that starts next, ``None`` if none waits."""
        return self._waiting[0] if self._waiting else None

    def next_ready(self, held: float) -> QueuedScatter | None:
        """Return the scatter that starts now, ``None`` if there is none or no room.

        :param held: room that running scatters hold which go before the first one.
        """
        if not self._waiting or not self.room.bears_another(held):
            return None
        scatter = self._waiting.pop(0)
        self._turns.start(scatter)
        return scatter

    def refuse_hopeless(
        self, held: float, now: float
    ) -> list[tuple[QueuedScatter, ScatterRefusal]]:
        """Take out what cannot start in time any more: overtaken, or its moment has passed."""
        refused: list[tuple[QueuedScatter, ScatterRefusal]] = []
        kept: list[QueuedScatter] = []
        for scatter in self._waiting:
            refusal = self._overtaken(scatter, len(kept), held, now)
            if refusal is not None and now >= scatter.refusable_until and not scatter.late:
                self._put_off(scatter, now)
                refusal = None
            if refusal is None:
                kept.append(scatter)
            else:
                refused.append((scatter, refusal))
        self._waiting[:] = sorted(kept, key=_order)
        for scatter, _ in reversed(refused):
            self._turns.give_back(scatter)
        return refused

    def _put_off(self, scatter: QueuedScatter, now: float) -> None:
        """Let a scatter that cannot be in time any more wait behind all that can."""
        scatter.late = True
        left_s = max(0.0, scatter.deadline_at - now)
        scatter.latest_start_at = now + left_s * LATE_WAIT_SHARE

    def leave(self, scatter: QueuedScatter) -> None:
        """Forget a scatter whose caller has gone, if it still waits."""
        if scatter in self._waiting:
            self._waiting.remove(scatter)
            self._turns.give_back(scatter)

    @property
    def next_end_at(self) -> float | None:
        """Return when the first of those that wait can not start in time any more."""
        return min((one.latest_start_at for one in self._waiting), default=None)

    def _prepare(self, scatter: QueuedScatter, now: float) -> None:
        """Give a scatter its latest useful start and its place."""
        scatter.latest_start_at = scatter.objective_at - scatter.usual_s
        early_s = 0.0 if scatter.returning else EARLY_SHARE * (scatter.objective_at - now)
        scatter.refusable_until = now + early_s
        if scatter.latest_start_at <= now:
            self._put_off(scatter, now)
        self._count += 1
        scatter.number = self._count
        scatter.turn = self._turns.next_of(scatter)

    def _judge(
        self, scatter: QueuedScatter, ahead: int, held: float, now: float
    ) -> ScatterRefusal | None:
        """Refuse a newcomer that would wait too long."""
        bearable_s = BEARABLE_SHARE * (scatter.latest_start_at - now)
        short_s = min(bearable_s, SHORT_WAIT * scatter.usual_s)
        if (
            not scatter.late
            and ahead
            and self._stands(now)
            and self.room.wait_s(held, ahead) > short_s
        ):
            self._overload_until = now + OVERLOAD_S
            bearable_s = short_s
        return self._refusal(scatter, ahead, held, bearable_s)

    def _stands(self, now: float) -> bool:
        """Tell whether more comes than can be served, and not for a moment only."""
        if now < self._overload_until:
            return True
        return bool(self._waiting) and now - self._standing_since >= STANDING_S

    def _overtaken(
        self, scatter: QueuedScatter, ahead: int, held: float, now: float
    ) -> ScatterRefusal | None:
        """Refuse one that waits and would start too late now; the first in line is still served."""
        bearable_s = scatter.latest_start_at - now
        if bearable_s > 0.0 and not ahead:
            return None
        if now < self._overload_until and not scatter.late:
            bearable_s = min(bearable_s, OVERTAKEN_WAIT * scatter.usual_s)
        return self._refusal(scatter, ahead, held, bearable_s)

    def _refusal(
        self, scatter: QueuedScatter, ahead: int, held: float, bearable_s: float
    ) -> ScatterRefusal | None:
        """Compare the wait that is expected with the one that is bearable."""
        expected_s = self.room.wait_s(held, ahead)
        if bearable_s > 0.0 and expected_s <= bearable_s:
            return None
        return ScatterRefusal(
            scatter.priority,
            ahead,
            expected_s,
            max(0.0, bearable_s),
            held,
            self.room.limit,
            len(self._waiting),
        )


def _order(scatter: QueuedScatter) -> tuple[bool, int, int, bool, float, int]:
    return scatter.order
