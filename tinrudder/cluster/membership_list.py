"""The platform's list of machines, used as a hint: which addresses to contact, and who is leaving.

Owns the latest list and the seed addresses. The list lags: a listed machine that never answered is
not a member, and a member that is not listed remains one.
"""

from __future__ import annotations

from dataclasses import dataclass

from tinrudder.cluster.membership_table import MembershipTable
from tinrudder.cluster.view import MemberStatus
from tinrudder.peers import PeerAddress


@dataclass(frozen=True, slots=True)
class ListedMember:
    """One entry of the platform's list."""

    name: str
    address: PeerAddress
    leaving: bool = False


class PlatformListing:
    """The latest list, compared with the local membership table."""

    def __init__(self, table: MembershipTable) -> None:
        """Start with an empty list, compared with ``table``."""
        self.revision = 0
        self.version = 0
        self._table = table
        self._listed: tuple[ListedMember, ...] = ()
        self._seeds: tuple[PeerAddress, ...] = ()
        self._unanswered: tuple[PeerAddress, ...] = ()
        self._unanswered_key = (-1, -1)

    def apply_list(self, revision: int, listed: tuple[ListedMember, ...]) -> tuple[str, ...]:
        """Apply a new list; return the names that have changed to leaving since the previous one.

        The first list after this node's start reports no name as leaving: the list lags, and its
        entry for this node most likely refers to the previous start.
        """
        previously_leaving = {entry.name for entry in self._listed if entry.leaving}
        newly_leaving = tuple(
            entry.name for entry in listed if entry.leaving and entry.name not in previously_leaving
        )
        is_first = not self._listed
        self._listed = listed
        self.revision = revision
        self.version += 1
        return () if is_first else newly_leaving

    def lists_as_live(self, name: str) -> bool:
        """Tell whether the list has this member and does not mark it as leaving."""
        return any(entry.name == name and not entry.leaving for entry in self._listed)

    def add_seeds(self, seeds: tuple[PeerAddress, ...]) -> None:
        """Contact these addresses too, regardless of the list."""
        self._seeds += seeds
        self.version += 1

    def unanswered(self, own: PeerAddress) -> tuple[PeerAddress, ...]:
        """Return the addresses of listed and dead members, and seeds, where no live member is
        known."""
        key = (self._table.version, self.version)
        if key != self._unanswered_key:
            self._unanswered = self._find_unanswered(own)
            self._unanswered_key = key
        return self._unanswered

    def _find_unanswered(self, own: PeerAddress) -> tuple[PeerAddress, ...]:
        addresses = [entry.address for entry in self._listed]
        addresses += self._seeds
        addresses += [member.address for member in self._table.dead()]
        found: dict[PeerAddress, None] = {}
        for address in addresses:
            member = self._table.at_address(address)
            live = member is not None and member.status is not MemberStatus.DEAD
            if address != own and not live:
                found[address] = None
        return tuple(found)
