"""Chooses the back end for a call.

The inputs are the expected cost of each back end in typical latencies (observed latency, plus
queues that it or other gateways reported), the zone of this gateway, and the typical latency of the
route in seconds.  Back ends of the own zone are preferred as far as the latency objective allows
(:mod:`tinrudder.gateway.decisions.placement.zone_preference`), since traffic between zones costs
money.  For a single service, to which each of many gateways sends few calls, two back ends are
sampled and the one with the lower expected cost is taken
(:func:`tinrudder.gateway.decisions.admission.shared_service.draw_candidates`).

Owns no state: the advantage of the own zone is cached in the call context, since it is the same for
all shards that a scatter calls at once.
"""

from __future__ import annotations

from collections.abc import Sequence

from tinrudder.common.rendezvous import rendezvous_score
from tinrudder.gateway.backends.backend import Backend
from tinrudder.gateway.decisions.admission.shared_service import (
    draw_candidates,
    extra_cost,
    min_service_time_s,
)
from tinrudder.gateway.decisions.attempts.hedge_delay import hedge_delay_s, typical_latency_s
from tinrudder.gateway.decisions.placement.zone_preference import (
    MIN_ADVANTAGE,
    is_slow,
    zone_advantage,
)
from tinrudder.gateway.model.configuration import Route
from tinrudder.gateway.runs.call_context import CallContext, ZoneAdvantage


def choose_replica(
    call_context: CallContext, candidates: Sequence[Backend], route: Route, now: float
) -> Backend:
    """Return the back end with the lowest expected cost, with a preference for the own zone.

    :param candidates: at least one.
    """
    if len(candidates) == 1:
        return candidates[0]
    if not route.shards:
        return _choose_single(call_context, candidates, route, now)
    advantage = _zone_advantage(call_context, candidates, route, now)

    def cost(backend: Backend) -> float:
        local = backend.entry.zone == call_context.zone
        return backend.observations.cost(now) + (0.0 if local else advantage)

    return min(candidates, key=cost)


def _choose_single(
    call_context: CallContext, candidates: Sequence[Backend], route: Route, now: float
) -> Backend:
    """Return a back end of a service to which each of many gateways sends few calls.

    Most gateways have no observations of any back end.  If ties went to the first back end, it
    would get the calls of all gateways: at half the capacity of four back ends, a share of 0.02 of
    the arrivals was shed.
    """
    advantage = _zone_advantage(call_context, candidates, route, now)
    sampled = draw_candidates(candidates, lambda one: one.observations, now, call_context.random)
    fastest_s = 0.0
    if sampled is not candidates:
        fastest_s = min_service_time_s([one.observations for one in candidates])

    def cost(backend: Backend) -> tuple[float, int]:
        local = backend.entry.zone == call_context.zone
        cost = backend.observations.cost(now) + (0.0 if local else advantage)
        cost += extra_cost(backend.observations, fastest_s, now)
        return cost, -rendezvous_score(call_context.own_name, backend.backend_id)

    return min(sampled, key=cost)


def _zone_advantage(
    call_context: CallContext, candidates: Sequence[Backend], route: Route, now: float
) -> float:
    """Return by how much a back end of another zone must be faster, in typical latencies."""
    for backend in candidates:
        local = backend.entry.zone == call_context.zone
        if local and is_slow(backend.observations.expected_relative_latency(now)):
            return MIN_ADVANTAGE
    latest = call_context.latest_advantage
    if latest is None or latest.at != now or latest.route is not route:
        latency = call_context.latency(route)
        typical_time_s = typical_latency_s(latency, route.objective_s)
        hedged_s = hedge_delay_s(latency, route.objective_s, budget_fill=1.0)
        advantage = zone_advantage(typical_time_s, hedged_s, route.objective_s)
        latest = ZoneAdvantage(route, now, advantage)
        call_context.latest_advantage = latest
    return latest.advantage
