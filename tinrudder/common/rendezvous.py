"""Rendezvous hashing: every process computes the same ranking without talking.

Owns the hash: gateways of two versions must agree on it, so it cannot change within a fleet.
"""

from __future__ import annotations

import math

import xxhash

_UNUSED_BITS = 12
"""Bits of the 64 of a hash that a score leaves out: the other 52 and the half that is added fit a
float's 53 (arithmetic)."""
_RANGE = 2.0 ** (64 - _UNUSED_BITS)


def rendezvous_score(service: str, member: str) -> int:
    """Return the pseudo-random weight of a member for a service.

    >>> rendezvous_score("stock", "node-1") == rendezvous_score("stock", "node-1")
    True
    """
    return xxhash.xxh64_intdigest(f"{service}\0{member}".encode())


def weighted_score(key: str, member: str, weight: float) -> float:
    """Return a member's score for a key; the highest wins, as often as the weights say.

    The logarithmic form keeps every other member's score when one comes, goes or changes its
    weight, so that few keys change hands.

    >>> wins = sum(weighted_score(f"k{i}", "a", 3.0) > weighted_score(f"k{i}", "b", 1.0)
    ...     for i in range(1000))
    >>> 700 < wins < 800
    True
    """
    # So few bits that a float holds them all: the quotient never becomes 0 or 1.
    uniform = ((rendezvous_score(key, member) >> _UNUSED_BITS) + 0.5) / _RANGE
    return -weight / math.log(uniform)
