"""What the limit of one back end is judged by."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class LimitState:
    """Mutable; times are monotonic seconds of this node.

    :param lowered_at: when the limit was last lowered.
    :param unqueued_s: smoothed latency of calls sent while few were in flight: what a call takes
        that meets no queue at the back end; 0 before the first.
    :param unqueued_at: when the last of those was answered.
    :param sampling_left: answers still wanted of calls sent under the sampling limit; 0 when the
        limit is not held down for sampling.
    :param limit_before: the limit to return to after sampling.
    :param full_sum_s: summed latency of calls sent at the limit since it last moved.
    :param full_count: their number.
    """

    lowered_at: float = -math.inf
    unqueued_s: float = 0.0
    unqueued_at: float = -math.inf
    sampling_left: int = 0
    limit_before: float = 0.0
    full_sum_s: float = 0.0
    full_count: int = 0
