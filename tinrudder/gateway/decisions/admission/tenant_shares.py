"""Whose requests are refused when only a part can be served?

Max-min fairness: while there is room for a part of what is asked, everybody gets the same, and
whoever asks for less than that gets all of it; what one leaves goes to the others.

Inputs: the tenants' requests at this gateway, counted with a memory of seconds; the share of all
requests that can be admitted, 0 to 1.

Answer: the part of one tenant's requests to admit, 0 to 1.

Owns: what each tenant asked lately; one that asks nothing is forgotten after some 18 s, when
shares are next worked out.

Shown by: log line ``request`` with a detail that names the share, and the field ``tenant``.

When an input is missing or old: a tenant that has not asked before gets all that it asks for.
"""

from __future__ import annotations

import math

from msgspec import Struct, field

MEMORY_S = 2.0
"""How fast what was asked is forgotten, seconds for a factor of e. Chosen, not measured: longer
than the pauses of a tenant that asks once a second, shorter than the time in which one turns hot
and calms down."""
LEAST_ASKED = 0.01
"""Below this much, in requests, a tenant is forgotten. Chosen, not measured: nine times
:data:`MEMORY_S` after one request."""


class _Asked(Struct):
    """What one tenant asked lately, in requests, as of a moment."""

    amount: float
    at: float

    def now(self, now: float) -> float:
        return self.amount * math.exp(-(now - self.at) / MEMORY_S)


class TenantShares(Struct):
    """Counts what tenants ask of one gateway, and divides what it can serve among them."""

    _asked: dict[str, _Asked] = field(default_factory=dict)

    def note(self, tenant: str, now: float) -> None:
        """Count one request."""
        asked = self._asked.get(tenant)
        if asked is None:
            self._asked[tenant] = _Asked(1.0, now)
            return
        asked.amount = asked.now(now) + 1.0
        asked.at = now

    def share_of(self, tenant: str, share: float, now: float) -> float:
        """Return which part of a tenant's requests to admit.

        :param share: the part of all requests that can be admitted.
        """
        if share <= 0.0 or share >= 1.0:
            return share
        asked = {name: one.now(now) for name, one in self._asked.items()}
        self._asked = {name: self._asked[name] for name, a in asked.items() if a >= LEAST_ASKED}
        own = asked.get(tenant, 0.0)
        if own <= 0.0:
            return 1.0
        return min(1.0, fair_level(list(asked.values()), share) / own)


def fair_level(asked: list[float], share: float) -> float:
    """Return what each of several may get at most when a share of all that is asked is given.

    >>> fair_level([7.0, 1.0, 1.0, 1.0], share=0.5)
    2.0
    >>> fair_level([4.0, 4.0], share=0.5)
    2.0
    """
    left = share * sum(asked)
    waiting = sorted(asked)
    for place, amount in enumerate(waiting):
        level = left / (len(waiting) - place)
        if amount >= level:
            return level
        left -= amount
    return waiting[-1] if waiting else 0.0
