"""Numbers that tell starts of a proposer, and platform lists of one revision, apart."""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence

import xxhash

from tinrudder.cluster.claims.electorate_history import ListedVoter

INSTANCE_RANDOM_BITS = 12
"""Random bits below the start time, for two starts within a microsecond."""
MICROSECONDS = 1_000_000
"""In a second."""


def new_instance(now: float, source: random.Random) -> int:
    """Return a number that no earlier start of this node had, whatever the random source.

    Two starts with one number could pass for one proposer, and a voter grants a proposer twice.
    """
    return (int(now * MICROSECONDS) << INSTANCE_RANDOM_BITS) | source.getrandbits(
        INSTANCE_RANDOM_BITS
    )


def list_digest(revision: int, regions: Mapping[str, Sequence[ListedVoter]]) -> int:
    """Return a digest of a list; two lists of one revision differ after a platform's restore."""
    lines = [
        f"{region}\t{listed.voter.identity}\t{listed.voter.zone}\t{listed.leaving}"
        for region in sorted(regions)
        for listed in regions[region]
    ]
    text = "\n".join((str(revision), *sorted(lines)))
    return xxhash.xxh3_64_intdigest(text.encode())
