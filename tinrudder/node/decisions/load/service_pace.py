"""How fast the waiting calls of one tenant are taken at one back end, by observation.

Owns the smoothed pace; relies on the queue to tell it of each call taken.
"""

from __future__ import annotations

from dataclasses import dataclass

PACE_SMOOTHING = 0.05
"""Weight of one observation in the pace once enough are known.  Chosen, not measured: it follows a
change within some twenty calls."""
PACE_MINIMUM_SAMPLES = 8
"""Observations before the pace is used in place of the back end's latency over its limit.  Chosen,
not measured."""
NEVER = -1.0
"""Stands for no time: monotonic seconds are not negative."""


@dataclass(slots=True, eq=False)
class ServicePace:
    """How fast a tenant's waiting calls are taken, by observation.

    :param seconds_per_work: smoothed; times in which nothing waited do not count.
    :param last_at: when a call was last taken while more waited, else ``NEVER``.
    """

    seconds_per_work: float = 0.0
    samples: int = 0
    last_at: float = NEVER

    @property
    def is_known(self) -> bool:
        """Tell whether enough was observed."""
        return self.samples >= PACE_MINIMUM_SAMPLES

    def observe(self, now: float, work: float, *, more: bool) -> None:
        """Learn that a call was taken.

        :param more: whether the tenant has more calls waiting.
        """
        if self.last_at != NEVER:
            sample = (now - self.last_at) / work
            self.samples += 1
            weight = max(PACE_SMOOTHING, 1.0 / self.samples)
            self.seconds_per_work += weight * (sample - self.seconds_per_work)
        self.last_at = now if more else NEVER
