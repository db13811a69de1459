"""Which share of the requests to a service that many gateways call is admitted?

A gateway sees only a few answers of such a service in the time in which its queues fill, and
hundreds of gateways react to one report. Admission therefore uses the mean wait over the back ends,
weighted by the freshness of each report: the minimum would come from the back end about which least
is known. A call goes to the better of two random back ends: if every gateway chose the best one,
that one would get all calls until its next report. The figures below come from a simulation of 113
gateways and four back ends of four slots and 12 queue places, calls of 0.25 s and an objective of
0.9 s.

Inputs: the observations of each back end (reports at most 0.8 s old, with a weight that falls with
age), the typical time of a call and the time left until the objective, both in seconds; the number
of more urgent priorities; whether the caller was refused before, and whether its objective has
passed meanwhile.

Answer: the share to admit, 0 to 1, and the wait that it was derived from, seconds.

Owns: nothing; it is a function of its inputs.

Shown by: log line ``request`` with wait, share and time left; metric ``tinrudder_gateway_refused``.

When an input is missing or old: a back end without a fresh report counts as free, with less weight
if it recently had a queue; while no queue is known all requests are admitted.
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

UNREPORTED_WEIGHT = 0.25
"""Weight of a back end that had a queue and has not reported since; it counts as empty with this
weight. With 1 instead, 0.043 rather than 0.015 of the arrivals were shed at 1.4 times the back
ends' capacity. A back end that had no queue counts as free with weight 1."""
ADMIT_NONE_FILL = 0.75
"""Fraction of the queue places above which nothing is admitted, if back ends shed calls recently:
calls in flight fill the rest. The admitted share falls linearly from :data:`ADMISSION_FILL_SPAN`
below this value. At four times the load 0.084 were shed, without this rule 0.133."""
ADMISSION_FILL_SPAN = 0.4
"""Width of the range described at :data:`ADMIT_NONE_FILL`: wide enough that gateways with different
reports decide alike."""
MIN_OBSERVED_CALLS = 5
"""Calls after which the time that one back end holds a slot counts as known. Until then it may be
wrong by half, and the mean of the whole service is used."""
LATE_FACTOR = 1.5
"""Divisor of the time left for a caller whose objective passed while it was refused. Its answer has
less value, so it only gets capacity that callers still in time leave free. At four times the load
52 a second were served in time, with 1 instead of this 32."""


class AdmittedShare(Struct, frozen=True):
    """The share of such requests to admit, and how long a call waits for a slot, seconds."""

    share: float
    wait_s: float


class _Queue(Struct, frozen=True, order=True):
    """The known queue of one back end.

    :param wait_s: wait for a slot; ``weight`` is the weight of this value, 0 to 1.
    :param min_weight: minimum weight with which the back end counts, as free.
    """

    wait_s: float
    weight: float
    min_weight: float


def mean_service_time_s(backends: Sequence[BackendObservations]) -> float:
    """Return the mean time for which calls hold a slot of a service, seconds; 0: not known."""
    known = [one.service_time_s for one in backends if one.service_time_count]
    return sum(known) / len(known) if known else 0.0


def expected_wait_s(
    backends: Sequence[BackendObservations], now: float, typical_time_s: float
) -> float:
    """Return the wait for a slot of a service, seconds.

    It is the expected wait of a call that takes the better of two random back ends. With one slow
    back end of four that has a queue, a plain mean would refuse requests that the others can serve.
    """
    service_time_s = mean_service_time_s(backends) or typical_time_s
    known = sorted(_queue(one, now, service_time_s) for one in backends)
    total = 0.0
    weights = 0.0
    for place, queue in enumerate(known):
        selection_weight = 2 * (len(known) - place) - 1
        total += selection_weight * queue.weight * queue.wait_s
        weights += selection_weight * max(queue.weight, queue.min_weight)
    return total / weights if weights else 0.0


