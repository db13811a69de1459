"""The baseline of the overload bench: scatters are refused by chance, by the queues reported."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

from tinrudder.gateway.clients.client_deadlines import Deadlines
from tinrudder.gateway.decisions.admission.load_forecast import admission_share
from tinrudder.gateway.decisions.admission.retry_after import (
    HONOURED_SHARE,
    retry_after_by_place_s,
)
from tinrudder.gateway.decisions.admission.tenant_shares import TenantShares
from tinrudder.gateway.decisions.attempts.hedge_delay import MINIMUM_OBSERVATIONS
from tinrudder.gateway.model.configuration import Route
from tinrudder.gateway.model.outcomes import NotRun
from tinrudder.gateway.runs.call_context import CallContext

SPREAD_BY_CHANCE = 2.0
"""Callers come back between the moment told and this many times as late, a choice: refused by
chance, none has a moment of its own."""
QUANTILE = 0.75
"""Part of the shards whose wait is at most the query's, a choice: an answer may lack the slowest
shards, and hedges go round them."""


def wait_of_shards(waits_s: Sequence[float]) -> float:
    """Return the wait that most shards stay below, seconds; 0 when there is none.

    >>> wait_of_shards([0.0, 0.1, 0.2, 0.3])
    0.2
    """
    if not waits_s:
        return 0.0
    ordered = sorted(waits_s)
    return ordered[min(len(ordered) - 1, math.ceil(QUANTILE * len(ordered)) - 1)]


class Admission:
    """Judges requests by the queues that back ends report.

    Where not all can be served, tenants that ask for much are refused before those that ask for
    little: at seven times the others' requests and half of the room, one tenant gets 0.29 of what
    it asks for and the others all (see :mod:`tinrudder.gateway.decisions.admission.tenant_shares`).
    """

    def __init__(self, call_context: CallContext, random_source: random.Random) -> None:
        """Read the queues through ``forwarding``."""
        self._call_context = call_context
        self._random = random_source
        self._tenants = TenantShares()

    def refusal(
        self,
        route: Route,
        services: tuple[str, ...],
        deadlines: Deadlines,
        priority_steps: int,
        tenant: str = "",
    ) -> NotRun | None:
        """Refuse a request, with what decided it; ``None`` admits it.

        :param priority_steps: how many priorities in use are more urgent than the request's.
        :param tenant: on whose behalf it comes; empty for nobody's.
        """
        call_context = self._call_context
        now = deadlines.received_at
        if tenant:
            self._tenants.note(tenant, now)
        unloaded = call_context.unloaded_latency(route)
        if len(unloaded) < MINIMUM_OBSERVATIONS:
            return None
        usual_s = unloaded.quantile(0.5)
        waits = [self._wait_s(service, usual_s, now) for service in services]
        wait_s = wait_of_shards(waits)
        left_s = deadlines.objective_at - now
        share = admission_share(
            wait_s,
            usual_s,
            left_s,
            priority_steps=priority_steps,
            returning=deadlines.returning,
        )
        if tenant:
            share = self._tenants.share_of(tenant, share, now)
        if share >= 1.0 or self._random.random() < share:
            return None
        detail = f"overload: wait {wait_s:.3f} s, usual {usual_s:.3f} s, left {left_s:.3f} s"
        return NotRun(detail, self._retry_after_s(deadlines))

    def _wait_s(self, service: str, usual_s: float, now: float) -> float:
        """Return how long a call would wait at the least loaded back end of a service."""
        backends = self._call_context.directory.usable(service)
        return min((one.observations.wait_s(now, usual_s) for one in backends), default=0.0)

    def _retry_after_s(self, deadlines: Deadlines) -> float:
        """Return when a refused client should come back: as late as it does come back, spread.

        Reports of queues say who waits now, not when there will be room.
        """
        left_s = deadlines.deadline_at - deadlines.received_at
        room_in_s = left_s * HONOURED_SHARE / SPREAD_BY_CHANCE
        return retry_after_by_place_s(room_in_s, left_s, self._random.random(), SPREAD_BY_CHANCE)
