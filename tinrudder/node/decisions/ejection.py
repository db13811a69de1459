"""Outlier ejection of back ends, and the warm-up ramp of new or readmitted ones.

Owns the median latency of a service; the ejection state is in the back-end records.  An ejected
back end gets no call that another replica can take.  If it is the last replica of a shard it is
still used, because coverage takes precedence over latency.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Protocol

from tinrudder.node.decisions.backend_record import BackendRecord

FAILURES_TO_EJECT = 3
"""Consecutive failures that eject a back end; one or two are common during a restart."""
OUTLIER_RATIO = 3.0
"""Latency, in multiples of the median of the service's back ends, that ejects one: well above the
differences between healthy machines."""
READMISSION_RATIO = 2.0
"""Highest probe latency, in multiples of the median, that readmits a back end.  Below
OUTLIER_RATIO, so that a back end near the threshold does not flap."""
MINIMUM_ANSWERS = 5
"""Answers required before a back end is judged by latency; fewer are a matter of chance."""
MAX_EJECTED_SHARE = 0.34
"""Fraction of a service's back ends that may be ejected at the same time; one of two.  More would
put the load of the whole service on the rest."""
FIRST_EJECTION_S = 0.5
"""Seconds until the first probe, doubled after each one that fails."""
MAX_EJECTION_S = 30.0
"""Maximum seconds between probes, and so the longest delay until a recovered back end returns."""
RAMP_START = 1.0
"""Calls in flight that a cold back end starts with: the minimum."""
RAMP_STEP = 0.5
"""Calls in flight that each fast answer adds during the ramp.  In the lab's cold start the 99th
percentile is 56.5 ms with ejection and ramp, 63.3 ms without ejection (docs/ROUTING.md)."""
RAMP_MAX_S = 10.0
"""Seconds after which a ramp ends at the next answer, however slow, so that a service with little
traffic is not throttled."""
REFRESH_OBSERVATIONS = 32
"""Answers after which the median is computed again: sorting at each answer would cost more than its
accuracy is worth."""


class EjectionPolicy(Protocol):
    """Ejects and readmits back ends by this node's observations."""

    def set_backends(self, records: Sequence[BackendRecord], now: float) -> None:
        """Set the service's current back ends; new ones start cold."""

    def observe_answer(self, record: BackendRecord, latency_s: float, now: float) -> None:
        """Count an answer; the latency in the record already includes it."""

    def observe_unanswered(self, record: BackendRecord, now: float) -> None:
        """Count a call cancelled without an answer; the record's latency already includes it."""

    def observe_failure(self, record: BackendRecord, now: float) -> None:
        """Count a call that failed or could not be sent."""

    def may_probe(self, record: BackendRecord, now: float) -> bool:
        """Tell whether an ejected back end may get one probe call, which decides on readmission."""


class NeverEject:
    """Keeps every back end in use: the baseline."""

    def set_backends(self, records: Sequence[BackendRecord], now: float) -> None:
        """Take no notice."""

    def observe_answer(self, record: BackendRecord, latency_s: float, now: float) -> None:
        """Take no notice."""

    def observe_unanswered(self, record: BackendRecord, now: float) -> None:
        """Take no notice."""

    def observe_failure(self, record: BackendRecord, now: float) -> None:
        """Take no notice."""

    def may_probe(self, record: BackendRecord, now: float) -> bool:
        """Return ``False``: no back end is ejected."""
        return False


