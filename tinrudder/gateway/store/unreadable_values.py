"""Counts and logs stored values that cannot be decoded, with a limit on the log rate.

Owns the count and the limit on log lines. Relies on the shared state to report each value.
"""

from __future__ import annotations

from collections.abc import Callable

from tinrudder.common.logs import LogValue, log_problem

MAX_LINES = 5
"""Log lines in one window: enough to see whether a single entry or an entire writer is wrong."""
WINDOW_S = 10.0
"""Length of a window in seconds. A writer with another format writes an unreadable value for each
of its processes, again at every write."""
DETAIL_LENGTH = 300
"""Maximum characters of the detail: a key has at most 200 bytes, a value may have far more."""


class UnreadableValues:
    """Receives a description of each unreadable value, which includes its key.

    :ivar count: number of unreadable values so far.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Start with a count of zero."""
        self.count = 0
        self._clock = clock
        self._window_began = float("-inf")
        self._lines = 0

    def note(self, detail: str) -> None:
        """Count a value, and log it if the window's limit is not reached."""
        self.count += 1
        now = self._clock()
        if now - self._window_began >= WINDOW_S:
            self._window_began = now
            self._lines = 0
        self._lines += 1
        if self._lines <= MAX_LINES:
            fields: dict[str, LogValue] = {"detail": detail[:DETAIL_LENGTH], "count": self.count}
            log_problem("unreadable_value", fields)
