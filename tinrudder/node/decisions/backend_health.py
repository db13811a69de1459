"""What one node knows of a back end's health: its own judgement first, others' words as hints.

State of ``ejection`` and of load reports, held in the back-end record.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class BackendHealth:
    """Mutable health of one back end; times are monotonic seconds of this node.

    Own observations:

    :param answers: answers since the back end was last let in.
    :param failures_in_row: calls broken or not sent since the last answer.
    :param ejected: no call goes there that another replica can take.
    :param ejections: ejection periods since it last was fully in use; doubles the next one.
    :param probe_at: when an ejected back end may get its next probe.
    :param ramp_limit: calls in flight allowed while it warms up; infinite when warm.

    Hints, which age and never outweigh own observations:

    :param reported_others: calls of others in flight there, by the back end's own report.
    :param reported_at: when that report came.
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
