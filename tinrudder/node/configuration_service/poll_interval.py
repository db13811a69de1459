"""The poll interval of one node, such that the whole tier polls the platform at a constant rate.

Owns the tier's poll rate and its jitter.
"""

from __future__ import annotations

import random

TIER_POLLS_PER_S = 4.0
"""Reads per second by all nodes together.  With 730 nodes a change is in force on all of them
within 0.80 to 1.05 s (bench.configuration_spread, docs/CAPACITY.md)."""
JITTER = 0.5
"""Largest deviation of a delay from the mean, as a fraction of the mean, so that nodes that started
together do not poll together."""


def poll_delay_s(reachable_nodes: int, min_interval_s: float, generator: random.Random) -> float:
    """Return the seconds until this node's next read.

    The nodes that reach each other read ``TIER_POLLS_PER_S`` times per second in total: one of them
    soon detects a change and propagates it to the rest.  The fewer nodes reach each other, the more
    often each of them reads.

    >>> fixed = random.Random(1)
    >>> [round(poll_delay_s(nodes, 1.0, fixed)) for nodes in (1, 14, 730)]
    [1, 5, 231]
    """
    mean = max(min_interval_s, reachable_nodes / TIER_POLLS_PER_S)
    return mean * generator.uniform(1.0 - JITTER, 1.0 + JITTER)
