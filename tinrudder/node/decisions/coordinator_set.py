"""Selection of a service's coordinators, and each coordinator's share of the calls in flight.

Owns no state.  Coordinators are selected by rendezvous hashing over the live members of the
service's region, spread over zones.  Nodes with the same membership view compute the same set
without communication.  When one node joins or leaves, at most a few members of a set change (see
docs/COORDINATORS.md).
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import xxhash

from tinrudder.cluster.view import Member, MemberStatus
from tinrudder.common.rendezvous import rendezvous_score

MAX_SLOTS_PER_COORDINATOR = 32
"""Maximum number of slots, summed over a service's back ends, per coordinator, so that one process
can carry their calls (docs/COORDINATORS.md)."""

SLOT_HEADROOM = 2
"""Calls in flight per slot: while an answer is on the network, the next call already waits at the
back end."""

FALLBACK_LIMIT = 1
"""Calls that any node may have in flight at a back end, coordinator or not, so that a query
succeeds when no coordinator is reachable.  The minimum, because all nodes of a region may use it
at the same time."""
_ELIGIBLE = (MemberStatus.ALIVE, MemberStatus.SUSPECT)


@dataclass(frozen=True, slots=True)
class CoordinatorSet:
    """The coordinators of one service, best score first.

    :param names: names of ``members``, for fast membership tests.
    """

    service: str
    members: tuple[Member, ...] = ()
    names: frozenset[str] = field(default=frozenset())

    def share(self, node: str, backend: str, calls: int) -> int:
        """Return how many of a back end's ``calls`` in flight ``node`` may have.

        The shares of all coordinators add up to ``calls`` unless there are more coordinators
        than ``calls``.  Every node, coordinator or not, gets at least ``FALLBACK_LIMIT``, so that
        a query succeeds when no coordinator is reachable.
        """
        if node not in self.names:
            return FALLBACK_LIMIT
        position = next(i for i, member in enumerate(self.members) if member.name == node)
        return max(FALLBACK_LIMIT, even_share(backend, calls, position, len(self.members)))


def coordinator_count(slots: Sequence[int]) -> int:
    """Return how many coordinators a service has.

    As few as possible: a single coordinator sees every query and every slot, so it wastes none.
    There are more only if one process could not carry the calls, and never so many that a
    coordinator has less than one slot of the smallest back end.

    >>> coordinator_count([5, 5])
    1
    >>> coordinator_count([5] * 20)
    4
    >>> coordinator_count([2] * 130)
    2
    """
    needed = math.ceil(sum(slots) / MAX_SLOTS_PER_COORDINATOR)
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

    The best member of every zone comes first, then the second of every zone, and so on.  A
    suspected member stays eligible: reassigning its slots before it is declared dead would assign
    them twice.
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


def select_reachable(
    service: str, ranked: Sequence[Member], count: int, unreachable: frozenset[str] = frozenset()
) -> CoordinatorSet:
    """Return the first ``count`` members that this node can reach; if it reaches none, of all."""
    reachable = [member for member in ranked if member.name not in unreachable]
    chosen = tuple((reachable or ranked)[:count])
    return CoordinatorSet(service, chosen, frozenset(member.name for member in chosen))


def choose_coordinators(service: str, members: Iterable[Member], count: int) -> CoordinatorSet:
    """Select ``count`` coordinators from the members of the service's region."""
    return select_reachable(service, rank_members(service, members), count)


def even_share(backend: str, calls: int, position: int, count: int) -> int:
    """Return the share of a back end's ``calls`` of the coordinator at ``position``.

    The remainder of an uneven division is assigned from a position that depends on the back end's
    name, so that no coordinator gets the larger share of every back end.

    >>> sum(even_share("b1", 5, position, 3) for position in range(3))
    5
    """
    base, remainder = divmod(calls, count)
    first_position = xxhash.xxh64_intdigest(backend.encode()) % count
    return base + (1 if (position - first_position) % count < remainder else 0)


def members_of_region(members: Sequence[Member], region: str) -> tuple[Member, ...]:
    """Return the members of one region."""
    return tuple(member for member in members if member.region == region)
