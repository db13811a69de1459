"""Exponential back-off for gateways that failed to serve a delegated scatter.

Owns the number of consecutive failures of each gateway; one success resets it.
"""

from __future__ import annotations

from msgspec import Struct, field

from tinrudder.common.address import Address

INITIAL_BACKOFF_S = 0.5
"""How long a gateway is avoided after its first failure, seconds: as long as a coordination is
cached, so that the next choice excludes the gateway."""
MAX_BACKOFF_S = 4.0
"""Longest back-off, seconds: eight times the first. A gateway that has recovered is asked again
within seconds, and one that has not costs one failed request in this time."""


class _Avoided(Struct):
    """The back-off of one gateway; ``until`` is a monotonic time in seconds."""

    failures: int
    until: float


class CoordinatorBackoff(Struct):
    """Exponential back-off for each gateway; times are monotonic, in seconds."""

    _avoided: dict[Address, _Avoided] = field(default_factory=dict)

    def failed(self, coordinator: Address, now: float) -> bool:
        """Start the back-off of a gateway; return ``False`` if it is already avoided.

        The back-off doubles with each consecutive failure.  Failures while the gateway is avoided
        do not count: scatters that were in flight together fail together.
        """
        avoided = self._avoided.setdefault(coordinator, _Avoided(0, 0.0))
        if avoided.until > now:
            return False
        avoided.until = now + min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**avoided.failures)
        avoided.failures += 1
        return True

    def succeeded(self, coordinator: Address) -> None:
        """Reset the gateway's failures."""
        self._avoided.pop(coordinator, None)

    def avoids(self, coordinator: Address, now: float) -> bool:
        """Return whether a gateway is in back-off."""
        avoided = self._avoided.get(coordinator)
        return avoided is not None and now < avoided.until
