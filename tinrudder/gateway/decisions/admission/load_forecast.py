"""Can a request still be answered in time, given the reported queue?

Refusing a request at once delays only its caller, by a short pause; admitting one that cannot meet
its objective delays all others. Between "certainly in time" and "hopeless" the admitted share falls
linearly: gateways see queues with a delay, and an on/off decision would make the load oscillate.
This rule covers requests that one back end runs; scatters wait in the scatter queue.

Inputs: the wait for a slot, the typical time of a call without waiting, and the time left until the
objective, all in seconds; the number of more urgent priorities that the back ends serve; whether
the caller was refused before.

Answer: the share of such requests to admit, 0 to 1.

Owns: nothing; it is a function of its inputs.

Shown by: log line ``request`` with a detail that begins with overload and names wait, share and
time left; metric ``tinrudder_gateway_refused``.

When an input is missing or old: an unknown queue counts as a wait of 0, so everything is admitted.
"""

from __future__ import annotations

ADMIT_ALL_BELOW = 0.7
"""Expected time, as a fraction of the time left, below which all requests are admitted. In bursts
of 3 and 5 times the traffic, bounds of 0.8 and 1.3 kept 0.413 of the answers' value, these bounds
0.460; scatters were refused by this rule too."""
ADMIT_NONE_ABOVE = 1.1
"""Expected time, as a fraction of the time left, above which no request is admitted; see
:data:`ADMIT_ALL_BELOW`."""
PRIORITY_STEP_FACTOR = 1.1
"""Factor applied to a request's expected time for each more urgent priority: less urgent requests
are refused slightly earlier, but no request is refused because of its priority alone."""
RETURNING_FACTOR = 0.85
"""Factor applied to the expected time of a caller that was refused before: it may give up after
another refusal."""
SERVICE_TIME_FACTOR = 1.8
"""Time reserved for the call itself, in typical call times without a queue. Above the median,
because most calls should finish in time, not only half of them."""
NEGLIGIBLE_WAIT = 0.5
"""Wait, in typical call times, up to which nothing is refused: calls wait this long by chance even
where back ends are not full."""


def admission_share(
    wait_s: float, typical_time_s: float, left_s: float, *, priority_steps: int, returning: bool
) -> float:
    """Return the share of such requests to admit, 0 to 1.

    The share falls linearly between "certainly in time" and "hopeless": gateways see queues with a
    delay, and an on/off decision would make the load oscillate. A wait that is short compared with
    the call itself does not count as overload, even if the objective is short.

    :param wait_s: how long a call waits for a slot.
    :param typical_time_s: how long a call typically takes without waiting.
    :param left_s: time until the objective.
    :param priority_steps: number of more urgent priorities that the back ends also serve.
    :param returning: the caller was refused before and is retrying.

    >>> admission_share(0.0, 0.04, 0.25, priority_steps=0, returning=False)
    1.0
    >>> admission_share(0.4, 0.04, 0.25, priority_steps=0, returning=False)
    0.0
    """
    if wait_s <= NEGLIGIBLE_WAIT * typical_time_s:
        return 1.0
    if left_s <= 0.0:
        return 0.0
    load = (wait_s + SERVICE_TIME_FACTOR * typical_time_s) / left_s
    load *= PRIORITY_STEP_FACTOR**priority_steps
    if returning:
        load *= RETURNING_FACTOR
    share = (ADMIT_NONE_ABOVE - load) / (ADMIT_NONE_ABOVE - ADMIT_ALL_BELOW)
    return min(1.0, max(0.0, share))
