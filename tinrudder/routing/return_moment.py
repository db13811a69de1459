"""When a caller that was refused for load should come back, so that it is served then.

The load answered: more is asked than can be done, for seconds.  Whoever comes back meets those who
come anew.  A pause as long as the queue is right where a little too much is asked.  Where a few of
many can be served, as many would come back in that time again and again.
"""

from __future__ import annotations

HONOURED_SHARE = 1.0 / 3.0
"""Part of the time that they have left that clients wait at most, by the platform's protocol."""
LEAST_S = 0.05
"""Shortest pause, a choice: by then reports of the moment of the refusal have been replaced."""
LEAST_SHARE = 0.1
"""Lowest share that is reckoned with, a choice: pauses of ten waits reach beyond most bursts."""
SPREAD = 0.5
"""Pauses are up to this part shorter or longer, a choice: who is refused at one moment must not
come back at one moment."""


def return_after_s(wait_s: float, share: float, left_s: float, chance: float) -> float:
    """Return the pause, seconds: the wait, as often as a request is refused before it is admitted.

    :param wait_s: how long a call would wait for a slot.
    :param share: which part of such requests is admitted now.
    :param left_s: how long the caller will wait in all.
    :param chance: an even random number from 0 to 1.

    >>> return_after_s(0.3, 1.0, 10.0, 0.5)
    0.3
    >>> return_after_s(0.3, 0.0, 6.0, 1.0)
    2.0
    """
    longest_s = max(0.0, left_s) * HONOURED_SHARE / (1.0 + SPREAD)
    pause_s = min(longest_s, max(LEAST_S, wait_s) / max(LEAST_SHARE, share))
    return pause_s * (1.0 + SPREAD * (2.0 * chance - 1.0))
