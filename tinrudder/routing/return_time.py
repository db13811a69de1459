"""When a refused caller should come back."""

from __future__ import annotations

HONOURED_SHARE = 0.3
"""Part of the time that a caller has left after which it still comes back: those seen wait for up
to a third of it, and the way there takes some of that."""
SPREAD = 2.0
"""Callers refused together come back between the moment told and this many times as late, a
choice: a second refusal costs a round trip, a wait that is twice as long as needed costs no more
than the third of the time that they give for it."""


def retry_after_s(room_in_s: float, left_s: float, draw: float) -> float:
    """Return when to come back, seconds from now.

    :param room_in_s: when there will be room for this caller, by what is known now.
    :param left_s: until its deadline.
    :param draw: by chance, 0 to 1, so that callers do not come back together.

    >>> retry_after_s(0.1, 2.0, draw=0.0), retry_after_s(0.1, 2.0, draw=1.0)
    (0.1, 0.2)
    >>> retry_after_s(9.0, 2.0, draw=0.0), retry_after_s(9.0, 2.0, draw=1.0)
    (0.3, 0.6)
    """
    latest_s = max(0.0, left_s) * HONOURED_SHARE
    earliest_s = min(max(0.0, room_in_s), latest_s / SPREAD)
    return earliest_s * (1.0 + (SPREAD - 1.0) * draw)
