"""Taking bad replicas out of use for a while, and letting new or returned ones in slowly.

An ejected back end gets no call that another replica can take; where it is the last replica of
a shard it is still used, because coverage goes before speed.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Protocol

from tinrudder.node.decisions.backend_record import BackendRecord

FAILURES_TO_EJECT = 3
"""Failures in a row that take a back end out.  Chosen, not measured: one or two are common in a
restart."""
OUTLIER_RATIO = 3.0
"""Latency, in medians of the service's back ends, that takes one out.  Chosen, not measured; well
above the differences between healthy machines."""
GOOD_RATIO = 2.0
"""Latency of a probe, in medians, that brings a back end back.  Below OUTLIER_RATIO, so that one
at the edge does not come and go."""
MINIMUM_ANSWERS = 5
"""Answers before latency judges a back end: fewer are a matter of chance.  Chosen, not
measured."""
MAX_EJECTED_SHARE = 0.34
"""Part of a service that may be out at once; of two back ends one.  More would put the load of the
whole service on what is left.  Chosen, not measured."""
FIRST_EJECTION_S = 0.5
"""Seconds until the first probe, doubled with each that fails.  Chosen, not measured."""
MAX_EJECTION_S = 30.0
"""Seconds between probes at most: how late a back end that is well again comes back.  Chosen, not
measured."""
RAMP_START = 1.0
"""Calls in flight that a cold back end begins with: the least there is."""
RAMP_STEP = 0.5
"""Calls in flight that a quick answer adds on the ramp.  In the lab's cold start 56.5 ms at the
99th percentile with ejection and ramp, 63.3 ms without ejection (docs/ROUTING.md)."""
RAMP_MAX_S = 10.0
"""Seconds after which a ramp ends whatever was answered, so that a service with little traffic is
not held back.  Chosen, not measured."""
REFRESH_OBSERVATIONS = 32
"""Observations for which a median is kept: sorting at each answer would cost more than it
tells."""


class EjectionPolicy(Protocol):
    """Judges back ends by what this node has seen of them."""

    def follow(self, records: Sequence[BackendRecord], now: float) -> None:
        """Take the service's current back ends; those not seen before start cold."""

    def observe_answer(self, record: BackendRecord, latency_s: float, now: float) -> None:
        """Learn of an answer; the record's own latency already includes it."""

    def observe_unanswered(self, record: BackendRecord, now: float) -> None:
        """Learn of a call cancelled unanswered; the record's own latency already includes it."""

    def observe_failure(self, record: BackendRecord, now: float) -> None:
        """Learn of a call that broke or could not be sent."""

    def may_probe(self, record: BackendRecord, now: float) -> bool:
        """Tell whether an ejected back end is due for one call that decides on its return."""


class NeverEject:
    """Keeps every back end in use: the baseline."""

    def follow(self, records: Sequence[BackendRecord], now: float) -> None:
        """Take no notice."""

    def observe_answer(self, record: BackendRecord, latency_s: float, now: float) -> None:
        """Take no notice."""

    def observe_unanswered(self, record: BackendRecord, now: float) -> None:
        """Take no notice."""

    def observe_failure(self, record: BackendRecord, now: float) -> None:
        """Take no notice."""

    def may_probe(self, record: BackendRecord, now: float) -> bool:
        """Return ``False``: none is ejected."""
        return False


