"""Configuration revisions that each member enforces.

Owns the revision of each member. They spread as one bit per member: 92 bytes for 730 members, where
separate statements would take 730 times as many datagrams. Bits are only ever added, so any two
nodes can merge their states.
"""

from __future__ import annotations

from dataclasses import dataclass

from tinrudder.cluster.membership_messages import Enforcement
from tinrudder.cluster.membership_table import MembershipTable


@dataclass(frozen=True, slots=True)
class EnforcedRevision:
    """The newest revision that a member is known to enforce, or 0 if none is known."""

    name: str
    revision: int


class EnforcedRevisions:
    """Enforced revisions by member, for the members of one roster."""

    def __init__(self, table: MembershipTable) -> None:
        """Start without revisions, for the roster of ``table``."""
        self._table = table
        self._revisions: dict[str, int] = {}
        self._roster_version = -1
        self._bits = 0
        self._bits_revision = -1

    def get(self, name: str) -> int:
        """Return the newest revision that a member is known to enforce, 0 if none."""
        return self._revisions.get(name, 0)

    def reset(self, name: str, revision: int) -> None:
        """Replace a member's revision after its process restarted."""
        self._revisions.pop(name, None)
        if revision:
            self._revisions[name] = revision
        self._bits_revision = -1

    def remove(self, name: str) -> None:
        """Remove a member."""
        self._revisions.pop(name, None)
        self._bits_revision = -1

    def record(self, name: str, revision: int) -> bool:
        """Record a member's revision; return whether it is newer than the known one."""
        if revision <= self._revisions.get(name, 0):
            return False
        self._revisions[name] = revision
        self._bits_revision = -1
        return True

    def by_member(self) -> tuple[EnforcedRevision, ...]:
        """Return the revision of every member of the roster."""
        return tuple(EnforcedRevision(name, self.get(name)) for name in self._table.roster)

    def lowest(self) -> int:
        """Return the newest revision that every member enforces."""
        return min((self.get(name) for name in self._table.roster), default=0)

    def encode(self) -> Enforcement:
        """Return the newest known revision and the members that enforce it."""
        self._refresh()
        size = (len(self._table.roster) + 7) // 8
        bits = self._bits.to_bytes(size, "little")
        return Enforcement(self._bits_revision, self._table.roster_digest, bits)

    def merge(self, received: Enforcement) -> bool:
        """Merge another node's bits if its roster is the same; return whether any revision was
        new."""
        self._refresh()
        if received.roster_digest != self._table.roster_digest:
            return False
        bits = int.from_bytes(received.bits, "little")
        if received.revision == self._bits_revision:
            bits &= ~self._bits
        if bits >> len(self._table.roster):
            return False
        changed = False
        while bits:
            lowest = bits & -bits
            changed |= self.record(self._table.roster[lowest.bit_length() - 1], received.revision)
            bits ^= lowest
        return changed

    def _refresh(self) -> None:
        """Rebuild the bits after a change of revisions or roster."""
        unchanged = self._roster_version == self._table.roster_version
        if unchanged and self._bits_revision >= 0:
            return
        roster = self._table.roster
        newest = max((self.get(name) for name in roster), default=0) if self._revisions else 0
        self._bits = (1 << len(roster)) - 1
        if newest:
            text = "".join("1" if self.get(name) == newest else "0" for name in reversed(roster))
            self._bits = int(text, 2)
        self._bits_revision = newest
        self._roster_version = self._table.roster_version
