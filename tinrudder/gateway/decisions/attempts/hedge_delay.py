"""How old must a call be before it is hedged at another replica?

The delay is a multiple of the median latency: unlike a high quantile it stays stable while some
back ends are slow. It grows as the retry budget empties, and is bounded so that a hedge can still
meet the objective.


Inputs: the latencies of a route's latest calls, the objective (seconds), and how much of the retry
budget is left, 0 to 1.

Answer: the age at which a call is hedged, seconds.

Owns: nothing; it is a function of its inputs.

Shown by: metrics ``tinrudder_gateway_hedges`` and ``tinrudder_gateway_repeats_denied``.

When an input is missing or old: with fewer than 20 calls observed, the typical latency is assumed
to be a fraction of the objective.
"""

from __future__ import annotations

from tinrudder.common.latency_window import LatencyWindow

MINIMUM_OBSERVATIONS = 20
"""Calls of a route after which their median is used: two or three slow ones among 20 do not change
it."""
FACTOR_FULL = 1.9
"""Age at which a call is hedged while the whole budget is left, in typical latencies. With 1.6 and
2.3 instead, the mean value of the answers of 13 simulated days on two sites was 0.7892 and 0.8531,
0.7883 and 0.8542, compared with 0.7867 and 0.8541: no difference beyond noise."""
FACTOR_EMPTY = 4.0
"""Age at which a call is hedged when the budget is empty, in typical latencies: the last hedges go
to calls that are almost certainly late."""
MINIMUM_DELAY_S = 0.004
"""Minimum age at which a call is hedged, seconds. A round trip to another zone, about 3 ms, has
passed, so that no call whose answer is already in flight is hedged."""
INITIAL_SHARE_OF_OBJECTIVE = 0.3
"""Age at which a call is hedged while latencies are unknown, as a fraction of the objective; leaves
most of the objective to the hedge."""
MAXIMUM_SHARE_OF_OBJECTIVE = 0.6
"""Maximum age at which a call is hedged, as a fraction of the objective. The remaining time must be
long enough for a second call."""


def typical_latency_s(latency: LatencyWindow, objective_s: float) -> float:
    """Return the median latency of a route's calls, or an estimate while too few were observed."""
    if len(latency) < MINIMUM_OBSERVATIONS:
        return objective_s * INITIAL_SHARE_OF_OBJECTIVE / FACTOR_FULL
    return latency.quantile(0.5)


def hedge_delay_s(latency: LatencyWindow, objective_s: float, budget_fill: float) -> float:
    """Return the age at which a call is hedged, seconds.

    A multiple of the median: unlike a high quantile it stays stable while some back ends are slow.
    It grows as the budget empties, and is bounded so that a hedge can still meet the objective.

    >>> window = LatencyWindow()
    >>> for _ in range(100):
    ...     window.observe(0.010)
    >>> 0.018 < hedge_delay_s(window, 1.0, 1.0) < 0.021 < hedge_delay_s(window, 1.0, 0.0)
    True
    """
    factor = FACTOR_FULL + (1.0 - budget_fill) * (FACTOR_EMPTY - FACTOR_FULL)
    delay = typical_latency_s(latency, objective_s) * factor
    return max(MINIMUM_DELAY_S, min(delay, objective_s * MAXIMUM_SHARE_OF_OBJECTIVE))
