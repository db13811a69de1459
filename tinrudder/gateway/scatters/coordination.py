"""How one index is served at a moment: by this gateway, by coordinators, or in part by others.

Values only; :mod:`tinrudder.gateway.scatters.coordinators` decides them.
"""

from __future__ import annotations

from msgspec import Struct

from tinrudder.common.address import Address
from tinrudder.gateway.decisions.placement.cold_start_rate import Callers


class DelegatedGroup(Struct, frozen=True):
    """Shards that others ask for this gateway, and who may be asked to."""

    shards: tuple[str, ...]
    asked: tuple[Address, ...]


class CoordinationKey(Struct, frozen=True):
    """What tells one coordination from another, whenever it was decided."""

    own: bool
    asked: frozenset[Address]
    delegated_count: int


class Coordination(Struct, frozen=True):
    """How one index is served, as this gateway sees it now.

    :param own: whether this gateway calls the back ends itself.
    :param asked: the coordinators to ask, best first; empty where ``own``.
    :param callers: how many gateways call the back ends, this one included where ``own``.
    :param sharers: in how many parts the fleet's repeats are divided, as seen from here.
    :param delegated: where ``own``, the shards that gateways beside their replicas ask.
    :param caller_names: the callers that are known.
    """

    own: bool
    asked: tuple[Address, ...]
    callers: int
    sharers: float
    decided_at: float
    delegated: tuple[DelegatedGroup, ...] = ()
    caller_names: frozenset[str] = frozenset()

    @property
    def key(self) -> CoordinationKey:
        """Return what tells one coordination from another, whenever it was decided."""
        return CoordinationKey(self.own, frozenset(self.asked), self.delegated_count)

    @property
    def known_callers(self) -> Callers:
        """Return who calls the back ends, for what callers divide among themselves."""
        return Callers(self.caller_names, self.callers)

    @property
    def delegated_count(self) -> int:
        """Return how many shards are delegated."""
        return sum(len(group.shards) for group in self.delegated)

    def own_shards(self, index: tuple[str, ...]) -> tuple[str, ...]:
        """Return the shards that are not delegated."""
        if not self.delegated:
            return index
        elsewhere = {shard for group in self.delegated for shard in group.shards}
        return tuple(shard for shard in index if shard not in elsewhere)
