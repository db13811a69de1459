"""Selects the voters of a key: a few nodes from one revision of the platform's member list.

Owns no state beyond the list that it was given.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import xxhash

from tinrudder.peers import PeerAddress

FULL_ELECTORATE = 5
"""Voters of a key: a majority survives the loss of two, and with three zones none holds one."""
SMALL_ELECTORATE = 3
"""Voters of a key with three or four nodes."""
SINGLE_ELECTORATE = 1
"""Voters of a key with fewer than three nodes, where no majority could survive a loss."""
ZONES_TO_SPREAD_OVER = 3
"""Smallest number of zones at which no zone is given a majority of the voters."""


@dataclass(frozen=True, slots=True, order=True)
class Voter:
    """A node as a voter, identified by name and address.

    A process that restarts under the same name at another address is a different voter, because
    the old process may still be running.
    """

    name: str
    zone: str
    address: PeerAddress

    @property
    def identity(self) -> str:
        """Return the name and address."""
        return f"{self.name}@{self.address}"


@dataclass(frozen=True, slots=True)
class Electorate:
    """The voters of one key under one member list.

    :param voters: sorted.
    :param fingerprint: hash of the voters' identities; equal sets have equal fingerprints.
    """

    voters: tuple[Voter, ...]
    fingerprint: int = field(compare=False, default=0)

    @property
    def majority(self) -> int:
        """Return the smallest number of votes that two claims cannot both hold."""
        return len(self.voters) // 2 + 1


def make_electorate(voters: Iterable[Voter]) -> Electorate:
    """Return the electorate of these voters.

    >>> a = Voter("a", "z1", PeerAddress("127.0.0.1", 1))
    >>> b = Voter("b", "z2", PeerAddress("127.0.0.1", 2))
    >>> make_electorate([a, b]) == make_electorate([b, a])
    True
    """
    ordered = tuple(sorted(set(voters)))
    text = "\n".join(voter.identity for voter in ordered)
    return Electorate(ordered, xxhash.xxh3_64_intdigest(text.encode()))


class VoterRanking:
    """Orders voters for each key by rendezvous hashing."""

    def __init__(self, voters: Iterable[Voter]) -> None:
        """Keep ``voters`` in a fixed order."""
        self.voters = tuple(sorted(set(voters)))
        self._identities = [voter.identity.encode() for voter in self.voters]

    def ranked(self, digest: bytes) -> list[Voter]:
        """Return all voters in descending order of their score for a key."""
        seed = int.from_bytes(digest[:8], "big")
        scores = [xxhash.xxh3_64_intdigest(identity, seed) for identity in self._identities]
        order = sorted(range(len(scores)), key=scores.__getitem__, reverse=True)
        return [self.voters[position] for position in order]


class VoterList:
    """The voters of one region at one list revision; selects the electorate of each key."""

    def __init__(self, revision: int, voters: Iterable[Voter]) -> None:
        """Keep ``voters``."""
        self.revision = revision
        self.voters = frozenset(voters)
        self.zones = len({voter.zone for voter in self.voters})
        self.size = electorate_size(len(self.voters))

    def electorate(self, ranked: Sequence[Voter]) -> Electorate:
        """Return a key's electorate: the highest-ranked voters, spread over the zones.

        With three zones or more, no zone holds a majority unless the others have too few nodes.

        :param ranked: all of this list's voters in the key's order; others are ignored.
        """
        zone_limit = self.size
        if self.zones >= ZONES_TO_SPREAD_OVER:
            zone_limit = max(1, self.size // 2)
        chosen: list[Voter] = []
        over_zone_limit: list[Voter] = []
        in_zone: dict[str, int] = {}
        for voter in ranked:
            if len(chosen) == self.size:
                break
            if voter not in self.voters:
                continue
            if in_zone.get(voter.zone, 0) >= zone_limit:
                over_zone_limit.append(voter)
                continue
            in_zone[voter.zone] = in_zone.get(voter.zone, 0) + 1
            chosen.append(voter)
        missing = self.size - len(chosen)
        return make_electorate(chosen + over_zone_limit[:missing])


def electorate_size(nodes: int) -> int:
    """Return the number of voters of a key, given the number of nodes.

    >>> [electorate_size(nodes) for nodes in (0, 1, 2, 3, 4, 5, 730)]
    [0, 1, 1, 3, 3, 5, 5]
    """
    if nodes >= FULL_ELECTORATE:
        return FULL_ELECTORATE
    if nodes >= SMALL_ELECTORATE:
        return SMALL_ELECTORATE
    return min(nodes, SINGLE_ELECTORATE)
