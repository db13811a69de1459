"""What one node believes of the others: an immutable view, replaced as a whole.

Owned by membership, which builds a new one with every change; a reader keeps the one it has read.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from tinrudder.peers import PeerAddress


class MemberStatus(enum.StrEnum):
    """A member's state as this node sees it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Member:
    """One node.

    :param incarnation: which start of the process this is, larger after every start.
    """

    name: str
    incarnation: int
    zone: str
    region: str
    address: PeerAddress
    status: MemberStatus = MemberStatus.ALIVE


@dataclass(frozen=True, slots=True)
class MemberView:
    """All members one node knows at one moment.

    :param list_revision: the platform's list the view builds on.
    """

    members: tuple[Member, ...] = ()
    list_revision: int = 0
    by_name: dict[str, Member] = field(default_factory=dict)

    def usable(self) -> tuple[Member, ...]:
        """Return the members that may be given new work."""
        return tuple(m for m in self.members if m.status is MemberStatus.ALIVE)


def build_view(members: tuple[Member, ...], list_revision: int) -> MemberView:
    """Return a view, sorted by name.

    >>> address = PeerAddress("127.0.0.1", 1)
    >>> view = build_view((Member("b", 1, "z", "r", address), Member("a", 1, "z", "r", address)), 3)
    >>> [member.name for member in view.members]
    ['a', 'b']
    """
    ordered = tuple(sorted(members, key=lambda member: member.name))
    return MemberView(ordered, list_revision, {member.name: member for member in ordered})
