"""When a call is overdue, and when another one is sent beside it.

Owns no state.  Relies on the latencies of the route: on their distribution
(:mod:`tinrudder.gateway.decisions.attempts.hedge_gain`) once enough calls were seen, before on
their median (:mod:`tinrudder.gateway.decisions.attempts.hedge_delay`).
"""

from __future__ import annotations

from msgspec import Struct

from tinrudder.common.latency_window import LatencyWindow
from tinrudder.gateway.decisions.attempts.hedge_delay import hedge_delay_s
from tinrudder.gateway.runs.run_context import NEVER, RunContext


class HedgeTimes(Struct, frozen=True):
    """Times of the loop's clock for the call of a shard that was sent last, seconds.

    :param overdue_at: when it is later than most, which says something of the way to it.
    :param hedge_at: when another call is worth sending beside it.
    """

    overdue_at: float = NEVER
    hedge_at: float = NEVER


def hedge_times(
    run: RunContext, latency: LatencyWindow, budget_fill: float, now: float
) -> HedgeTimes:
    """Return the times of a call that is sent now.

    :param latency: of the calls of the run's route.
    :param budget_fill: how much of the budget of repeats is left, 0 to 1.
    """
    overdue_at = now + hedge_delay_s(latency, run.route.objective_s, budget_fill)
    return HedgeTimes(overdue_at, _hedge_at(run, budget_fill, overdue_at, now))


def _hedge_at(run: RunContext, budget_fill: float, overdue_at: float, now: float) -> float:
    """Return when another call is worth sending beside one that is sent now."""
    objective_at = run.deadlines.objective_at
    left_s = objective_at - now
    ages = run.call_context.hedge_ages(run.route)
    if left_s <= 0.0 or not ages.is_known:
        return overdue_at
    age_s = ages.age_s(left_s, budget_fill)
    if age_s is not None:
        # Latencies know nothing yet of back ends that vanished a moment ago.
        return min(overdue_at, now + age_s)
    # None would be in time; what is lacking when the answer should leave is still needed.
    return max(overdue_at, objective_at)
