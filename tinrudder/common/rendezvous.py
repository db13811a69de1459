"""Rendezvous hashing: every process computes the same ranking without communication.

Owns the hash: gateways of two versions must agree on it, so it cannot change within a fleet.
"""

from __future__ import annotations

import math

import xxhash

_UNUSED_BITS = 12
"""Bits of the 64-bit hash that a score drops: the remaining 52 bits and the added half fit into a
float's 53-bit significand."""
_RANGE = 2.0 ** (64 - _UNUSED_BITS)


def rendezvous_score(service: str, member: str) -> int:
    """Return a pseudo-random score of a member for a service.

    >>> rendezvous_score("stock", "node-1") == rendezvous_score("stock", "node-1")
    True
    """
    return xxhash.xxh64_intdigest(f"{service}\0{member}".encode())


def weighted_score(key: str, member: str, weight: float) -> float:
    """Return a member's score for a key; the member with the highest score wins the key.

    Members win in proportion to their weights. With the logarithmic form, adding, removing or
    reweighting one member leaves all other scores unchanged, so that few keys move.

    >>> wins = sum(weighted_score(f"k{i}", "a", 3.0) > weighted_score(f"k{i}", "b", 1.0)
    ...     for i in range(1000))
    >>> 700 < wins < 800
    True
    """
    # The float represents every value exactly, so the quotient is never 0 or 1.
    uniform = ((rendezvous_score(key, member) >> _UNUSED_BITS) + 0.5) / _RANGE
    return -weight / math.log(uniform)
