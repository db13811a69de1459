"""How much earlier than needed must another gateway answer, so that its answer arrives in time?

A gateway that needs an answer from a peer by a certain time has to request it for an earlier time,
because request and answer take time on the network and wait for processors on both sides. That time
is estimated from observations.

Inputs: the round-trip times of requests and answers, seconds, one value per answer.

Answer: the allowance, seconds: the mean plus four deviations.

Owns: mean and deviation of one kind of path, for the life of the process.

Shown by: log line ``coordinated`` with the field ``elapsed_ms``, beside that of ``request``.

When an input is missing or old: before the first observation the allowance is 8 ms; an old one is
kept, since new values come only with answers.
"""

from __future__ import annotations

from msgspec import Struct

INITIAL_MEAN_S = 0.004
"""Mean before the first observation, seconds: twice 1.4 ms between zones, and some processing at
both ends."""
INITIAL_DEVIATION_S = 0.001
"""Deviation before the first observation, seconds: with four deviations the first allowance is
twice the assumed mean."""
MEAN_GAIN = 0.125
"""Weight of a new value in the mean, that of TCP's retransmission timer (RFC 6298)."""
RISING_DEVIATION_GAIN = 0.25
"""Weight of a new value above the deviation, that of TCP's retransmission timer (RFC 6298)."""
FALLING_DEVIATION_GAIN = 0.125
"""Weight of a new value below the deviation. With that timer's 0.25, eight similar values in a row
made the allowance so small that up to 26 of the next 100 answers exceeded it, although all times
were within a fifth of the typical one; in 18 of 6,006 seeded runs more than 5 answers did. With
0.125, no run had more than one, and the allowance is on average 1.49 instead of 1.41 times the
typical time. With a lower weight, a single stall raises the allowance for too long."""
DEVIATIONS = 4.0
"""Deviations added to the mean, as in that timer. An answer that arrives too late loses nine tenths
of its value; one that is sent early lacks only a few shards."""
MAX_SAMPLE_S = 0.05
"""Upper bound on a single observation, seconds: longer ones are stalls of one gateway and do not
predict the next request."""


class PeerRoundTrip(Struct):
    """Mean and deviation of one kind of path, seconds.

    >>> path = PeerRoundTrip()
    >>> for _ in range(100):
    ...     path.observe(0.010)
    >>> 0.010 <= path.allowance_s < 0.011
    True
    """

    mean_s: float = INITIAL_MEAN_S
    deviation_s: float = INITIAL_DEVIATION_S

    @property
    def allowance_s(self) -> float:
        """Return how much earlier than needed an answer should be requested."""
        return self.mean_s + DEVIATIONS * self.deviation_s

    def observe(self, seconds: float) -> None:
        """Add the round-trip time of a request and its answer."""
        sample_s = min(MAX_SAMPLE_S, max(0.0, seconds))
        error_s = sample_s - self.mean_s
        self.mean_s += MEAN_GAIN * error_s
        change_s = abs(error_s) - self.deviation_s
        gain = RISING_DEVIATION_GAIN if change_s > 0.0 else FALLING_DEVIATION_GAIN
        self.deviation_s += gain * change_s