class OutlierEjection:
    """Ejects back ends after consecutive failures or with a latency far above the service's median.

    When to use: always.  Default: 3 consecutive failures or 3 times the median latency, at most a
    third of the service (one of two), 0.5 s at first and twice as long each time up to 30 s.
    A probe decides on readmission.  A readmitted or new back end may have one call in flight, and
    half a call more for each answer about as fast as its peers'.  Cost: one comparison per answer.
    """

    def __init__(self) -> None:
        """Start without back ends."""
        self._records: tuple[BackendRecord, ...] = ()
        self._median_s = 0.0
        self._answers_until_refresh = 0

    def set_backends(self, records: Sequence[BackendRecord], now: float) -> None:
        """Set the service's current back ends.

        If all back ends are new, they start without a ramp: there is no warm replica that could
        carry the load meanwhile.
        """
        known = set(self._records)
        if any(record.latency_s for record in records):
            for record in records:
                if record not in known and not record.latency_s:
                    _start_ramp(record, now)
        self._records = tuple(records)

    def observe_answer(self, record: BackendRecord, latency_s: float, now: float) -> None:
        """Eject, readmit or ramp up a back end by its latency."""
        record.health.failures_in_row = 0
        record.health.answers += 1
        self._answers_until_refresh -= 1
        if self._answers_until_refresh <= 0:
            self._refresh_median()
        if record.health.ejected:
            self._evaluate_probe(record, latency_s, now)
        elif self._is_outlier(record):
            self._eject(record, now)
        elif record.health.ramp_limit != math.inf:
            self._advance_ramp(record, latency_s, now)

    def observe_unanswered(self, record: BackendRecord, now: float) -> None:
        """Eject a back end whose unanswered calls make it an outlier."""
        record.health.answers += 1
        if not record.health.ejected and self._is_outlier(record):
            self._eject(record, now)

    def observe_failure(self, record: BackendRecord, now: float) -> None:
        """Eject a back end after ``FAILURES_TO_EJECT`` consecutive failures."""
        record.health.failures_in_row += 1
        if record.health.ejected:
            _postpone_probe(record, now)
        elif record.health.failures_in_row >= FAILURES_TO_EJECT:
            self._eject(record, now)

    def may_probe(self, record: BackendRecord, now: float) -> bool:
        """Allow one probe per ejection period and schedule the next one."""
        if now < record.health.probe_at:
            return False
        _postpone_probe(record, now)
        return True

    def _is_outlier(self, record: BackendRecord) -> bool:
        """Tell whether a back end's latency is above ``OUTLIER_RATIO`` medians."""
        if not self._median_s or record.health.answers < MINIMUM_ANSWERS:
            return False
        return record.latency_s > OUTLIER_RATIO * self._median_s

    def _evaluate_probe(self, record: BackendRecord, latency_s: float, now: float) -> None:
        """Readmit a back end whose answer is about as fast as its peers'.

        Answers to calls sent before the ejection are ignored.
        """
        if now - latency_s < record.health.ejected_at:
            return
        if self._median_s and latency_s > READMISSION_RATIO * self._median_s:
            return
        record.health.ejected = False
        record.latency_s = latency_s
        record.health.answers = 0
        _start_ramp(record, now)

    def _advance_ramp(self, record: BackendRecord, latency_s: float, now: float) -> None:
        """Raise the ramp limit after a fast answer; end the ramp at the limit or ``RAMP_MAX_S``."""
        if now - record.health.ramp_started_at > RAMP_MAX_S:
            record.health.ramp_limit = math.inf
        elif not self._median_s or latency_s <= READMISSION_RATIO * self._median_s:
            record.health.ramp_limit += RAMP_STEP
            if record.health.ramp_limit >= record.limit:
                record.health.ramp_limit = math.inf
                record.health.ejections = 0

    def _eject(self, record: BackendRecord, now: float) -> None:
        """Eject a back end unless too many are ejected already."""
        ejected = sum(1 for other in self._records if other.health.ejected)
        count = len(self._records)
        ceiling = max(1, int(count * MAX_EJECTED_SHARE)) if count > 1 else 0
        if ejected >= ceiling:
            return
        record.health.ejected = True
        record.health.ejected_at = now
        _postpone_probe(record, now)

    def _refresh_median(self) -> None:
        """Compute the lower median latency of the back ends in use that have answered."""
        self._answers_until_refresh = REFRESH_OBSERVATIONS
        latencies = sorted(
            record.latency_s
            for record in self._records
            if record.latency_s and not record.health.ejected and not record.leaving
        )
        if latencies:
            self._median_s = latencies[(len(latencies) - 1) // 2]


def _start_ramp(record: BackendRecord, now: float) -> None:
    """Limit a cold back end to one call in flight."""
    record.health.ramp_limit = RAMP_START
    record.health.ramp_started_at = now


def _postpone_probe(record: BackendRecord, now: float) -> None:
    """Schedule the next probe, doubling the delay each time."""
    wait = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2.0**record.health.ejections)
    record.health.probe_at = now + wait
    record.health.ejections = min(record.health.ejections + 1, 16)
