"""Can a request still be answered in time beside the queue that is reported?

Refusing a request at once costs its caller a short pause; admitting one that cannot be in time
makes all others later. Between what is sure to be in time and what is hopeless the share falls
evenly: gateways see queues late, and all or nothing would make their load swing. It serves
requests that one back end runs; scatters wait in the scatter queue.

Inputs: the wait for a slot, the usual time of a call without a wait, and the time left until the
objective, all in seconds; how many more urgent priorities the back ends serve; whether the caller
was refused before.

Answer: the share of such requests to admit, 0 to 1.

Owns: nothing; it is a function of its inputs.

Shown by: log line ``request`` with a detail that begins with overload and names wait, share and
time left; metric ``tinrudder_gateway_refused``.

When an input is missing or old: a queue of which nothing is known counts as a wait of 0, so
everything is admitted.
"""

from __future__ import annotations

SURE_BELOW = 0.7
"""Expected time, as a part of the time left, below which all are admitted.  With 0.8 and 1.3 for
the two bounds a burst of 3 and 5 times the traffic kept 0.413 of its worth, with these 0.460;
measured with scatters refused by this rule."""
HOPELESS_ABOVE = 1.1
"""The same above which nobody is admitted; measured with :data:`SURE_BELOW`."""
LATER_PRIORITY_FACTOR = 1.1
"""How many times more a request's load counts for each more urgent priority, a choice: less urgent
ones are refused a little sooner, and none is shut out by its priority alone."""
RETURNING_FACTOR = 0.85
"""The same for a caller that was refused before, a choice: its next refusal may be its last try."""
USUAL_FACTOR = 1.8
"""Usual times without a queue that are kept free for the call itself, a choice: above the median,
since most calls, and not half of them, should be in."""
HARMLESS_WAIT = 0.5
"""Wait, in usual times of a call, up to which nobody is refused, a choice: by chance alone calls
wait so long where back ends are not full."""


def admission_share(
    wait_s: float, usual_s: float, left_s: float, *, priority_steps: int, returning: bool
) -> float:
    """Return which share of such requests to admit, 0 to 1.

    Between what is sure to be in time and what is hopeless the share falls evenly: gateways see
    queues late, and all or nothing would make their load swing.  A wait that is short beside the
    call itself is no overload, however short the objective.

    :param wait_s: how long a call waits for a slot.
    :param usual_s: how long a call usually takes without waiting.
    :param left_s: time until the objective.
    :param priority_steps: how many more urgent priorities the back ends serve too.
    :param returning: the caller was refused before and has come back.

    >>> admission_share(0.0, 0.04, 0.25, priority_steps=0, returning=False)
    1.0
    >>> admission_share(0.4, 0.04, 0.25, priority_steps=0, returning=False)
    0.0
    """
    if wait_s <= HARMLESS_WAIT * usual_s:
        return 1.0
    if left_s <= 0.0:
        return 0.0
    load = (wait_s + USUAL_FACTOR * usual_s) / left_s
    load *= LATER_PRIORITY_FACTOR**priority_steps
    if returning:
        load *= RETURNING_FACTOR
    share = (HOPELESS_ABOVE - load) / (HOPELESS_ABOVE - SURE_BELOW)
    return min(1.0, max(0.0, share))
