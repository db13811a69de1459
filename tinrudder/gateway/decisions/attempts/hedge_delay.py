"""How old a call must be before it is repeated at another replica."""

from __future__ import annotations

from tinrudder.common.latency_window import LatencyWindow

MINIMUM_OBSERVATIONS = 20
FACTOR_FULL = 1.9
FACTOR_EMPTY = 4.0
MINIMUM_DELAY_S = 0.004
INITIAL_SHARE_OF_OBJECTIVE = 0.3
MAXIMUM_SHARE_OF_OBJECTIVE = 0.6


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
