"""Rules on how long watches of the store wait, and when a waiting watch is suspected.

An idle store leaves a watch open until its wait time is over, and a broken connection looks the
same. Therefore the first reader's watch waits only for a short time, and each of its answers is
reported to all gateways as a confirmation by the store. When that confirmation is overdue, the
first reader abandons its watch and queries the store over a new connection; if that brings no
answer, the reader of the next rank does the same. With silent connections, a change is thus noticed
after about one short wait. Neither this time nor the number of calls to an idle store grows with
the number of gateways.

Owns no state; followers of the store apply the rules.
"""

from __future__ import annotations

from tinrudder.gateway.store.stored_values import Topic

FIRST_READER_WAIT_S = {Topic.OPERATOR: 1.5, Topic.BACKENDS: 2.0}
"""Seconds that the first reader's watch waits. Each watch is a call, and calls are charged for; a
leaving back end continues to serve for 3 s where that time is shortest."""
ANSWER_DELAY_S = 0.25
"""Seconds by which the first reader's answer may be late: an answer of a busy store, a late timer,
and the time until the other readers learn of it."""
RANK_STEP_S = 0.05
"""Seconds by which a reader suspects its watch later than the reader of the previous rank: enough
for that reader to get an answer and report it."""
MAX_WAIT_S = 28.0
"""Seconds that the watches of all other readers wait, one second less for each rank; the platform
limits a wait to 30 s."""
PROBE_WAIT_S = 0.001
"""Wait time in seconds of a query that only checks whether the store answers."""


def watch_wait_s(topic: Topic, rank: int) -> float:
    """Return how long a watch waits.

    :param rank: this reader's rank among all readers.

    >>> [watch_wait_s(Topic.OPERATOR, rank) for rank in range(3)]
    [1.5, 27.0, 26.0]
    """
    return (
        FIRST_READER_WAIT_S[topic]
        if rank == 0
        else max(FIRST_READER_WAIT_S[topic], MAX_WAIT_S - rank)
    )


def seconds_to_suspicion(topic: Topic, unconfirmed_s: float, rank: int) -> float:
    """Return in how many seconds a watch is suspected, unless the store confirms before.

    :param unconfirmed_s: time since the store's latest confirmation to any gateway.
    :param rank: this reader's rank among all readers.

    >>> seconds_to_suspicion(Topic.OPERATOR, 1.0, 0), seconds_to_suspicion(Topic.OPERATOR, 3.0, 0)
    (0.75, 0.0)
    """
    due_s = FIRST_READER_WAIT_S[topic] + ANSWER_DELAY_S + RANK_STEP_S * rank
    return max(0.0, round(due_s - unconfirmed_s, 3))
