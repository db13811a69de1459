"""Observed pace at which one tenant's waiting calls are taken at one back end.

Owns the smoothed pace; the queue reports each call taken.
"""

from __future__ import annotations

from dataclasses import dataclass

PACE_SMOOTHING = 0.05
"""Weight of one observation in the smoothed pace, after the first ones: the pace follows a change
within about twenty calls."""
PACE_MINIMUM_SAMPLES = 8
"""Observations required before the pace replaces the estimate from the back end's latency over its
limit."""
NEVER = -1.0
"""Sentinel for no time; monotonic seconds are not negative."""


@dataclass(slots=True, eq=False)
class ServicePace:
    """Smoothed time per unit of work of a tenant's waiting calls.

    :param seconds_per_work: smoothed pace; excludes times in which no calls waited.
    :param last_taken_at: when the last call was taken if more calls waited then, else ``NEVER``.
    """

    seconds_per_work: float = 0.0
    samples: int = 0
    last_taken_at: float = NEVER

    @property
    def is_known(self) -> bool:
        """Tell whether there are enough observations."""
        return self.samples >= PACE_MINIMUM_SAMPLES

    def observe(self, now: float, work: float, *, more_waiting: bool) -> None:
        """Record that a call was taken.

        :param more_waiting: whether the tenant has more calls waiting.
        """
        if self.last_taken_at != NEVER:
            sample = (now - self.last_taken_at) / work
            self.samples += 1
            weight = max(PACE_SMOOTHING, 1.0 / self.samples)
            self.seconds_per_work += weight * (sample - self.seconds_per_work)
        self.last_taken_at = now if more_waiting else NEVER
