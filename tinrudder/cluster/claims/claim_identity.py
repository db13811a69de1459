"""Identifiers that distinguish restarts of a proposer and member lists of equal revision.

Owns no state.
"""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence

import xxhash

from tinrudder.cluster.claims.electorate_history import ListedVoter

INSTANCE_RANDOM_BITS = 12
"""Random low bits of an instance number; they distinguish two starts within a microsecond."""
MICROSECONDS_PER_SECOND = 1_000_000
"""Microseconds in a second."""


def new_instance(now: float, source: random.Random) -> int:
    """Return an instance number that no earlier start of this node used.

    The start time makes it unique even if the random source repeats itself.  Two starts with
    the same number could be taken for one proposer, whose repeated request a voter grants again.
    """
    return (int(now * MICROSECONDS_PER_SECOND) << INSTANCE_RANDOM_BITS) | source.getrandbits(
        INSTANCE_RANDOM_BITS
    )


def list_digest(revision: int, regions: Mapping[str, Sequence[ListedVoter]]) -> int:
    """Return a digest of a member list.

    A revision does not identify a list: after the platform is restored, a different list may
    have the same revision.
    """
    lines = [
        f"{region}\t{listed.voter.identity}\t{listed.voter.zone}\t{listed.leaving}"
        for region in sorted(regions)
        for listed in regions[region]
    ]
    text = "\n".join((str(revision), *sorted(lines)))
    return xxhash.xxh3_64_intdigest(text.encode())
