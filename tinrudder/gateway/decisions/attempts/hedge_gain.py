"""When does a second call beside one that runs buy most?

Load: replicas that are slow or stand still for a moment, and requests whose objective is a few
times what a call usually takes. Only a part that is in when the answer leaves counts. A second
call helps if the first would come too late and the second does not; the longer one waits, the
fewer second calls are sent in vain, and the fewer of them are in time.

Inputs: the latencies of a route's latest calls, the time until the answer leaves (seconds), and
how much of the retry budget is left, 0 to 1.

Answer: the age at which a call is hedged, seconds; none where no second call is worth its price.

Owns: what was concluded for one route; it is worked out anew after some hundred calls.

Shown by: metrics ``tinrudder_gateway_hedges`` and ``tinrudder_gateway_repeats_denied``.

When an input is missing or old: with fewer than 200 calls seen it is not asked, and the multiple
of the median decides.
"""

from __future__ import annotations

from tinrudder.common.latency_window import LatencyWindow

LEAST_OBSERVATIONS = 200
"""Calls of a route from which on their latencies tell how many are late, a choice: with 200, four
late ones are expected where one in fifty is."""
REFRESH_CALLS = 256
"""Calls after which latencies are looked at again. Chosen, not measured: three scatters over 90
shards."""
STEPS = 24
"""Ages that are compared. Chosen, not measured: at an objective of 48 ms two of them are 2 ms
apart."""
FILL_STEPS = 8
"""Degrees of the budget's fill that are told apart. Chosen, not measured: so many conclusions are
kept for one time left."""
USED_SHARE = 0.9
"""Part of the time left by which a second call should be in, a choice: parts also have to be read
and merged, and a path may be longer than those seen."""
LEAST_LATE_SHARE = 0.02
"""Part of the calls that is taken to be late at least. Chosen, not measured: where latencies show
none, a back end may still stand still or vanish, and a second call that is late in any case helps
nobody."""
PRICE = 0.01
"""What a second call must raise the chance of its part by, while the whole budget is there.  On
moments of slowness (15% of the time, 2.5 times) 0.01, 0.03 and 0.06 leave 0.25%, 0.43% and 0.66%
of the worth of an objective of 98 ms, at 0.19, 0.14 and 0.13 second calls a call; the rule by
medians left 1.08% at 0.14 (simulated, two seeds)."""
LEAST_FILL = 0.05
"""Fill of the budget, 0 to 1, below which the price of a second call rises no more. Chosen, not
measured: such a budget is as good as gone."""


class HedgeMoments:
    """The ages at which calls of one route are hedged.

    >>> window = LatencyWindow()
    >>> for number in range(1000):
    ...     window.observe(0.2 if number % 25 == 0 else 0.010)
    >>> age_s = HedgeMoments(window).age_s(left_s=0.048, budget_fill=1.0)
    >>> age_s is not None and 0.010 < age_s < 0.034
    True
    """

    __slots__ = ("_ages", "_latency", "_seen", "_shares")

    def __init__(self, latency: LatencyWindow) -> None:
        """Follow the latencies of a route."""
        self._latency = latency
        self._seen = 0
        self._shares: dict[int, tuple[float, ...]] = {}
        self._ages: dict[tuple[int, int], float | None] = {}

    @property
    def is_known(self) -> bool:
        """Tell whether enough calls were seen to tell how many are late."""
        return len(self._latency) >= LEAST_OBSERVATIONS

    def age_s(self, left_s: float, budget_fill: float) -> float | None:
        """Return the age at which a call that is sent now is hedged, seconds.

        :param left_s: the time until the answer leaves.
        :param budget_fill: how much of the budget of repeats is left, 0 to 1.
        :returns: ``None``: no second call is worth its price, or could be in time.
        """
        self._refresh()
        left_ms = round(left_s * 1000.0)
        if left_ms <= 0:
            return None
        key = left_ms, round(budget_fill * FILL_STEPS)
        if key not in self._ages:
            price = PRICE / max(LEAST_FILL, key[1] / FILL_STEPS)
            self._ages[key] = self._best_age_s(left_ms, price)
        return self._ages[key]

    def _refresh(self) -> None:
        """Forget what was concluded from latencies that are not the latest any more."""
        # The window drops its older half now and then, so its length may also shrink.
        if abs(len(self._latency) - self._seen) >= REFRESH_CALLS:
            self._seen = len(self._latency)
            self._shares.clear()
            self._ages.clear()

    def _best_age_s(self, left_ms: int, price: float) -> float | None:
        """Return the age at which gain less price is highest, if it is above zero anywhere."""
        used_s = USED_SHARE * left_ms / 1000.0
        if left_ms not in self._shares:
            times = [used_s * step / STEPS for step in range(STEPS + 1)]
            self._shares[left_ms] = self._latency.shares_above(times)
        above = self._shares[left_ms]
        late = max(LEAST_LATE_SHARE, above[STEPS])
        best, best_age_s = 0.0, None
        for step in range(1, STEPS):
            value = late * (1.0 - above[STEPS - step]) - price * above[step]
            if value > best:
                best, best_age_s = value, used_s * step / STEPS
        return best_age_s
