"""Time as an argument: monotonic timers and the shared calendar clock.

``Timers.time`` is monotonic and local to one process; ``WallClock`` is the calendar clock that
validity windows refer to.  Both are in seconds.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

WallClock = Callable[[], float]


class TimerHandle(Protocol):
    """A timer that has been set."""

    def cancel(self) -> None:
        """Stop the timer; a no-op once it has fired."""


class Timers(Protocol):
    """Monotonic time and timers.  An asyncio event loop fits as it is."""

    def time(self) -> float:
        """Return monotonic seconds."""

    def call_at(self, when: float, callback: Callable[..., object], *args: object) -> TimerHandle:
        """Call ``callback(*args)`` at monotonic time ``when``."""
