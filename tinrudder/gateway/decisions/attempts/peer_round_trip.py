"""How long a request and its answer are under way between two gateways.

A gateway that asks another one for an answer by some moment has to name an earlier one: the request
travels, the answer travels, and both wait for processors.  That time is observed, not assumed.
"""

from __future__ import annotations

from msgspec import Struct

ASSUMED_S = 0.004
"""Before anything is seen: twice 1.4 ms between zones, and a little work at both ends."""
ASSUMED_DEVIATION_S = 0.001
GAIN = 0.125
"""Weights of a new value in the mean and in the deviation, those of TCP's retransmission timer."""
DEVIATION_GAIN = 0.25
DEVIATIONS = 4.0
"""Also from that timer.  An answer that comes too late loses nine tenths of its worth, one that
leaves early a few parts."""
LONGEST_SEEN_S = 0.05
"""Longer ones are stalls of one gateway and say nothing of the next request."""


class PeerRoundTrip(Struct):
    """Mean and deviation of one kind of path, seconds.

    >>> path = PeerRoundTrip()
    >>> for _ in range(100):
    ...     path.observe(0.010)
    >>> 0.010 <= path.allowance_s < 0.011
    True
    """

    mean_s: float = ASSUMED_S
    deviation_s: float = ASSUMED_DEVIATION_S

    @property
    def allowance_s(self) -> float:
        """Return how much earlier than needed an answer should be asked for."""
        return self.mean_s + DEVIATIONS * self.deviation_s

    def observe(self, seconds: float) -> None:
        """Take the time that a request and its answer were under way."""
        seen_s = min(LONGEST_SEEN_S, max(0.0, seconds))
        error_s = seen_s - self.mean_s
        self.mean_s += GAIN * error_s
        self.deviation_s += DEVIATION_GAIN * (abs(error_s) - self.deviation_s)
