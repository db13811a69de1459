"""How much faster must a replica in another zone be to get a call instead of a local one?

Traffic between zones costs money; time within the latency objective costs nothing. So a local
replica is preferred as long as it is expected to answer early enough for a hedge to still meet the
objective. The longer calls take, the less time remains for a hedge, and the smaller the preference.
Where a local replica has been slow, the preference is minimal: nearly all its calls would be
hedged, so traffic would cross zones anyway, and the hedge budget would be used up when a replica
stalls.

Inputs: the typical latency of a call, the hedge delay and the objective, all in seconds; a
replica's expected latency relative to the typical one.

Answer: by how much a remote replica must be faster, as a multiple of the typical latency.

Owns: nothing; it is a function of its inputs.

Shown by: nothing of its own; log line ``zone_path`` names the zone of a lost call.

When an input is missing or old: before latencies are known, the typical latency is estimated from
the objective.
"""

from __future__ import annotations

MIN_ADVANTAGE = 0.35
"""Minimum advantage of a remote replica, as a multiple of the typical latency: compensates for the
longer path.  The mean value of the answers of 13 simulated days on two sites was 0.7867 and 0.8541,
with 0.15 instead 0.7864 and 0.8537: no difference beyond noise."""
MAX_ADVANTAGE = 5.0
"""Maximum advantage that a remote replica needs, as a multiple of the typical latency.  Must stay
below ``STALLED_PENALTY``: a stalled local replica must not be preferred to a remote one."""
HEDGE_OBJECTIVE_SHARE = 0.85
"""Part of the objective within which a hedged call must end, since answers also have to be merged.
On three simulated days the mean value of the answers was 0.8417, with 1.0 instead 0.8401."""
SLOW_RELATIVE_LATENCY = 2.6
"""Expected latency above which a replica counts as slow, as a multiple of the typical latency; a
single stall does not reach it.  The mean value of the answers of simulated days on two sites was
0.8678 and 0.9199, with 1.9 instead 0.8679 and 0.9177, without the rule 0.8640 and 0.9193."""


def zone_advantage(typical_time_s: float, hedge_delay_s: float, objective_s: float) -> float:
    """Return by how much a remote replica must be faster, as a multiple of the typical latency.

    :param typical_time_s: typical latency of the route's calls.
    :param hedge_delay_s: age at which a call is hedged.
    :param objective_s: latency objective of the route.

    >>> round(zone_advantage(typical_time_s=0.04, hedge_delay_s=0.076, objective_s=0.18), 6)
    1.925
    >>> zone_advantage(typical_time_s=0.15, hedge_delay_s=0.11, objective_s=0.18)
    0.35
    """
    spare_s = HEDGE_OBJECTIVE_SHARE * objective_s - hedge_delay_s
    return min(MAX_ADVANTAGE, max(MIN_ADVANTAGE, spare_s / typical_time_s))


def is_slow(expected_relative_latency: float) -> bool:
    """Return whether most calls to a replica would be hedged.

    :param expected_relative_latency: without queueing, as a multiple of the typical latency.

    >>> is_slow(1.4), is_slow(3.2)
    (False, True)
    """
    return expected_relative_latency > SLOW_RELATIVE_LATENCY
