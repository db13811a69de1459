"""Did this process itself stand still for a while?

Then silence and cut connections are its own doing: what a process that was paused, or whose
machine was, left unread meanwhile, others cut off, and it would take that for their failure.

Inputs: the moments at which housekeeping noted that the process runs, monotonic seconds that count
suspensions.

Answer: whether it stood still at some time since a moment.

Owns: the latest note and the latest awakening.

Shown by: nothing by itself; connections that were cut during a pause are not held against back
ends or requests.

When an input is missing or old: before the first note it counts from the start of the process.
"""

from __future__ import annotations

LOOK_S = 1.0
"""How often the process notes that it runs, seconds. Chosen, not measured: housekeeping comes as
often, so that this costs nothing."""
STOOD_STILL_S = 0.5
"""How much later than due a note must be, a choice: a pause of 1.5 s is always found, and back ends
give an answer that is not read some seconds."""


class ProcessPause:
    """Remembers when the process was last seen running, and when it woke.

    >>> still = ProcessPause(0.0)
    >>> still.note(1.0)
    >>> still.covers(0.5, now=1.2), still.covers(0.5, now=4.0)
    (False, True)
    >>> still.note(4.0)
    >>> still.covers(0.5, now=4.1), still.covers(4.05, now=4.1)
    (True, False)
    """

    def __init__(self, now: float) -> None:
        """Begin to run."""
        self._noted_at = now
        self._woke_at = float("-inf")

    def note(self, now: float) -> None:
        """Note that the process runs; to be called every :data:`LOOK_S`."""
        if self._is_late(now):
            self._woke_at = now
        self._noted_at = now

    def covers(self, since: float, now: float) -> bool:
        """Tell whether the process stood still at some time since a moment.

        What woke it may be asked about before the next note.
        """
        return self._woke_at > since or self._is_late(now)

    def _is_late(self, now: float) -> bool:
        return now - self._noted_at >= LOOK_S + STOOD_STILL_S
