"""How old must a call be before it is repeated at another replica?

A multiple of the median: unlike a high quantile it stays put while a part of the back ends is
slow. The emptier the budget, the later; never so late that the hedge could not win.

Inputs: the latencies of a route's latest calls, the objective (seconds), and how much of the retry
budget is left, 0 to 1.

Answer: the age at which a call is hedged, seconds.

Owns: nothing; it is a function of its inputs.

Shown by: metrics ``tinrudder_gateway_hedges`` and ``tinrudder_gateway_repeats_denied``.

When an input is missing or old: with fewer than 20 calls seen, the usual time of a call is guessed
as a part of the objective.
"""

from __future__ import annotations

from tinrudder.common.latency_window import LatencyWindow

MINIMUM_OBSERVATIONS = 20
"""Calls of a route from which on their median counts. Chosen, not measured: two or three slow ones
among 20 do not move it."""
FACTOR_FULL = 1.9
"""Age at which a call is hedged while the whole budget is left, in usual latencies. With 1.6 and
2.3 in its place the mean worth of 13 simulated days on two sites was 0.7892 and 0.8531, 0.7883 and
0.8542, beside 0.7867 and 0.8541: no difference beyond noise."""
FACTOR_EMPTY = 4.0
"""The same while none is left, in usual latencies. Chosen, not measured: the last hedges go to
calls that are late almost for certain."""
MINIMUM_DELAY_S = 0.004
"""Youngest age at which a call is hedged, seconds. Chosen, not measured: a round trip to another
zone, about 3 ms, has passed, so that no answer on its way is hedged."""
INITIAL_SHARE_OF_OBJECTIVE = 0.3
"""Age at which a call is hedged while latencies are not known, as a part of the objective. Chosen,
not measured: most of the objective is left to the second call."""
MAXIMUM_SHARE_OF_OBJECTIVE = 0.6
"""Latest age at which a call is hedged, as a part of the objective. Chosen, not measured: what is
left must hold a second call, or that cannot win."""


def usual_latency_s(latency: LatencyWindow, objective_s: float) -> float:
    """Return how long a call of a route usually takes: the median, a guess before it is known."""
    if len(latency) < MINIMUM_OBSERVATIONS:
        return objective_s * INITIAL_SHARE_OF_OBJECTIVE / FACTOR_FULL
    return latency.quantile(0.5)


def hedge_delay_s(latency: LatencyWindow, objective_s: float, budget_fill: float) -> float:
    """Return the age at which a call is hedged, seconds.

    A multiple of the median: unlike a high quantile it stays put while a part of the back ends is
    slow.  The emptier the budget, the later; never so late that the hedge could not win.

    >>> window = LatencyWindow()
    >>> for _ in range(100):
    ...     window.observe(0.010)
    >>> 0.018 < hedge_delay_s(window, 1.0, 1.0) < 0.021 < hedge_delay_s(window, 1.0, 0.0)
    True
    """
    factor = FACTOR_FULL + (1.0 - budget_fill) * (FACTOR_EMPTY - FACTOR_FULL)
    delay = usual_latency_s(latency, objective_s) * factor
    return max(MINIMUM_DELAY_S, min(delay, objective_s * MAXIMUM_SHARE_OF_OBJECTIVE))
