"""Which share of the requests to a service that many gateways call is admitted?

No gateway sees more than a few answers of such a service in the time in which its queues fill, and
hundreds react to one report. So the wait that admission goes by is a mean over the back ends, by
the freshness of what is known of each: the least wait would be that of the back end of which least
is known. And a back end is chosen among two drawn by chance: the best of all by one report would
get what all gateways send until the next. Its figures were measured in a simulation of 113
gateways and four back ends of four slots and 12 places in the queue, calls of 0.25 s, an objective
of 0.9 s.

Inputs: the observations of each back end (reports at most 0.8 s old count, fading with their age),
the usual time of a call, the time left until the objective, both in seconds; more urgent
priorities; whether the caller was refused before, and whether its objective passed meanwhile.

Answer: the share to admit, 0 to 1, with the wait that it was judged by, seconds.

Owns: nothing; it is a function of its inputs.

Shown by: as the forecast: log line ``request`` with wait, share and time left; metric
``tinrudder_gateway_refused``.

When an input is missing or old: a back end without a fresh report counts as free, with less weight
where it had a queue lately; without any queue known all are admitted.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import TypeVar

from msgspec import Struct

from tinrudder.gateway.decisions.admission.load_forecast import admission_share
from tinrudder.gateway.decisions.placement.backend_observations import (
    BACKLOG_LIFETIME_S,
    BackendObservations,
)

Candidate = TypeVar("Candidate")

UNHEARD_WEIGHT = 0.25
"""Weight of a back end that had a queue and of which nothing is known since: its queue counts as
empty, with this weight.  By 1 in place of this, 0.043 in place of 0.015 of the arrivals were shed
at 1.4 times of what the back ends can do.  One that had no queue has 1: it is free."""
FULL_ABOVE = 0.75
"""Part of the places in the queues above which nobody is admitted, where back ends shed lately:
what is on its way fills the rest.  Between this less :data:`FULL_SPAN` and this, the share falls
evenly.  At four times the load 0.084 were shed, without it 0.133."""
FULL_SPAN = 0.4
"""See :data:`FULL_ABOVE`; a choice: gateways that know different reports decide alike."""
ENOUGH_SEEN = 5
"""Calls after which how long they hold a slot is known of one back end, a choice: until then it may
be wrong by half, and that of the whole service counts."""
LATE_FACTOR = 1.5
"""By how much less time counts for a caller whose objective has passed while it was refused: its
answer is worth less, so it is served from what those leave free who can still be in time.  At four
times the load 52 a second were served in time, with 1 in place of this 32."""


class AdmittedShare(Struct, frozen=True):
    """Which share of such requests to admit, and how long a call waits for a slot, seconds."""

    share: float
    wait_s: float


class _Queue(Struct, frozen=True, order=True):
    """What is known of one back end.

    :param wait_s: for a slot there; ``weight`` is how far it counts, 0 to 1.
    :param least_weight: how far the back end counts at least, as free.
    """

    wait_s: float
    weight: float
    least_weight: float


def work_s_of(backends: Sequence[BackendObservations]) -> float:
    """Return how long calls hold a slot of a service in the mean, seconds; 0: not known."""
    known = [one.work_s for one in backends if one.work_seen]
    return sum(known) / len(known) if known else 0.0


def expected_wait_s(backends: Sequence[BackendObservations], now: float, usual_s: float) -> float:
    """Return the wait for a slot of a service, seconds.

    It is what a call meets that takes the better of two back ends drawn by chance: with one back
    end of four that is slow, and has a queue, the mean of all would refuse what the others can do.
    """
    work_s = work_s_of(backends) or usual_s
    known = sorted(_queue(one, now, work_s) for one in backends)
    total = 0.0
    weights = 0.0
    for place, queue in enumerate(known):
        chance = 2 * (len(known) - place) - 1
        total += chance * queue.weight * queue.wait_s
        weights += chance * max(queue.weight, queue.least_weight)
    return total / weights if weights else 0.0


def judge(
    backends: Sequence[BackendObservations],
    now: float,
    usual_s: float,
    left_s: float,
    *,
    priority_steps: int,
    returning: bool,
    late: bool,
) -> AdmittedShare:
    """Decide on a request that one of some back ends may run.

    :param usual_s: how long a call of its route takes without waiting.
    :param left_s: time until the objective.
    :param priority_steps: how many more urgent priorities the back ends serve too.
    :param returning: the caller was refused before and has come back.
    :param late: the objective passed meanwhile; ``left_s`` is that of a new request.
    """
    # The rest costs ten times as much, and queues are rare.
    if not any(one.wait_s(now, 1.0) for one in backends):
        return AdmittedShare(1.0, 0.0)
    wait_s = expected_wait_s(backends, now, usual_s)
    share = admission_share(
        wait_s,
        usual_s,
        left_s / LATE_FACTOR if late else left_s,
        priority_steps=priority_steps,
        returning=returning and not late,
    )
    return AdmittedShare(min(share, _share_by_room(backends, now)), wait_s)


def has_room(
    backends: Sequence[BackendObservations], now: float, usual_s: float, left_s: float
) -> bool:
    """Tell whether some back end would answer a call in time, by what is known of its queue.

    One without a queue has room, however long calls of the route take: answers are delivered late
    too, and back ends that are leaving reject calls as well.
    """
    work_s = work_s_of(backends) or usual_s
    return any(
        not (wait_s := one.wait_s(now, _work_s(one, work_s)))
        or wait_s + max(usual_s, _work_s(one, 0.0)) <= left_s
        for one in backends
    )


def two_of(
    candidates: Sequence[Candidate],
    observations: Callable[[Candidate], BackendObservations],
    now: float,
    random_source: random.Random,
) -> Sequence[Candidate]:
    """Leave two candidates, drawn by chance, while a call would wait at any of them.

    With all of them, 0.058 in place of 0.015 of the arrivals were shed at 1.4 times the load.
    """
    if len(candidates) <= 2 or not any(observations(one).wait_s(now, 1.0) for one in candidates):
        return candidates
    return random_source.sample(list(candidates), 2)


def extra_cost(one: BackendObservations, least_work_s: float, now: float) -> float:
    """Return what slow work adds to :meth:`BackendObservations.cost`, which is in usual calls.

    A gateway that sees a back end once in seconds has not learned from its own calls that it is
    slow, when others have told it.
    """
    work_s = _work_s(one, least_work_s)
    if not least_work_s or work_s <= least_work_s:
        return 0.0
    return (work_s / least_work_s - 1.0) * (1.0 + one.wait_s(now, 1.0))


def least_work_s(backends: Sequence[BackendObservations]) -> float:
    """Return how long calls hold a slot at the fastest back end, seconds; 0: not known."""
    return min((one.work_s for one in backends if one.work_seen >= ENOUGH_SEEN), default=0.0)


def _work_s(one: BackendObservations, usual_s: float) -> float:
    """Return how long calls hold a slot of one back end."""
    return one.work_s if one.work_seen >= ENOUGH_SEEN else usual_s


def _queue(one: BackendObservations, now: float, work_s: float) -> _Queue:
    """Return what is known of one back end by its newest report."""
    wait_s = _ahead(one) * _work_s(one, work_s)
    return _Queue(wait_s, _weight(now - one.reported_at), _least_weight(one, now))


def _least_weight(one: BackendObservations, now: float) -> float:
    """Return how far a back end counts as free where nothing else is known of it."""
    return UNHEARD_WEIGHT if one.had_queue(now) else 1.0


def _ahead(one: BackendObservations) -> float:
    """Return the wait at one back end as a multiple of the time that a call holds a slot."""
    ahead = one.reported_backlog + one.sent_since_report - one.slots + 1
    return max(0, ahead) / max(1, one.slots)


def _weight(age_s: float) -> float:
    """Return what a report counts, 0 to 1."""
    return max(0.0, 1.0 - age_s / BACKLOG_LIFETIME_S)


def _share_by_room(backends: Sequence[BackendObservations], now: float) -> float:
    """Return which share leaves the queues some room, where back ends shed lately."""
    filled = 0.0
    weights = 0.0
    for one in backends:
        weight = _weight(now - one.reported_at)
        places = one.sheds_above(now)
        if places:
            filled += weight * _ahead(one) * max(1, one.slots) / places
        weights += max(weight, _least_weight(one, now))
    if not filled:
        return 1.0
    return min(1.0, max(0.0, (FULL_ABOVE - filled / weights) / FULL_SPAN))
