"""When a caller that was refused for load should come back, so that it is served then.

The load answered: more is asked than can be done, for seconds.  Whoever comes back meanwhile takes
the place of one who comes anew, or is refused again: nothing is gained for anybody.  So the pause
reaches beyond the queue of now, as far as clients wait at all.
"""

from __future__ import annotations

HONOURED_SHARE = 1.0 / 3.0
"""Part of the time that they have left that clients wait at most, by the platform's protocol."""
LEAST_S = 0.05
"""Shortest wait that is reckoned with, a choice: reports are replaced within this time."""
LEAST_SHARE = 0.1
"""Lowest share that is reckoned with, a choice: what is longer, clients do not wait."""
WAITS = 8.0
"""How many waits for a slot a burst lasts, a choice.  Of the clients of 15 s that were refused in
3 s of 1.4 and 2 times of what four back ends can do, 0.94 and 0.92 were served when they came
back; with 1 in place of this 0.54 and 0.42, with 4 0.83 and 0.82.  As many were in time."""
SPREAD = 0.5
"""Pauses are up to this part shorter or longer, a choice: who is refused at one moment must not
come back at one moment."""


def return_after_s(wait_s: float, share: float, left_s: float, chance: float) -> float:
    """Return the pause, seconds: longer, the longer the queue and the fewer are admitted.

    :param wait_s: how long a call would wait for a slot.
    :param share: which part of such requests is admitted now.
    :param left_s: how long the caller will wait in all.
    :param chance: an even random number from 0 to 1.

    >>> return_after_s(0.3, 0.8, 12.0, 0.5), return_after_s(0.3, 0.8, 12.0, 1.0)
    (2.6666666666666665, 4.0)
    >>> return_after_s(0.1, 1.0, 12.0, 0.5)
    0.8
    """
    longest_s = max(0.0, left_s) * HONOURED_SHARE / (1.0 + SPREAD)
    pause_s = min(longest_s, WAITS * max(LEAST_S, wait_s) / max(LEAST_SHARE, share))
    return pause_s * (1.0 + SPREAD * (2.0 * chance - 1.0))
