"""When should a caller that was refused for load come back?

It comes back when it would be served. Two cases. Where places are known (a scatter's queue, whose
pace is counted), each refused caller gets the moment of its own place. Where only the share that
is admitted is known (a service that all gateways call), whoever comes back during the burst takes
the place of one who comes anew, or is refused again: there the pause reaches beyond the queue of
now, as far as clients wait at all.

Inputs: the wait until there is room, or the wait for a slot with the share that is admitted (0 to
1), and the time that the caller has left; all times in seconds. A draw by chance, 0 to 1.

Answer: the pause, seconds, sent as Retry-After.

Owns: nothing; it is a function of its inputs.

Shown by: the Retry-After header of the answer; log line ``request`` with outcome and detail.

When an input is missing or old: a wait that is not known counts as 0.05 s, a share as 0.1 at
least.
"""

from __future__ import annotations

WAITED_SHARE = 1.0 / 3.0
"""Part of the time that they have left that clients wait at most, by the platform's protocol."""
HONOURED_SHARE = 0.9 * WAITED_SHARE
"""The same for a place that is kept for a caller. Chosen, not measured: the way there takes some
of the time."""
PLACE_SPREAD = 1.25
"""Callers come back between the moment told and this many times as late, a choice: each has a
moment of its own anyway, and what is told late is a place that stays empty."""
LEAST_S = 0.05
"""Shortest wait that is reckoned with, a choice: reports are replaced within this time."""
LEAST_SHARE = 0.1
"""Lowest share that is reckoned with, a choice: what is longer, clients do not wait."""
WAITS = 8.0
"""How many waits for a slot a burst lasts, a choice.  Of the clients of 15 s that were refused in
3 s of 1.4 and 2 times of what four back ends can do, 0.94 and 0.92 were served when they came
back; with 1 in place of this 0.54 and 0.42, with 4 0.83 and 0.82.  As many were in time."""
PAUSE_SPREAD = 0.5
"""Pauses are up to this part shorter or longer, a choice: who is refused at one moment must not
come back at one moment."""


def may_come_back(room_in_s: float, left_s: float) -> bool:
    """Tell whether a caller would wait for a moment.

    >>> may_come_back(0.4, 2.0), may_come_back(0.7, 2.0)
    (True, False)
    """
    return room_in_s * PLACE_SPREAD <= left_s * HONOURED_SHARE


def retry_after_by_place_s(
    room_in_s: float, left_s: float, draw: float, spread: float = PLACE_SPREAD
) -> float:
    """Return when to come back, seconds from now, where the moment of room is known.

    A moment beyond what callers wait for is told as it is: they need not come back.

    :param room_in_s: when there will be room for this caller, by what is known now.
    :param left_s: until its deadline.
    :param draw: by chance, 0 to 1, so that callers do not come back together.

    >>> retry_after_by_place_s(0.2, 2.0, draw=0.0), retry_after_by_place_s(0.2, 2.0, draw=1.0)
    (0.2, 0.25)
    >>> retry_after_by_place_s(0.9, 2.0, draw=1.0), retry_after_by_place_s(9.0, 2.0, draw=1.0)
    (1.125, 2.0)
    """
    return min(max(0.0, left_s), room_in_s * (1.0 + (spread - 1.0) * draw))


def retry_after_by_share_s(wait_s: float, share: float, left_s: float, draw: float) -> float:
    """Return when to come back, seconds from now, where the share that is admitted is known.

    It is the later, the longer the queue and the fewer are admitted.

    :param wait_s: how long a call would wait for a slot.
    :param share: which part of such requests is admitted now.
    :param left_s: how long the caller will wait in all.
    :param draw: by chance, 0 to 1, so that callers do not come back together.

    >>> retry_after_by_share_s(0.3, 0.8, 12.0, 0.5), retry_after_by_share_s(0.3, 0.8, 12.0, 1.0)
    (2.6666666666666665, 4.0)
    >>> retry_after_by_share_s(0.1, 1.0, 12.0, 0.5)
    0.8
    """
    longest_s = max(0.0, left_s) * WAITED_SHARE / (1.0 + PAUSE_SPREAD)
    pause_s = min(longest_s, WAITS * max(LEAST_S, wait_s) / max(LEAST_SHARE, share))
    return pause_s * (1.0 + PAUSE_SPREAD * (2.0 * draw - 1.0))
