"""Leaves gateways alone for a while after they failed to serve a delegated scatter.

Owns the failures in a row of each gateway; nothing else is known of it, so one success clears them.
"""

from __future__ import annotations

from msgspec import Struct, field

from tinrudder.common.address import Address

FIRST_AVOIDANCE_S = 0.5
"""How long a gateway is avoided after its first failure, seconds. Chosen, not measured: as long as
a coordination is kept, so that the next choice goes without it."""
LONGEST_AVOIDANCE_S = 4.0
"""How long at most, seconds. Chosen, not measured: eight times the first; a gateway that is back
is asked again within seconds, and one that stays away costs a failed request in so many."""


class _Avoided(Struct):
    """A gateway that failed; ``until`` is a monotonic time in seconds."""

    failures: int
    until: float


class CoordinatorBackoff(Struct):
    """Exponential back-off for each gateway; times are monotonic, in seconds."""

    _avoided: dict[Address, _Avoided] = field(default_factory=dict)

    def failed(self, coordinator: Address, now: float) -> bool:
        """Avoid a gateway, longer after every failure in a row; tell whether that is new.

        Scatters that were under way together fail together: while it is avoided, more count as one.
        """
        avoided = self._avoided.setdefault(coordinator, _Avoided(0, 0.0))
        if avoided.until > now:
            return False
        avoided.until = now + min(LONGEST_AVOIDANCE_S, FIRST_AVOIDANCE_S * 2**avoided.failures)
        avoided.failures += 1
        return True

    def succeeded(self, coordinator: Address) -> None:
        """Forget earlier failures."""
        self._avoided.pop(coordinator, None)

    def avoids(self, coordinator: Address, now: float) -> bool:
        """Tell whether a gateway is left alone now."""
        avoided = self._avoided.get(coordinator)
        return avoided is not None and now < avoided.until
