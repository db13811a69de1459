"""At what age of a call does a hedge gain most?

Applies where replicas are slow or pause for a moment, and the objective is a few times the typical
call latency. Only shards included when the answer is sent count. A hedge helps if the first call
would be too late and the hedge is not. With a longer delay fewer unnecessary hedges are sent, but
fewer hedges are in time.

Inputs: the latencies of a route's latest calls, the time until the answer is sent (seconds), and
how much of the retry budget is left, 0 to 1.

Answer: the age at which a call is hedged, seconds; none where no hedge is worth its cost.

Owns: the computed ages of one route; they are recomputed after some hundred calls.

Shown by: metrics ``tinrudder_gateway_hedges`` and ``tinrudder_gateway_repeats_denied``.

When an input is missing or old: with fewer than 200 calls observed this rule is not used, and the
multiple of the median decides.
"""

from __future__ import annotations

from tinrudder.common.latency_window import LatencyWindow

MIN_OBSERVATIONS = 200
"""Calls of a route after which the share of late ones can be estimated: among 200, four late ones
are expected where one in fifty is late."""
REFRESH_CALLS = 256
"""Calls after which the ages are recomputed: three scatters over 90 shards."""
AGE_STEPS = 24
"""Number of ages compared: with an objective of 48 ms they are 2 ms apart."""
FILL_STEPS = 8
"""Number of levels to which the budget's fill is rounded; bounds the cached ages per remaining
time."""
USABLE_TIME_SHARE = 0.9
"""Fraction of the remaining time by which a hedge's answer should arrive: it also has to be read
and merged, and a path may be slower than those observed."""
MIN_LATE_SHARE = 0.02
"""Minimum share of calls assumed to be late. Where no observed latency is late, a back end may
still pause or fail; and a hedge that is late in any case is useless."""
HEDGE_PRICE = 0.01
"""Minimum increase in the probability that a shard is included that justifies a hedge, while the
whole budget is left. With periods of slowness (15% of the time, 2.5 times) 0.01, 0.03 and 0.06 lose
0.25%, 0.43% and 0.66% of the value of answers with an objective of 98 ms, at 0.19, 0.14 and 0.13
hedges per call; the multiple of the median (``hedge_delay``) lost 1.08% at 0.14 (simulated, two
seeds)."""
MIN_FILL = 0.05
"""Fill of the budget, 0 to 1, below which the price of a hedge no longer rises: such a budget is
practically empty."""


class HedgeAges:
    """The ages at which calls of one route are hedged.

    >>> window = LatencyWindow()
    >>> for number in range(1000):
    ...     window.observe(0.2 if number % 25 == 0 else 0.010)
    >>> age_s = HedgeAges(window).age_s(left_s=0.048, budget_fill=1.0)
    >>> age_s is not None and 0.010 < age_s < 0.034
    True
    """

    __slots__ = ("_ages", "_latency", "_refreshed_length", "_shares")

    def __init__(self, latency: LatencyWindow) -> None:
        """Use the latencies of a route."""
        self._latency = latency
        self._refreshed_length = 0
        self._shares: dict[int, tuple[float, ...]] = {}
        self._ages: dict[tuple[int, int], float | None] = {}

    @property
    def is_known(self) -> bool:
        """Return whether enough calls were observed to estimate the share of late ones."""
        return len(self._latency) >= MIN_OBSERVATIONS

    def age_s(self, left_s: float, budget_fill: float) -> float | None:
        """Return the age at which a call that is sent now is hedged, seconds.

        :param left_s: the time until the answer is sent.
        :param budget_fill: how much of the retry budget is left, 0 to 1.
        :returns: ``None`` if no hedge is worth its cost or could be in time.
        """
        self._refresh()
        left_ms = round(left_s * 1000.0)
        if left_ms <= 0:
            return None
        key = left_ms, round(budget_fill * FILL_STEPS)
        if key not in self._ages:
            price = HEDGE_PRICE / max(MIN_FILL, key[1] / FILL_STEPS)
            self._ages[key] = self._best_age_s(left_ms, price)
        return self._ages[key]

    def _refresh(self) -> None:
        """Drop the cached ages after enough new calls."""
        # The window drops its older half from time to time, so its length can also shrink.
        if abs(len(self._latency) - self._refreshed_length) >= REFRESH_CALLS:
            self._refreshed_length = len(self._latency)
            self._shares.clear()
            self._ages.clear()

    def _best_age_s(self, left_ms: int, price: float) -> float | None:
        """Return the age with the highest gain minus price, ``None`` if none is positive."""
        usable_s = USABLE_TIME_SHARE * left_ms / 1000.0
        if left_ms not in self._shares:
            times = [usable_s * step / AGE_STEPS for step in range(AGE_STEPS + 1)]
            self._shares[left_ms] = self._latency.fractions_above(times)
        share_above = self._shares[left_ms]
        late = max(MIN_LATE_SHARE, share_above[AGE_STEPS])
        best, best_age_s = 0.0, None
        for step in range(1, AGE_STEPS):
            value = late * (1.0 - share_above[AGE_STEPS - step]) - price * share_above[step]
            if value > best:
                best, best_age_s = value, usable_s * step / AGE_STEPS
        return best_age_s
