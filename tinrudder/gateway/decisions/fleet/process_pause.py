"""Was this process paused recently?

While a process or its machine is paused, it reads nothing, and the other sides close their
connections. Without this rule, the process would treat silence and closed connections during its
own pause as failures of others.

Inputs: the times at which housekeeping recorded that the process runs, in seconds of a monotonic
clock that includes suspensions.

Answer: whether the process was paused at any time since a given time.

Owns: the time of the latest record and the end of the latest pause.

Shown by: nothing of its own; connections that were closed during a pause do not count as failures
of back ends or requests.

When an input is missing or old: before the first record the start of the process counts as one.
"""

from __future__ import annotations

RECORD_INTERVAL_S = 1.0
"""Interval at which the process records that it runs, seconds: the interval of housekeeping, so
that it costs no extra timer."""
PAUSE_THRESHOLD_S = 0.5
"""Delay of a record beyond its interval that counts as a pause, seconds.  Pauses of 1.5 s or more
are always detected; back ends wait some seconds for an answer to be read."""


class ProcessPause:
    """Records when the process last ran, and when its latest pause ended.

    >>> pause = ProcessPause(0.0)
    >>> pause.note(1.0)
    >>> pause.covers(0.5, now=1.2), pause.covers(0.5, now=4.0)
    (False, True)
    >>> pause.note(4.0)
    >>> pause.covers(0.5, now=4.1), pause.covers(4.05, now=4.1)
    (True, False)
    """

    def __init__(self, now: float) -> None:
        """Take ``now`` as the first record."""
        self._recorded_at = now
        self._pause_ended_at = float("-inf")

    def note(self, now: float) -> None:
        """Record that the process runs; to be called every :data:`RECORD_INTERVAL_S`."""
        if self._is_overdue(now):
            self._pause_ended_at = now
        self._recorded_at = now

    def covers(self, since: float, now: float) -> bool:
        """Return whether the process was paused at any time after ``since``.

        Also detects a pause that has just ended, before the next call of :meth:`note`.
        """
        return self._pause_ended_at > since or self._is_overdue(now)

    def _is_overdue(self, now: float) -> bool:
        return now - self._recorded_at >= RECORD_INTERVAL_S + PAUSE_THRESHOLD_S
