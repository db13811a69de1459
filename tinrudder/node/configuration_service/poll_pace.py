"""How often one node reads the platform, so that the whole tier reads it at a steady rate."""

from __future__ import annotations

import random

TIER_POLLS_PER_S = 4.0
"""Reads a second by all nodes together.  At 730 nodes a change is in force everywhere within 0.80
to 1.05 s (bench.configuration_spread, docs/CAPACITY.md)."""
JITTER = 0.5
"""Part of the mean by which a delay varies, so that nodes that started together do not read
together."""


def poll_delay_s(reachable_nodes: int, shortest_s: float, source: random.Random) -> float:
    """Return seconds until this node's next read.

    All nodes that reach each other read ``TIER_POLLS_PER_S`` times a second together: one of
    them notices a change soon, and tells the rest.  When fewer reach each other, each reads more
    often.

    >>> fixed = random.Random(1)
    >>> [round(poll_delay_s(nodes, 1.0, fixed)) for nodes in (1, 14, 730)]
    [1, 5, 231]
    """
    mean = max(shortest_s, reachable_nodes / TIER_POLLS_PER_S)
    return mean * source.uniform(1.0 - JITTER, 1.0 + JITTER)
