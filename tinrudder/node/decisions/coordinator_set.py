"""Which nodes coordinate a service's queries, and how many calls each may have in flight.

A service's coordinators are chosen by rendezvous hashing over the live members of its region,
spread over zones.  Every node computes the same set from the same view, without talking.  When
one node comes or goes, at most a few places of a set change hands (see docs/COORDINATORS.md).
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import xxhash

from tinrudder.cluster.view import Member, MemberStatus
from tinrudder.common.rendezvous import rendezvous_score

MAX_SLOTS_HELD = 32
"""Slots of all back ends together that one coordinator holds, so that one process can carry
their calls (docs/COORDINATORS.md)."""

SLOT_HEADROOM = 2
"""Calls in flight for one slot: while an answer travels, the next call is already waiting."""

FALLBACK_LIMIT = 1
"""Calls that any node may have in flight at a back end, coordinator or not, so that a query
survives when no coordinator is reachable.  The least there is: all nodes of a region may use it at
once."""
_ELIGIBLE = (MemberStatus.ALIVE, MemberStatus.SUSPECT)


@dataclass(frozen=True, slots=True)
class CoordinatorSet:
    """The coordinators of one service, best score first.

    :param names: the same members by name, for a quick test of membership.
    """

    service: str
    members: tuple[Member, ...] = ()
    names: frozenset[str] = field(default=frozenset())

    def share(self, node: str, backend: str, calls: int) -> int:
        """Return how many of the calls that a back end may have in flight are ``node``'s.

        Over all coordinators the shares add up to ``calls`` as long as there are no more
        coordinators than that.  Every node, coordinator or not, may have ``FALLBACK_LIMIT``:
        that is what keeps a query alive when no coordinator is reachable.
        """
        if node not in self.names:
            return FALLBACK_LIMIT
        position = next(i for i, member in enumerate(self.members) if member.name == node)
        return max(FALLBACK_LIMIT, even_share(backend, calls, position, len(self.members)))


def coordinator_count(slots: Sequence[int]) -> int:
    """Return how many coordinators a service has.

    As few as possible: one coordinator sees every query and every slot, so it wastes none.
    More only where one process could not carry the calls, and never so many that a coordinator
    holds less than one slot of the smallest back end.

    >>> coordinator_count([5, 5])
    1
    >>> coordinator_count([5] * 20)
    4
    >>> coordinator_count([2] * 130)
    2
    """
    needed = math.ceil(sum(slots) / MAX_SLOTS_HELD)
    return max(1, min(needed, min(slots, default=1)))


def calls_allowed(slots: int, max_connections: int) -> int:
    """Return how many calls all coordinators together may have in flight at one back end.

    >>> calls_allowed(5, 70)
    10
    >>> calls_allowed(50, 70)
    70
    """
    return min(slots * SLOT_HEADROOM, max_connections)


def rank_members(service: str, members: Iterable[Member]) -> tuple[Member, ...]:
    """Return the members that may coordinate a service, best first.

    The best of every zone come first, then the second of every zone, and so on.  A suspected
    member keeps its place: taking its slots away before it is known to be dead would hand them
    out twice.
    """
    eligible = [member for member in members if member.status in _ELIGIBLE]
    scored = sorted(
        ((rendezvous_score(service, member.name), member.name, member) for member in eligible),
        key=lambda entry: entry[:2],
        reverse=True,
    )
    taken_in_zone: dict[str, int] = {}
    ranked: list[tuple[int, int, Member]] = []
    for position, (_, _, member) in enumerate(scored):
        rank = taken_in_zone.get(member.zone, 0)
        taken_in_zone[member.zone] = rank + 1
        ranked.append((rank, position, member))
    ranked.sort(key=lambda entry: entry[:2])
    return tuple(member for _, _, member in ranked)


def take_coordinators(
    service: str, ranked: Sequence[Member], count: int, unreachable: frozenset[str] = frozenset()
) -> CoordinatorSet:
    """Return the first ``count`` members, passing over those this node cannot reach."""
    reachable = [member for member in ranked if member.name not in unreachable]
    chosen = tuple((reachable or ranked)[:count])
    return CoordinatorSet(service, chosen, frozenset(member.name for member in chosen))


def choose_coordinators(service: str, members: Iterable[Member], count: int) -> CoordinatorSet:
    """Choose ``count`` coordinators among the members of the service's region."""
    return take_coordinators(service, rank_members(service, members), count)


def even_share(backend: str, calls: int, position: int, count: int) -> int:
    """Return the calls to one back end that belong to the coordinator at ``position``.

    The remainder of an uneven division starts at another coordinator for every back end, so no
    coordinator gets the larger share everywhere.

    >>> sum(even_share("b1", 5, position, 3) for position in range(3))
    5
    """
    base, remainder = divmod(calls, count)
    first = xxhash.xxh64_intdigest(backend.encode()) % count
    return base + (1 if (position - first) % count < remainder else 0)


def members_of_region(members: Sequence[Member], region: str) -> tuple[Member, ...]:
    """Return the members of one region."""
    return tuple(member for member in members if member.region == region)
