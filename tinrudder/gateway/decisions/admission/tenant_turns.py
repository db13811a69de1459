"""Which tenant's scatter starts first among those that wait with the same priority?

Each scatter uses one turn of its tenant, so that a tenant that sends many scatters waits behind
those that send few.

Inputs: the scatters of one index at one gateway as they arrive, start and leave, with priority and
tenant.

Answer: the turn of a scatter, an integer: the smaller starts first. A scatter without a tenant gets
the turn currently being served.

Owns: the current turn of each priority and the next turn of each tenant; the number of tenants with
nothing waiting is bounded.

Shown by: nothing of its own; the number of waiting scatters is metric
``tinrudder_gateway_scatters_waiting``.

When an input is missing or old: a tenant without a remembered turn begins with the one being
served.
"""

from __future__ import annotations

from collections.abc import Collection

from msgspec import Struct, field

from tinrudder.gateway.decisions.admission.queued_scatter import QueuedScatter

MAX_IDLE_LANES = 64
"""Number of tenants whose next turn is remembered although none of their scatters waits. Bounds the
memory; an evicted tenant only loses the record of turns it used ahead of the others."""


class TenantTurns(Struct):
    """Assigns turns; a lane is one tenant's scatters of one priority."""

    _reached: dict[int, int] = field(default_factory=dict)
    _next: dict[tuple[int, str], int] = field(default_factory=dict)

    def next_turn(self, scatter: QueuedScatter) -> int:
        """Return the turn of a scatter that arrives now."""
        reached = self._reached.get(scatter.priority, 0)
        if not scatter.tenant:
            return reached
        return max(reached, self._next.get((scatter.priority, scatter.tenant), 0))

    def take(self, scatter: QueuedScatter, waiting: Collection[QueuedScatter]) -> None:
        """Count the turn as used: the next scatter of the tenant gets the next turn.

        :param waiting: the scatters whose lanes must not be evicted.
        """
        if not scatter.tenant:
            return
        self._next[scatter.priority, scatter.tenant] = scatter.turn + 1
        if len(self._next) > MAX_IDLE_LANES + len(waiting):
            self._evict_idle(waiting)

    def release(self, scatter: QueuedScatter) -> None:
        """Release the turn of a scatter that has not run, for the tenant's next scatter."""
        lane = scatter.priority, scatter.tenant
        if self._next.get(lane) == scatter.turn + 1:
            self._next[lane] = scatter.turn

    def start(self, scatter: QueuedScatter) -> None:
        """Advance the priority's current turn to that of a scatter that starts."""
        reached = self._reached.get(scatter.priority, 0)
        self._reached[scatter.priority] = max(reached, scatter.turn)

    def _evict_idle(self, waiting: Collection[QueuedScatter]) -> None:
        """Evict the turns of tenants that have no waiting scatter."""
        lanes = {(one.priority, one.tenant) for one in waiting}
        self._next = {lane: turn for lane, turn in self._next.items() if lane in lanes}
