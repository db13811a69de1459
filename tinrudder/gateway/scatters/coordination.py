"""Which gateways call the back ends of one index, in the view of one gateway.

Values only; :mod:`tinrudder.gateway.scatters.coordinators` decides them.
"""

from __future__ import annotations

from msgspec import Struct

from tinrudder.common.address import Address
from tinrudder.gateway.decisions.placement.cold_start_rate import Callers


class DelegatedGroup(Struct, frozen=True):
    """Shards that one of several other gateways calls for this one.

    :param gateways: the gateways that can call these shards; one of them is asked.
    """

    shards: tuple[str, ...]
    gateways: tuple[Address, ...]


class CoordinationKey(Struct, frozen=True):
    """The fields of a coordination whose change is reported."""

    calls_backends: bool
    preferred_coordinators: frozenset[Address]
    delegated_count: int


class Coordination(Struct, frozen=True):
    """Which gateways call the back ends of one index, in the current view of this gateway.

    :param calls_backends: whether this gateway calls the back ends itself.
    :param preferred_coordinators: the coordinators to ask, best first; empty if ``calls_backends``.
    :param callers: how many gateways call the back ends, including this one if ``calls_backends``.
    :param budget_parts: number of equal parts into which the fleet's budget of hedges and retries
        is divided; this gateway has one.
    :param decided_at: monotonic time of the decision, seconds.
    :param delegated: if ``calls_backends``, the shards that gateways in the zones of their
        replicas call.
    :param caller_names: the names of the callers, if ``calls_backends``.
    :param most_callers: upper bound of the number of callers.
    """

    calls_backends: bool
    preferred_coordinators: tuple[Address, ...]
    callers: int
    budget_parts: float
    decided_at: float
    delegated: tuple[DelegatedGroup, ...] = ()
    caller_names: frozenset[str] = frozenset()
    most_callers: int = 0

    @property
    def key(self) -> CoordinationKey:
        """Return the fields whose change is reported."""
        return CoordinationKey(
            self.calls_backends, frozenset(self.preferred_coordinators), self.delegated_count
        )

    @property
    def known_callers(self) -> Callers:
        """Return the gateways that call the back ends, for limits that they divide."""
        return Callers(self.caller_names, self.callers, self.most_callers)

    @property
    def delegated_count(self) -> int:
        """Return how many shards are delegated."""
        return sum(len(group.shards) for group in self.delegated)

    def own_shards(self, index: tuple[str, ...]) -> tuple[str, ...]:
        """Return the shards of ``index`` that are not delegated."""
        if not self.delegated:
            return index
        elsewhere = {shard for group in self.delegated for shard in group.shards}
        return tuple(shard for shard in index if shard not in elsewhere)
