"""Health of a back end as seen from one node: own observations, and load reports as hints.

Owns the state that ``ejection`` and load reports keep in the back-end record.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class BackendHealth:
    """Mutable health state of one back end; times are monotonic seconds of this node.

    Own observations:

    :param answers: answers since the back end was last readmitted.
    :param failures_in_row: calls since the last answer that failed or could not be sent.
    :param ejected: the back end gets only calls that no other replica can take.
    :param ejections: ejection periods since the back end was last fully in use; each doubles the
        next period.
    :param probe_at: earliest time of the next probe of an ejected back end.
    :param ramp_limit: calls in flight allowed during warm-up; infinite when warm.

    Hints, which expire and never outweigh own observations:

    :param reported_others: calls of other nodes in flight, from the back end's load report.
    :param reported_at: when that report arrived.
    """

    answers: int = 0
    failures_in_row: int = 0
    ejected: bool = False
    ejected_at: float = 0.0
    ejections: int = 0
    probe_at: float = 0.0
    ramp_limit: float = math.inf
    ramp_started_at: float = 0.0
    reported_others: int = 0
    reported_at: float = 0.0
