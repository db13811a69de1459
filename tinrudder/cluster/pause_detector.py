"""Detects that this process did not run for a while: stopped, swapped out, or its machine
suspended.

Owns the times of the last check. Compares both clocks between checks, since the monotonic clock may
stop while a machine is suspended, and the wall clock may be set back. After a pause, other code can
run before any timer fires, so code that is about to act on state that may have expired calls
:meth:`PauseDetector.check` first.
"""

from __future__ import annotations

from collections.abc import Callable

from tinrudder.timers import TimerHandle, Timers, WallClock

CHECK_INTERVAL_S = 0.25
"""Interval of the periodic checks, seconds: a quarter of the threshold."""
PAUSE_THRESHOLD_S = 1.0
"""Time between two checks above which it counts as a pause, seconds: above the lateness of a busy
event loop, below the shortest time after which others declare a silent suspect dead (2 s)."""

PauseListener = Callable[[float], None]


class PauseDetector:
    """Calls listeners when the time between two checks exceeds the threshold.

    Cost: four timers per second. A wall clock that is set forward counts as a pause.

    >>> now = [100.0]
    >>> class Clock:
    ...     def time(self): return now[0]
    ...     def call_at(self, when, callback, *args): return None
    >>> detector = PauseDetector(Clock(), lambda: now[0])
    >>> detector.subscribe(lambda gap: print(f"paused {gap:.0f} s"))
    >>> now[0] += 0.3
    >>> detector.check()
    False
    >>> now[0] += 30
    >>> detector.check()
    paused 30 s
    True
    """

    def __init__(
        self, timers: Timers, wall_clock: WallClock, threshold_s: float = PAUSE_THRESHOLD_S
    ) -> None:
        """Measure the first gap from now."""
        self._timers = timers
        self._wall_clock = wall_clock
        self._threshold_s = threshold_s
        self._last_monotonic = timers.time()
        self._last_wall = wall_clock()
        self._listeners: list[PauseListener] = []
        self._timer: TimerHandle | None = None

    def subscribe(self, listener: PauseListener) -> None:
        """Call ``listener`` with the length of every pause, seconds, in order of subscription."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Start periodic checks."""
        self._last_monotonic = self._timers.time()
        self._last_wall = self._wall_clock()
        self._arm()

    def stop(self) -> None:
        """Stop periodic checks."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def check(self) -> bool:
        """Tell whether the process was paused since the last check; call the listeners if so."""
        monotonic, wall = self._timers.time(), self._wall_clock()
        gap = max(monotonic - self._last_monotonic, wall - self._last_wall)
        self._last_monotonic, self._last_wall = monotonic, wall
        if gap <= self._threshold_s:
            return False
        for listener in self._listeners:
            listener(gap)
        return True

    def _arm(self) -> None:
        self._timer = self._timers.call_at(self._timers.time() + CHECK_INTERVAL_S, self._on_timer)

    def _on_timer(self) -> None:
        self.check()
        self._arm()
