"""Which tenants' requests are refused when only some of all requests can be served?

Max-min fairness: when demand exceeds capacity, every tenant has the same limit; a tenant that asks
for less gets all of it, and what it leaves is divided among the others.

Inputs: the tenants' requests at this gateway, counted with exponential decay over seconds; the
share of all requests that can be admitted, 0 to 1.

Answer: the share of one tenant's requests to admit, 0 to 1.

Owns: each tenant's recent request count; an idle tenant is evicted after some 18 s, when shares are
next computed.

Shown by: log line ``request`` with a detail that names the share, and the field ``tenant``.

When an input is missing or old: a tenant without earlier requests gets all that it asks for.
"""

from __future__ import annotations

import math

from msgspec import Struct, field

DECAY_TIME_S = 2.0
"""Time constant of the request counts' exponential decay, seconds: longer than the pauses of a
tenant that sends one request a second, shorter than the time in which a tenant's load rises and
falls again."""
MIN_TRACKED_REQUESTS = 0.01
"""Count, in requests, below which a tenant is evicted: reached nine times :data:`DECAY_TIME_S`
after a single request."""


class _DecayingCount(Struct):
    """A decaying count of one tenant's requests, as of a point in time."""

    amount: float
    at: float

    def now(self, now: float) -> float:
        return self.amount * math.exp(-(now - self.at) / DECAY_TIME_S)


class TenantShares(Struct):
    """Counts the tenants' requests at one gateway and divides its capacity among them."""

    _demand: dict[str, _DecayingCount] = field(default_factory=dict)

    def note(self, tenant: str, now: float) -> None:
        """Count one request."""
        demand = self._demand.get(tenant)
        if demand is None:
            self._demand[tenant] = _DecayingCount(1.0, now)
            return
        demand.amount = demand.now(now) + 1.0
        demand.at = now

    def share_of(self, tenant: str, share: float, now: float) -> float:
        """Return the share of a tenant's requests to admit.

        :param share: share of all requests that can be admitted.
        """
        if share <= 0.0 or share >= 1.0:
            return share
        demand = {name: one.now(now) for name, one in self._demand.items()}
        self._demand = {
            name: self._demand[name]
            for name, amount in demand.items()
            if amount >= MIN_TRACKED_REQUESTS
        }
        own = demand.get(tenant, 0.0)
        if own <= 0.0:
            return 1.0
        return min(1.0, fair_limit(list(demand.values()), share) / own)


def fair_limit(demand: list[float], share: float) -> float:
    """Return the max-min fair limit per tenant when a share of all demand is served.

    >>> fair_limit([7.0, 1.0, 1.0, 1.0], share=0.5)
    2.0
    >>> fair_limit([4.0, 4.0], share=0.5)
    2.0
    """
    left = share * sum(demand)
    ascending = sorted(demand)
    for place, amount in enumerate(ascending):
        limit = left / (len(ascending) - place)
        if amount >= limit:
            return limit
        left -= amount
    return ascending[-1] if ascending else 0.0
