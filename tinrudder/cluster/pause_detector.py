"""Notices that this process did not run for a while: stopped, swapped out, or its machine slept.

Compares both clocks across the gaps of the event loop: the monotonic clock may stand still while
a machine sleeps, and the calendar clock may be set back.  Whoever is about to act on something
that time may have taken away calls :meth:`PauseDetector.check` first, for after a pause its own
code can run before any timer does.
"""

from __future__ import annotations

from collections.abc import Callable

from tinrudder.timers import TimerHandle, Timers, WallClock

CHECK_INTERVAL_S = 0.25
"""Seconds between checks while nothing else asks: a quarter of the threshold."""
PAUSE_THRESHOLD_S = 1.0
"""Seconds between two checks that count as a pause.  Chosen, not measured: above what a busy event
loop is late, below the shortest time that others suspect a silent node (2 s)."""

PauseListener = Callable[[float], None]


class PauseDetector:
    """Raises an event when two checks lie further apart than the threshold.

    Cost: four timers a second.  A calendar clock that is set forward counts as a pause.

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
        """Begin now."""
        self._timers = timers
        self._wall_clock = wall_clock
        self._threshold_s = threshold_s
        self._monotonic = timers.time()
        self._wall = wall_clock()
        self._listeners: list[PauseListener] = []
        self._timer: TimerHandle | None = None

    def subscribe(self, listener: PauseListener) -> None:
        """Call ``listener`` with the length of every pause, seconds, in order of subscription."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Check regularly from now on."""
        self._monotonic = self._timers.time()
        self._wall = self._wall_clock()
        self._arm()

    def stop(self) -> None:
        """Stop checking."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def check(self) -> bool:
        """Return whether the process has just woken late; listeners are called first."""
        monotonic, wall = self._timers.time(), self._wall_clock()
        gap = max(monotonic - self._monotonic, wall - self._wall)
        self._monotonic, self._wall = monotonic, wall
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
