"""How many of the waiting requests can a stopping gateway still serve?

During a planned stop all requests have the same deadline.  Of those that wait for a connection to a
back end, the connections bear only so many until then; the others are refused as soon as that is
known, so that their clients turn to other gateways and the end of the process stays short.

Inputs: for each waiting request of a service, in the order of arrival, the typical time of a call,
seconds; the connections that this gateway may open to the service's back ends; the time until the
last answer must be sent, seconds.

Answer: how many requests, from the first one, are kept.

Owns: nothing.

Shown by: nothing of its own; a refused request's log line says why.

When an input is missing or old: a call whose typical time is unknown takes none, so its request is
kept.
"""

from __future__ import annotations

from collections.abc import Iterable

OPTIMISM = 2.0
"""Factor on what the connections bear: typical times vary, some clients leave, and a request that
is kept too long costs less than one that is refused without need."""

SPARE_S = 0.5
"""Seconds added to the time left: requests wait at single back ends, and those that are kept may
not be spread evenly over them."""


def servable_count(typical_times_s: Iterable[float], connections: int, left_s: float) -> int:
    """Return how many waiting requests are kept.

    >>> servable_count([0.5] * 100, connections=4, left_s=4.5)
    80
    >>> servable_count([0.0] * 100, connections=0, left_s=5.0)
    100
    """
    left = connections * (max(0.0, left_s) + SPARE_S) * OPTIMISM
    kept = 0
    for typical_time_s in typical_times_s:
        left -= typical_time_s
        if left < 0.0:
            break
        kept += 1
    return kept
