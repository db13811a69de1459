"""Immutable view of the members, as one node knows them.

Owned by membership, which replaces the view as a whole on every change; a reader keeps the view
that it has read.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from tinrudder.peers import PeerAddress


class MemberStatus(enum.StrEnum):
    """State of a member, as held by this node."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Member:
    """A member of the cluster.

    :param incarnation: identifies the start of the process; increases with every start and
        refutation.
    """

    name: str
    incarnation: int
    zone: str
    region: str
    address: PeerAddress
    status: MemberStatus = MemberStatus.ALIVE


@dataclass(frozen=True, slots=True)
class MemberView:
    """All members that one node knows at one moment.

    :param list_revision: revision of the platform's list that the view is based on.
    """

    members: tuple[Member, ...] = ()
    list_revision: int = 0
    by_name: dict[str, Member] = field(default_factory=dict)

    def usable(self) -> tuple[Member, ...]:
        """Return the members that can be given new work."""
        return tuple(m for m in self.members if m.status is MemberStatus.ALIVE)


def build_view(members: tuple[Member, ...], list_revision: int) -> MemberView:
    """Build a view, sorted by name.

    >>> address = PeerAddress("127.0.0.1", 1)
    >>> view = build_view((Member("b", 1, "z", "r", address), Member("a", 1, "z", "r", address)), 3)
    >>> [member.name for member in view.members]
    ['a', 'b']
    """
    ordered = tuple(sorted(members, key=lambda member: member.name))
    return MemberView(ordered, list_revision, {member.name: member for member in ordered})
