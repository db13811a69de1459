"""Refuses requests that cannot succeed while paths to some zones are closed.

Owns a short-lived cache of reachable shard counts; relies on the zone monitor for closed paths and
on the directory for back ends.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct, field

from tinrudder.gateway.backends.backend_directory import BackendDirectory
from tinrudder.gateway.model.configuration import Route
from tinrudder.gateway.model.outcomes import NotRun
from tinrudder.gateway.peers.zone_monitor import ZoneMonitor

CACHE_TTL_S = 0.1
"""Seconds for which a count of reachable shards is cached; counting 135 shards takes 0.1 ms."""
RETRY_AFTER_S = 2.0
"""Seconds after which a refused client may retry: a load balancer that checks once a second takes
a gateway out after two failed checks."""


class _Reachable(Struct, frozen=True):
    """The share of a route's shards that is reachable, and when it was counted."""

    share: float
    counted_at: float


class Reachability(Struct):
    """Refuses requests at once that would otherwise wait until their deadline.

    :param clock: returns the time of the event loop.
    """

    directory: BackendDirectory
    zone_monitor: ZoneMonitor
    clock: Callable[[], float]
    _counted: dict[tuple[str, ...], _Reachable] = field(default_factory=dict)

    @property
    def is_partitioned(self) -> bool:
        """Return whether this gateway is partitioned from most of the fleet."""
        return self.zone_monitor.is_partitioned

    def refusal(self, route: Route) -> NotRun | None:
        """Return the refusal of a request for which too few shards, or no back end, are reachable.

        ``None`` if the request can be served.
        """
        closed = self.zone_monitor.paths.closed
        if not closed:
            self._counted.clear()
            return None
        if not route.shards:
            if any(self.directory.has_callable_backend(part.service) for part in route.services):
                return None
            return self._not_run("no back end is in reach", closed)
        share = self._share(route.shards)
        if share >= route.minimum_share and share > 0.0:
            return None
        return self._not_run(
            f"{share:.3f} of the shards are in reach, at least {route.minimum_share} are needed",
            closed,
        )

    def _not_run(self, detail: str, closed: tuple[str, ...]) -> NotRun:
        return NotRun(f"{detail}; out of reach: {' '.join(sorted(closed))}", RETRY_AFTER_S)

    def _share(self, shards: tuple[str, ...]) -> float:
        """Return the reachable share of a route's shards, from the cache if it is recent."""
        now = self.clock()
        known = self._counted.get(shards)
        if known is None or now - known.counted_at >= CACHE_TTL_S:
            reachable = sum(1 for service in shards if self.directory.has_callable_backend(service))
            known = _Reachable(reachable / len(shards), now)
            self._counted[shards] = known
        return known.share
