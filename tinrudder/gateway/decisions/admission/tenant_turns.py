"""Whose scatter goes first among tenants that wait with the same priority?

Every scatter takes a turn of its tenant's, so that a tenant that asks for much waits behind those
that ask for little.

Inputs: the scatters of one index at one gateway as they come, start and leave, with priority and
tenant.

Answer: the turn of a scatter, a whole number: the smaller goes first. A scatter without a tenant
gets the turn that is being served.

Owns: the turn that each priority has reached and the next one of each tenant; of tenants for which
nothing waits, only so many.

Shown by: nothing by itself; how many wait is metric ``tinrudder_gateway_scatters_waiting``.

When an input is missing or old: a tenant of which nothing is remembered begins with the turn being
served.
"""

from __future__ import annotations

from collections.abc import Collection

from msgspec import Struct, field

from tinrudder.gateway.decisions.admission.queued_scatter import QueuedScatter

MOST_IDLE_LANES = 64
"""Tenants whose next turn is remembered although none of their scatters waits.  Chosen, not
measured: it bounds the memory, and who is forgotten only loses the turns it had taken ahead."""


class TenantTurns(Struct):
    """Gives turns; a lane is a tenant's scatters of one priority."""

    _reached: dict[int, int] = field(default_factory=dict)
    _next: dict[tuple[int, str], int] = field(default_factory=dict)

    def next_of(self, scatter: QueuedScatter) -> int:
        """Return the turn of a scatter that comes now."""
        reached = self._reached.get(scatter.priority, 0)
        if not scatter.tenant:
            return reached
        return max(reached, self._next.get((scatter.priority, scatter.tenant), 0))

    def take(self, scatter: QueuedScatter, waiting: Collection[QueuedScatter]) -> None:
        """Let the tenant's next scatter come a turn later.

        :param waiting: the scatters whose lanes must not be forgotten.
        """
        if not scatter.tenant:
            return
        self._next[scatter.priority, scatter.tenant] = scatter.turn + 1
        if len(self._next) > MOST_IDLE_LANES + len(waiting):
            self._forget_idle(waiting)

    def give_back(self, scatter: QueuedScatter) -> None:
        """Let the tenant's next scatter have the turn of one that has not run."""
        lane = scatter.priority, scatter.tenant
        if self._next.get(lane) == scatter.turn + 1:
            self._next[lane] = scatter.turn

    def start(self, scatter: QueuedScatter) -> None:
        """Move on to the turn of a scatter that starts."""
        reached = self._reached.get(scatter.priority, 0)
        self._reached[scatter.priority] = max(reached, scatter.turn)

    def _forget_idle(self, waiting: Collection[QueuedScatter]) -> None:
        """Forget the turns of tenants of which nothing waits."""
        lanes = {(one.priority, one.tenant) for one in waiting}
        self._next = {lane: turn for lane, turn in self._next.items() if lane in lanes}
