"""Interfaces for time: monotonic timers and the shared wall clock.

``Timers.time`` is monotonic and local to one process; ``WallClock`` is the calendar clock that
validity windows refer to. Both are in seconds.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

WallClock = Callable[[], float]


class TimerHandle(Protocol):
    """A scheduled timer."""

    def cancel(self) -> None:
        """Cancel the timer; a no-op once it has fired."""


class Timers(Protocol):
    """Monotonic time and timers. An asyncio event loop implements this interface."""

    def time(self) -> float:
        """Return the monotonic time, seconds."""

    def call_at(self, when: float, callback: Callable[..., object], *args: object) -> TimerHandle:
        """Call ``callback(*args)`` at monotonic time ``when``, seconds."""
