"""How much longer may a replica in the own zone take before one in another zone gets the call?

Bytes between zones are paid for; time within the objective is not. So the local replica is chosen
while it is expected to answer so much before the objective that a call hedged beside it would
still be in time. The longer calls take, the less room there is, and the zone yields. It also
yields to a local replica that has been slow: each of its calls would be hedged, so bytes would
cross all the same, and the budget of hedges would be gone when a replica stands still.

Inputs: the usual time of a call, the age at which one is hedged, and the objective, all in
seconds; a replica's expected latency in usual ones.

Answer: the advantage that a replica elsewhere must have, in usual latencies.

Owns: nothing; it is a function of its inputs.

Shown by: nothing by itself; the zone of a lost call shows in log line ``zone_path``.

When an input is missing or old: before latencies are known the usual time is guessed from the
objective.
"""

from __future__ import annotations

LEAST_ADVANTAGE = 0.35
"""What a replica elsewhere must be faster by in any case, in usual latencies: the longer path. The
mean worth of 13 simulated days on two sites was 0.7867 and 0.8541 with it, 0.7864 and 0.8537 with
0.15: no difference beyond noise."""
LARGEST_ADVANTAGE = 5.0
"""The most that a replica elsewhere must be faster by, in usual latencies. Chosen, not measured:
it must stay below ``STALLED_PENALTY``, since no zone is worth waiting for a replica that stands
still."""
ROOM_SHARE = 0.85
"""Part of the objective within which a hedged call must end, since answers also have to be merged.
On three simulated days the mean worth was 0.8417, with 1.0 in its place 0.8401."""
SLOW = 2.6
"""Expected latency of a replica, in usual ones, that a single stall does not bring about. On two
sites the mean worth of simulated days was 0.8678 and 0.9199, with 1.9 in its place 0.8679 and
0.9177, without the rule 0.8640 and 0.9193."""


def zone_advantage(usual_s: float, hedge_delay_s: float, objective_s: float) -> float:
    """Return by how many usual latencies a replica elsewhere must be expected sooner.

    :param usual_s: how long a call of the route usually takes.
    :param hedge_delay_s: after what time a call is hedged.
    :param objective_s: the time within which an answer is worth most.

    >>> round(zone_advantage(usual_s=0.04, hedge_delay_s=0.076, objective_s=0.18), 6)
    1.925
    >>> zone_advantage(usual_s=0.15, hedge_delay_s=0.11, objective_s=0.18)
    0.35
    """
    room_s = ROOM_SHARE * objective_s - hedge_delay_s
    return min(LARGEST_ADVANTAGE, max(LEAST_ADVANTAGE, room_s / usual_s))


def is_slow(expected_relative_latency: float) -> bool:
    """Tell whether calls to a replica would mostly be hedged.

    :param expected_relative_latency: without queues, in usual latencies.

    >>> is_slow(1.4), is_slow(3.2)
    (False, True)
    """
    return expected_relative_latency > SLOW
