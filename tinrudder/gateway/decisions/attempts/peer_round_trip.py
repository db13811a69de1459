"""How much earlier must another gateway answer, so that its answer is here in time?

A gateway that asks another one for an answer by some moment has to name an earlier one: the
request travels, the answer travels, and both wait for processors. That time is observed, not
assumed.

Inputs: how long requests and answers were under way, seconds, one value an answer.

Answer: the allowance, seconds: the mean and four deviations.

Owns: mean and deviation of one kind of path, for the life of the process.

Shown by: log line ``coordinated`` with the field ``elapsed_ms``, beside that of ``request``.

When an input is missing or old: before anything was seen the allowance is 8 ms; an old one is
kept, since values come only with answers.
"""

from __future__ import annotations

from msgspec import Struct

ASSUMED_S = 0.004
"""Mean before anything is seen, seconds. Chosen, not measured: twice 1.4 ms between zones, and a
little work at both ends."""
ASSUMED_DEVIATION_S = 0.001
"""The same of the deviation, seconds. Chosen, not measured: with four deviations the first
allowance is twice the assumed mean."""
GAIN = 0.125
"""Weight of a new value in the mean, that of TCP's retransmission timer (RFC 6298)."""
RISING_DEVIATION_GAIN = 0.25
"""Weight of a new value above the deviation, that of TCP's retransmission timer (RFC 6298)."""
FALLING_DEVIATION_GAIN = 0.125
"""Weight of one below it.  With that timer's 0.25, eight like values by chance led to an allowance
that up to 26 of the next 100 answers exceeded, where all differ by a fifth at most; 18 of 6,006
seeded runs had over 5 such answers.  With 0.125 none had over one, and the allowance is 1.49
instead of 1.41 times what is usual, in the mean.  Lower ones remember a single stall too long."""
DEVIATIONS = 4.0
"""Deviations on top of the mean, as in that timer. An answer that comes too late loses nine tenths
of its worth, one that leaves early a few parts."""
LONGEST_SEEN_S = 0.05
"""The most that one value counts, seconds. Chosen, not measured: longer ones are stalls of one
gateway and say nothing of the next request."""


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
        change_s = abs(error_s) - self.deviation_s
        gain = RISING_DEVIATION_GAIN if change_s > 0.0 else FALLING_DEVIATION_GAIN
        self.deviation_s += gain * change_s
