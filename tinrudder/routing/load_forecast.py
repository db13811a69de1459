"""Whether a request can still be answered in time, judged by what back ends report of their queues.

Every query asks every shard, so when the shards cannot keep up, each admitted query makes all
others later.  Refusing a whole query at once costs its caller a short pause; admitting it would
cost every caller the objective.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

SURE_BELOW = 0.7
HOPELESS_ABOVE = 1.1
LATER_PRIORITY_FACTOR = 1.1
RETURNING_FACTOR = 0.85
USUAL_FACTOR = 1.8
HARMLESS_WAIT = 0.5
QUANTILE = 0.75


def wait_of_shards(waits_s: Sequence[float]) -> float:
    """Return the wait that most shards stay below, seconds; 0 when there is none.

    >>> wait_of_shards([0.0, 0.1, 0.2, 0.3])
    0.2
    """
    if not waits_s:
        return 0.0
    ordered = sorted(waits_s)
    return ordered[min(len(ordered) - 1, math.ceil(QUANTILE * len(ordered)) - 1)]


def admission_share(
    wait_s: float, usual_s: float, left_s: float, *, priority_steps: int, returning: bool
) -> float:
    """Return which share of such requests to admit, 0 to 1.

    Between what is sure to be in time and what is hopeless the share falls evenly: gateways see
    queues late, and all or nothing would make their load swing.  A wait that is short beside the
    call itself is no overload, however short the objective.

    :param wait_s: how long a call waits for a slot.
    :param usual_s: how long a call usually takes without waiting.
    :param left_s: time until the objective.
    :param priority_steps: how many more urgent priorities the back ends serve too.
    :param returning: the caller was refused before and has come back.

    >>> admission_share(0.0, 0.04, 0.25, priority_steps=0, returning=False)
    1.0
    >>> admission_share(0.4, 0.04, 0.25, priority_steps=0, returning=False)
    0.0
    """
    if wait_s <= HARMLESS_WAIT * usual_s:
        return 1.0
    if left_s <= 0.0:
        return 0.0
    load = (wait_s + USUAL_FACTOR * usual_s) / left_s
    load *= LATER_PRIORITY_FACTOR**priority_steps
    if returning:
        load *= RETURNING_FACTOR
    share = (HOPELESS_ABOVE - load) / (HOPELESS_ABOVE - SURE_BELOW)
    return min(1.0, max(0.0, share))
