"""Decides whether and when a failed call of a shard is retried.

Evaluated when a call has failed and no other call of the shard is in progress.  The inputs are the
counts of this request at this shard and whether the route allows repeats; the result is a back-off
in seconds.  Pure: it owns no state and reads no clock.  The retry budget is checked later, when the
retry is due.
"""

from __future__ import annotations

from msgspec import Struct

MAX_SENDS = 4
"""Most calls of one shard that may be sent for one request: two replicas, each twice."""
MAX_TRIES = 8
"""Most tries of one shard, including calls that were never sent.  With the back-off of
:data:`RETRY_BACKOFF_S`, tries end after 0.8 s."""
TRIES_AT_ONCE = 2
"""Number of tries, or of selected back ends, below which the next try follows without back-off.
Most shards have two replicas, and the other one is likely to answer."""
RETRY_BACKOFF_S = 0.03
"""Back-off for each try so far, seconds: it grows linearly, so that eight tries take 0.8 s."""
NO_BACKOFF = 0.0
"""Back-off of an immediate retry, seconds."""


class ShardTries(Struct, frozen=True):
    """The tries of one request at one shard so far.

    :param tries: how often a back end was chosen, at least 1.
    :param sends: number of calls sent.
    :param may_have_run: whether a back end may have run the request.
    :param repeatable: whether the route allows the request to run more than once.
    """

    tries: int
    sends: int
    may_have_run: bool
    repeatable: bool


def retry_backoff_s(
    done: ShardTries, *, at_once: bool, connection_refused: bool = False
) -> float | None:
    """Return the back-off before the next try, seconds; ``None`` for no further try.

    :param at_once: whether another replica may be tried without back-off.
    :param connection_refused: whether the back end refused the connection; the caller then excludes
        it, so the next try needs no back-off.

    >>> first = ShardTries(tries=1, sends=1, may_have_run=True, repeatable=True)
    >>> retry_backoff_s(first, at_once=True)
    0.0
    >>> retry_backoff_s(ShardTries(1, 1, True, False), at_once=True) is None
    True
    """
    if done.may_have_run and not done.repeatable:
        return None
    if connection_refused or (at_once and done.tries < TRIES_AT_ONCE):
        return NO_BACKOFF
    if done.tries < MAX_TRIES and done.sends < MAX_SENDS:
        return RETRY_BACKOFF_S * done.tries
    return None
