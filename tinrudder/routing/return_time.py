"""When a refused caller should come back."""

from __future__ import annotations

HONOURED_SHARE = 0.3
"""Part of the time that a caller has left after which it still comes back: those seen wait for up
to a third of it, and the way there takes some of that."""
SPREAD = 1.25
"""Callers come back between the moment told and this many times as late, a choice: each has a
moment of its own anyway, and what is told late is a place that stays empty."""
SPREAD_BY_CHANCE = 2.0
"""The same for callers that were refused by chance, by reports: none has a moment of its own."""


def may_come_back(room_in_s: float, left_s: float) -> bool:
    """Tell whether a caller would wait for a moment.

    >>> may_come_back(0.4, 2.0), may_come_back(0.7, 2.0)
    (True, False)
    """
    return room_in_s * SPREAD <= left_s * HONOURED_SHARE


def retry_after_s(room_in_s: float, left_s: float, draw: float, spread: float = SPREAD) -> float:
    """Return when to come back, seconds from now.

    A moment beyond what callers wait for is told as it is: they need not come back.

    :param room_in_s: when there will be room for this caller, by what is known now.
    :param left_s: until its deadline.
    :param draw: by chance, 0 to 1, so that callers do not come back together.

    >>> retry_after_s(0.2, 2.0, draw=0.0), retry_after_s(0.2, 2.0, draw=1.0)
    (0.2, 0.25)
    >>> retry_after_s(0.9, 2.0, draw=1.0), retry_after_s(9.0, 2.0, draw=1.0)
    (1.125, 2.0)
    """
    return min(max(0.0, left_s), room_in_s * (1.0 + (spread - 1.0) * draw))
