"""Computes when a call is overdue and when to send a hedge.

Owns no state.  The hedge time depends on the distribution of the route's latencies
(:mod:`tinrudder.gateway.decisions.attempts.hedge_gain`); until enough calls were seen, on their
median (:mod:`tinrudder.gateway.decisions.attempts.hedge_delay`).
"""

from __future__ import annotations

from msgspec import Struct

from tinrudder.common.latency_window import LatencyWindow
from tinrudder.gateway.decisions.attempts.hedge_delay import hedge_delay_s
from tinrudder.gateway.runs.run_context import NEVER, RunContext


class HedgeTimes(Struct, frozen=True):
    """Times for the latest call of a shard, by the loop's clock, seconds.

    :param overdue_at: when the call has taken longer than most calls, so that the network path to
        its zone becomes suspect.
    :param hedge_at: when a hedge is worth sending.
    """

    overdue_at: float = NEVER
    hedge_at: float = NEVER


def hedge_times(
    run: RunContext, latency: LatencyWindow, budget_fill: float, now: float
) -> HedgeTimes:
    """Return the times for a call that is sent now.

    :param latency: latencies of the route's calls.
    :param budget_fill: remaining share of the retry budget, 0 to 1.
    """
    overdue_at = now + hedge_delay_s(latency, run.route.objective_s, budget_fill)
    return HedgeTimes(overdue_at, _hedge_at(run, budget_fill, overdue_at, now))


def _hedge_at(run: RunContext, budget_fill: float, overdue_at: float, now: float) -> float:
    """Return when a hedge is worth sending for a call that is sent now."""
    objective_at = run.deadlines.objective_at
    left_s = objective_at - now
    ages = run.call_context.hedge_ages(run.route)
    if left_s <= 0.0 or not ages.is_known:
        return overdue_at
    age_s = ages.age_s(left_s, budget_fill)
    if age_s is not None:
        # The latencies do not yet reflect a back end that has just stopped answering.
        return min(overdue_at, now + age_s)
    # No hedge would meet the objective.  If the answer is still missing then, a hedge can help
    # to meet the deadline.
    return max(overdue_at, objective_at)