def decide_admission(
    backends: Sequence[BackendObservations],
    now: float,
    typical_time_s: float,
    left_s: float,
    *,
    priority_steps: int,
    returning: bool,
    late: bool,
) -> AdmittedShare:
    """Return the share of requests to admit that any of these back ends may run.

    :param typical_time_s: how long a call of the route takes without waiting.
    :param left_s: time until the objective.
    :param priority_steps: number of more urgent priorities that the back ends also serve.
    :param returning: the caller was refused before and is retrying.
    :param late: its objective has passed meanwhile; ``left_s`` is that of a new request.
    """
    # Shortcut: queues are rare, and the computation below costs ten times as much.
    if not any(one.wait_s(now, 1.0) for one in backends):
        return AdmittedShare(1.0, 0.0)
    wait_s = expected_wait_s(backends, now, typical_time_s)
    share = admission_share(
        wait_s,
        typical_time_s,
        left_s / LATE_FACTOR if late else left_s,
        priority_steps=priority_steps,
        returning=returning and not late,
    )
    return AdmittedShare(min(share, _share_by_fill(backends, now)), wait_s)


def has_room(
    backends: Sequence[BackendObservations], now: float, typical_time_s: float, left_s: float
) -> bool:
    """Return whether some back end would answer a call in time, given its known queue.

    A back end without a queue has room, however long calls of the route take: answers are also
    delivered late, and draining back ends reject calls as well.
    """
    service_time_s = mean_service_time_s(backends) or typical_time_s
    return any(
        not (wait_s := one.wait_s(now, _service_time_s(one, service_time_s)))
        or wait_s + max(typical_time_s, _service_time_s(one, 0.0)) <= left_s
        for one in backends
    )


def draw_candidates(
    candidates: Sequence[Candidate],
    observations: Callable[[Candidate], BackendObservations],
    now: float,
    random_source: random.Random,
) -> Sequence[Candidate]:
    """Return two random candidates if a call would wait at any of them, otherwise all.

    With all of them, 0.058 rather than 0.015 of the arrivals were shed at 1.4 times the load.
    """
    if len(candidates) <= 2 or not any(observations(one).wait_s(now, 1.0) for one in candidates):
        return candidates
    return random_source.sample(list(candidates), 2)


def extra_cost(one: BackendObservations, min_service_time_s: float, now: float) -> float:
    """Return the extra cost of a slow back end, added to :meth:`BackendObservations.cost`.

    A gateway that calls a back end only once in several seconds cannot learn from its own calls
    that it is slow; reports from others tell it earlier.
    """
    service_time_s = _service_time_s(one, min_service_time_s)
    if not min_service_time_s or service_time_s <= min_service_time_s:
        return 0.0
    return (service_time_s / min_service_time_s - 1.0) * (1.0 + one.wait_s(now, 1.0))


def min_service_time_s(backends: Sequence[BackendObservations]) -> float:
    """Return how long calls hold a slot at the fastest back end, seconds; 0: not known."""
    return min(
        (one.service_time_s for one in backends if one.service_time_count >= MIN_OBSERVED_CALLS),
        default=0.0,
    )


def _service_time_s(one: BackendObservations, typical_time_s: float) -> float:
    """Return how long calls hold a slot of one back end, ``typical_time_s`` while not known."""
    return one.service_time_s if one.service_time_count >= MIN_OBSERVED_CALLS else typical_time_s


def _queue(one: BackendObservations, now: float, service_time_s: float) -> _Queue:
    """Return the queue of one back end by its newest report."""
    wait_s = _relative_wait(one) * _service_time_s(one, service_time_s)
    return _Queue(wait_s, _report_weight(now - one.reported_at), _min_weight(one, now))


def _min_weight(one: BackendObservations, now: float) -> float:
    """Return the weight with which a back end counts as free without a fresh report."""
    return UNREPORTED_WEIGHT if one.had_recent_queue(now) else 1.0


def _relative_wait(one: BackendObservations) -> float:
    """Return the wait at one back end as a multiple of the time that a call holds a slot."""
    ahead = one.reported_backlog + one.sent_since_report - one.slots + 1
    return max(0, ahead) / max(1, one.slots)


def _report_weight(age_s: float) -> float:
    """Return the weight of a report of this age, 0 to 1."""
    return max(0.0, 1.0 - age_s / BACKLOG_LIFETIME_S)


def _share_by_fill(backends: Sequence[BackendObservations], now: float) -> float:
    """Return the share that keeps some queue places free, if back ends shed calls recently."""
    filled = 0.0
    weights = 0.0
    for one in backends:
        weight = _report_weight(now - one.reported_at)
        places = one.shed_queue_length(now)
        if places:
            filled += weight * _relative_wait(one) * max(1, one.slots) / places
        weights += max(weight, _min_weight(one, now))
    if not filled:
        return 1.0
    return min(1.0, max(0.0, (ADMIT_NONE_FILL - filled / weights) / ADMISSION_FILL_SPAN))