class OutlierEjection:
    """Ejects back ends that fail in a row or are far slower than the median of their service.

    When to use: always.  Default: 3 failures in a row or 3 times the median latency, at most a
    third of the service (one of two), 0.5 s at first and twice as long each time up to 30 s.
    A probe decides on the return; a returned or new back end may have one call in flight and
    half a call more for each answer as quick as its peers'.  Cost: one comparison an answer.
    """

    def __init__(self) -> None:
        """Start without back ends."""
        self._records: tuple[BackendRecord, ...] = ()
        self._median_s = 0.0
        self._until_refresh = 0

    def follow(self, records: Sequence[BackendRecord], now: float) -> None:
        """Take the service's current back ends.

        A service whose every back end is new starts without a ramp: there is no warm replica
        that could carry the load meanwhile.
        """
        known = set(self._records)
        if any(record.latency_s for record in records):
            for record in records:
                if record not in known and not record.latency_s:
                    _start_ramp(record, now)
        self._records = tuple(records)

    def observe_answer(self, record: BackendRecord, latency_s: float, now: float) -> None:
        """Judge a back end by its latency."""
        record.health.failures_in_row = 0
        record.health.answers += 1
        self._until_refresh -= 1
        if self._until_refresh <= 0:
            self._refresh_median()
        if record.health.ejected:
            self._judge_probe(record, latency_s, now)
        elif self._is_outlier(record):
            self._eject(record, now)
        elif record.health.ramp_limit != math.inf:
            self._advance_ramp(record, latency_s, now)

    def observe_unanswered(self, record: BackendRecord, now: float) -> None:
        """Judge a back end by how long it left calls unanswered."""
        record.health.answers += 1
        if not record.health.ejected and self._is_outlier(record):
            self._eject(record, now)

    def observe_failure(self, record: BackendRecord, now: float) -> None:
        """Judge a back end by its failures in a row."""
        record.health.failures_in_row += 1
        if record.health.ejected:
            _postpone_probe(record, now)
        elif record.health.failures_in_row >= FAILURES_TO_EJECT:
            self._eject(record, now)

    def may_probe(self, record: BackendRecord, now: float) -> bool:
        """Allow one probe an ejection period; its result moves the time of the next."""
        if now < record.health.probe_at:
            return False
        _postpone_probe(record, now)
        return True

    def _is_outlier(self, record: BackendRecord) -> bool:
        """Tell whether a back end is far slower than its peers."""
        if not self._median_s or record.health.answers < MINIMUM_ANSWERS:
            return False
        return record.latency_s > OUTLIER_RATIO * self._median_s

    def _judge_probe(self, record: BackendRecord, latency_s: float, now: float) -> None:
        """Readmit a back end whose answer is as quick as its peers'.

        Answers to calls sent before the ejection decide nothing.
        """
        if now - latency_s < record.health.ejected_at:
            return
        if self._median_s and latency_s > GOOD_RATIO * self._median_s:
            return
        record.health.ejected = False
        record.latency_s = latency_s
        record.health.answers = 0
        _start_ramp(record, now)

    def _advance_ramp(self, record: BackendRecord, latency_s: float, now: float) -> None:
        """Give a back end on its ramp more room after a quick answer."""
        if now - record.health.ramp_started_at > RAMP_MAX_S:
            record.health.ramp_limit = math.inf
        elif not self._median_s or latency_s <= GOOD_RATIO * self._median_s:
            record.health.ramp_limit += RAMP_STEP
            if record.health.ramp_limit >= record.limit:
                record.health.ramp_limit = math.inf
                record.health.ejections = 0

    def _eject(self, record: BackendRecord, now: float) -> None:
        """Eject a back end unless too many are out already."""
        ejected = sum(1 for other in self._records if other.health.ejected)
        count = len(self._records)
        ceiling = max(1, int(count * MAX_EJECTED_SHARE)) if count > 1 else 0
        if ejected >= ceiling:
            return
        record.health.ejected = True
        record.health.ejected_at = now
        _postpone_probe(record, now)

    def _refresh_median(self) -> None:
        """Compute the lower median of the back ends in use that have answered."""
        self._until_refresh = REFRESH_OBSERVATIONS
        latencies = sorted(
            record.latency_s
            for record in self._records
            if record.latency_s and not record.health.ejected and not record.leaving
        )
        if latencies:
            self._median_s = latencies[(len(latencies) - 1) // 2]


def _start_ramp(record: BackendRecord, now: float) -> None:
    """Limit a cold back end to a first call in flight."""
    record.health.ramp_limit = RAMP_START
    record.health.ramp_started_at = now


def _postpone_probe(record: BackendRecord, now: float) -> None:
    """Set the next probe, each time twice as far away."""
    wait = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2.0**record.health.ejections)
    record.health.probe_at = now + wait
    record.health.ejections = min(record.health.ejections + 1, 16)
