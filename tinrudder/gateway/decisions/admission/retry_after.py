"""When should a caller that was refused because of load retry?

It should retry when it will be served. There are two cases. Where queue positions are known (a
scatter queue, whose throughput is counted), each refused caller gets the time of its own position.
Where only the admitted share is known (a service that all gateways call), a caller that retries
during the burst displaces a new one or is refused again; the pause is therefore longer than the
current queue, up to the longest time that clients wait.

Inputs: the wait until there is room, or the wait for a slot with the admitted share (0 to 1), and
the time that the caller has left; all times in seconds. A random draw, 0 to 1.

Answer: the pause, seconds, sent as Retry-After.

Owns: nothing; it is a function of its inputs.

Shown by: the Retry-After header of the answer; log line ``request`` with outcome and detail.

When an input is missing or old: an unknown wait counts as 0.05 s, a share as at least 0.1.
"""

from __future__ import annotations

MAX_WAIT_SHARE = 1.0 / 3.0
"""Fraction of their remaining time that clients wait at most, by the platform's protocol."""
MAX_RESERVED_WAIT_SHARE = 0.9 * MAX_WAIT_SHARE
"""Fraction of its remaining time within which a caller's reserved position must come up; smaller
than :data:`MAX_WAIT_SHARE`, since the network round trip takes some of the time."""
POSITION_JITTER = 1.25
"""Jitter: the announced time is up to this many times the expected one. Small, because each caller
has its own time anyway, and a position whose caller retries late stays empty."""
MIN_WAIT_S = 0.05
"""Shortest wait used in the calculation, seconds: reports are replaced within this time."""
MIN_ADMITTED_SHARE = 0.1
"""Lowest admitted share used in the calculation: clients do not wait for the longer pauses that a
lower one would give."""
BURST_WAITS = 8.0
"""Assumed length of a burst, in waits for a slot. Of the clients with 15 s left that were refused
during 3 s of load at 1.4 and 2 times the capacity of four back ends, 0.94 and 0.92 were served when
they retried; 0.54 and 0.42 with a factor of 1, and 0.83 and 0.82 with 4. The number served in time
was the same."""
PAUSE_JITTER = 0.5
"""Jitter: pauses are shortened or lengthened by up to this fraction, so that callers refused
together do not retry together."""


def is_retry_in_time(room_in_s: float, left_s: float) -> bool:
    """Return whether a caller would wait until room is expected.

    >>> is_retry_in_time(0.4, 2.0), is_retry_in_time(0.7, 2.0)
    (True, False)
    """
    return room_in_s * POSITION_JITTER <= left_s * MAX_RESERVED_WAIT_SHARE


def retry_after_by_position_s(
    room_in_s: float, left_s: float, draw: float, spread: float = POSITION_JITTER
) -> float:
    """Return when to retry, seconds from now, if the time at which there is room is known.

    A time longer than callers wait is returned unchanged: they need not retry.

    :param room_in_s: expected time until there is room for this caller.
    :param left_s: time until its deadline.
    :param draw: random number, 0 to 1, so that callers do not retry at the same time.

    >>> retry_after_by_position_s(0.2, 2.0, draw=0.0), retry_after_by_position_s(0.2, 2.0, draw=1.0)
    (0.2, 0.25)
    >>> retry_after_by_position_s(0.9, 2.0, draw=1.0), retry_after_by_position_s(9.0, 2.0, draw=1.0)
    (1.125, 2.0)
    """
    return min(max(0.0, left_s), room_in_s * (1.0 + (spread - 1.0) * draw))


def retry_after_by_share_s(wait_s: float, share: float, left_s: float, draw: float) -> float:
    """Return when to retry, seconds from now, if the admitted share is known.

    The pause grows with the queue and shrinks with the admitted share.

    :param wait_s: how long a call would wait for a slot.
    :param share: fraction of such requests that is admitted now.
    :param left_s: how long the caller will wait in all.
    :param draw: random number, 0 to 1, so that callers do not retry at the same time.

    >>> retry_after_by_share_s(0.3, 0.8, 12.0, 0.5), retry_after_by_share_s(0.3, 0.8, 12.0, 1.0)
    (2.6666666666666665, 4.0)
    >>> retry_after_by_share_s(0.1, 1.0, 12.0, 0.5)
    0.8
    """
    longest_s = max(0.0, left_s) * MAX_WAIT_SHARE / (1.0 + PAUSE_JITTER)
    pause_s = min(longest_s, BURST_WAITS * max(MIN_WAIT_S, wait_s) / max(MIN_ADMITTED_SHARE, share))
    return pause_s * (1.0 + PAUSE_JITTER * (2.0 * draw - 1.0))
