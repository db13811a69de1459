"""Whether and when a call of a shard is tried again after one has failed.

Asked when a call has ended without an answer and no other one of the shard runs.  Inputs are counts
of this request at this shard and what the route allows; the answer is a pause in seconds.  Pure: it
owns no state and reads no clock.  Whether the budget pays for the retry is asked when it is due.
"""

from __future__ import annotations

from msgspec import Struct

MAX_SENDS = 4
"""How many calls of one shard may leave for one request.  Chosen, not measured: two replicas, each
twice."""
MAX_TRIES = 8
"""How often a back end is chosen for one shard, calls that never left included.  Chosen, not
measured: with the pauses of :data:`RETRY_PAUSE_S`, tries end after 0.8 s."""
TRIES_AT_ONCE = 2
"""Tries, or back ends chosen, up to which the next try follows without a pause.  Chosen, not
measured: most shards have two replicas, and the other one may well answer."""
RETRY_PAUSE_S = 0.03
"""Pause before a later try, seconds, times the tries so far.  Chosen, not measured: eight tries
take 0.8 s."""
AT_ONCE = 0.0
"""No pause, seconds."""


class ShardTries(Struct, frozen=True):
    """What one request has tried at one shard.

    :param tries: how often a back end was chosen, at least 1.
    :param sends: calls that have left.
    :param may_have_run: a back end may have run the request.
    :param repeatable: the route allows that it runs more than once.
    """

    tries: int
    sends: int
    may_have_run: bool
    repeatable: bool


def retry_pause_s(done: ShardTries, *, at_once: bool, is_dead: bool = False) -> float | None:
    """Return after what pause to try again, seconds; ``None``: not at all.

    :param at_once: the failure says nothing against another replica.
    :param is_dead: nobody listened, so the next try is at another back end, if there is one.

    >>> first = ShardTries(tries=1, sends=1, may_have_run=True, repeatable=True)
    >>> retry_pause_s(first, at_once=True)
    0.0
    >>> retry_pause_s(ShardTries(1, 1, True, False), at_once=True) is None
    True
    """
    if done.may_have_run and not done.repeatable:
        return None
    if is_dead or (at_once and done.tries < TRIES_AT_ONCE):
        return AT_ONCE
    if done.tries < MAX_TRIES and done.sends < MAX_SENDS:
        return RETRY_PAUSE_S * done.tries
    return None
