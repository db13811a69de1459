"""May this request be sent, or has it crashed the back ends that ran it?

When a call is lost with its connection, either the back end or the request may be at fault. If the
back end crashed for a reason of its own, every request that it was running becomes suspect. An
answer distinguishes them: no back end answers a poison request, while the next back end answers an
innocent one. Requests with lost calls are therefore tried on one back end at a time, as canaries;
an answer clears them, and only a request whose trial also loses a back end is barred.

Inputs: the request's fingerprint and its origin (route and caller), the current time (monotonic
seconds), and the evidence of this and other gateways, which report changes at once and repeat them.

Answer: free, suspect (one call at a time), on trial elsewhere (no call now), or barred for some
seconds.

Owns: the evidence on at most 1,024 requests; evidence that no longer affects a decision is evicted.

Shown by: log line ``request_barred``; a refused request's ``detail`` begins with ``poison:``;
metrics ``tinrudder_gateway_poison_refused``, ``tinrudder_gateway_poison_alerts``.

When an input is missing or old: without evidence a request is free; a process that has just started
asks other gateways for their evidence.
"""

from __future__ import annotations

import math
from enum import Enum, auto

from msgspec import Struct
from msgspec.structs import replace

from tinrudder.common.crash_limit import CRASH_LIMIT
from tinrudder.gateway.decisions.admission.crash_evidence import (
    NEVER,
    Crash,
    Evidence,
)

TRIAL_TIMEOUT_S = 1.0
"""How long one gateway's trial prevents other gateways from starting one, seconds. A call takes
tens of milliseconds; after this time the gateway that began the trial is presumed dead."""
MIN_REMAINING_RETENTION_S = 60.0
"""Minimum remaining retention, in seconds, for evidence on an unknown request to be accepted from
another gateway. Each gateway expires evidence by its own clock; without a minimum, it would accept
and forward evidence that others are about to expire. Twice a pause of 30 s in which reports are not
read. Without this, ten requests that lost a call and were never answered made each of 113 gateways,
with datagram delays of 0.05 to 0.5 s, send 24 datagrams a second, the limit of its token bucket,
from 600 s on and without end (virtual time)."""
MIN_ALERT_REQUESTS = 2
"""Number of different requests that must have lost a back end in a trial to raise an alert for
their origin. A single such request is barred when it is sent again, without an alert. Starting all
requests of a route as canaries delays each of them by a call's time, which costs 0.03 to 0.15 of
the answers' value on a calm day."""
MIN_RESTART_S = 0.5
"""Shortest restart of a back end, seconds: an answer to a call sent within this time after a loss
comes from the old process. Observed restarts take seconds until the process listens again."""
RESTART_DETECTION_S = 4.0
"""Time after which a restart is visible through the entry that the new process writes, seconds:
three of its heartbeats of 1.2 s, and the propagation through the store."""
MAX_REQUESTS = 1024
"""Maximum number of requests with evidence: at most 1.5 KB each (traced allocations, ten crashes
each), 1.5 MB in all. The one that changed longest ago is evicted first."""


def _shows_same_process(lost_at: float, sent_at: float, starts_known_at: float) -> bool:
    soon = 0.0 <= sent_at - lost_at <= MIN_RESTART_S
    return soon or min(sent_at, starts_known_at) - lost_at >= RESTART_DETECTION_S


class Standing(Enum):
    """What may be done with a request now.

    ``FREE``: no restriction. ``SUSPECT``: one call at a time until a back end answers.
    ``ON_TRIAL``: no call until another gateway's trial has ended. ``BARRED``: no call.
    """

    FREE = auto()
    SUSPECT = auto()
    ON_TRIAL = auto()
    BARRED = auto()


class RequestStanding(Struct, frozen=True):
    """The standing of a request; for a barred one also the remaining time, seconds."""

    standing: Standing
    barred_s: float = 0.0


FREE = RequestStanding(Standing.FREE)
SUSPECT = RequestStanding(Standing.SUSPECT)
ON_TRIAL = RequestStanding(Standing.ON_TRIAL)


class PoisonRequests:
    """Evidence on requests, keyed by fingerprint and bounded in number.

    >>> table = PoisonRequests()
    >>> for number in range(2):
    ...     _ = table.note_crash(b"f", b"route", number, at=0.0, trial=False)
    >>> table.assess(b"f", b"route", 0.1).standing
    <Standing.SUSPECT: 2>
    >>> _ = table.note_crash(b"f", b"route", 2, at=0.2, trial=True)
    >>> table.assess(b"f", b"route", 0.2).standing
    <Standing.BARRED: 4>
    >>> table.note_answer(b"f", at=0.3)
    True
    >>> table.assess(b"f", b"route", 0.4).standing
    <Standing.FREE: 1>
    """

    def __init__(self) -> None:
        self._evidence: dict[bytes, Evidence] = {}
        # For each back end, the requests that its loss counts against.
        self._requests_by_backend: dict[int, set[bytes]] = {}
        # By origin and fingerprint: an answer withdraws only the alert that its request raised.
        self._alerts: dict[bytes, dict[bytes, float]] = {}

    def __len__(self) -> int:
        """Return the number of requests with evidence."""
        return len(self._evidence)

    @property
    def is_empty(self) -> bool:
        """Return whether no evidence is kept."""
        return not self._evidence

    def barred(self, now: float) -> int:
        """Return how many requests are barred."""
        return sum(evidence.barred_until > now for evidence in self._evidence.values())

    def find(self, fingerprint: bytes) -> Evidence | None:
        """Return the evidence on a request, if any."""
        return self._evidence.get(fingerprint)

    def all(self) -> list[tuple[bytes, Evidence]]:
        """Return all evidence, the most recently changed last."""
        return list(self._evidence.items())

    def assess(self, fingerprint: bytes, origin: bytes, now: float) -> RequestStanding:
        """Decide what may be done with a request.

        :param origin: its route and caller. All requests of an origin are suspect for a while after
            two different ones have lost a back end in a trial.
        """
        evidence = self._evidence.get(fingerprint)
        if evidence is None or not evidence.counted_crashes:
            return SUSPECT if self.is_alert(origin, now) and evidence is None else FREE
        if now < evidence.barred_until:
            return RequestStanding(Standing.BARRED, evidence.barred_until - now)
        if len(evidence.counted_crashes) < CRASH_LIMIT:
            return SUSPECT
        trial_running = evidence.trial_at > evidence.last_crash_at
        return ON_TRIAL if trial_running and now - evidence.trial_at < TRIAL_TIMEOUT_S else SUSPECT

    def is_alert(self, origin: bytes, now: float) -> bool:
        """Return whether several requests of this route and caller have lost back ends recently."""
        alerting_requests = sum(now < until for until in self._alerts.get(origin, {}).values())
        return alerting_requests >= MIN_ALERT_REQUESTS

    def alerts(self, now: float) -> int:
        """Return the number of origins under alert."""
        return sum(self.is_alert(origin, now) for origin in self._alerts)

    def note_crash(
        self, fingerprint: bytes, origin: bytes, backend: int, at: float, *, trial: bool
    ) -> Evidence:
        """Record a lost back end against a request."""
        known = self._evidence.get(fingerprint, Evidence(origin))
        crash = Crash(backend, at, trial)
        return self.merge(fingerprint, replace(known, origin=origin, crashes=(crash,)))

    def note_answer(self, fingerprint: bytes, at: float) -> bool:
        """Clear a request that a back end has answered; return whether a crash counted against it.

        Without such a crash nothing is recorded: otherwise a popular request would never be
        evicted.
        """
        evidence = self._evidence.get(fingerprint)
        if evidence is None or not evidence.counted_crashes:
            return False
        cleared = evidence.cleared + 1
        self.merge(fingerprint, Evidence(evidence.origin, (), cleared, at, evidence.trial_at))
        return True

    def withdraw_crash(self, fingerprint: bytes, backend: int) -> bool:
        """Withdraw one crash; return whether it counted against the request."""
        evidence = self._evidence.get(fingerprint)
        if evidence is None:
            return False
        crash = next((one for one in evidence.counted_crashes if one.backend == backend), None)
        if crash is None:
            return False
        self.merge(fingerprint, replace(evidence, crashes=(replace(crash, survived=True),)))
        return True

    def requests_cleared_by(
        self, backend: int, sent_at: float, starts_known_at: float = math.inf
    ) -> tuple[bytes, ...]:
        """Return the requests that did not crash a back end after all, because it still answers.

        An answer shows that the process survived if it comes before a crashed process could have
        restarted, or so late that a new process would be known as another back end.

        :param sent_at: when the answered call was sent.
        :param starts_known_at: time up to which all entries of back ends are known. While the store
            is unavailable, a back end that restarted at the same address answers under its old
            entry.
        """
        return tuple(
            fingerprint
            for fingerprint in self._requests_by_backend.get(backend, ())
            for crash in self._evidence[fingerprint].counted_crashes
            if crash.backend == backend and _shows_same_process(crash.at, sent_at, starts_known_at)
        )

    def begin_trial(self, fingerprint: bytes, now: float) -> bool:
        """Record that a trial begins here; return whether other gateways must wait for its end."""
        evidence = self._evidence.get(fingerprint)
        if evidence is None or len(evidence.counted_crashes) < CRASH_LIMIT:
            return False
        self.merge(fingerprint, replace(evidence, trial_at=now))
        return True

    def should_accept(self, fingerprint: bytes, reported: Evidence, now: float) -> bool:
        """Return whether evidence from another gateway should be accepted.

        Crashes of an unknown request are accepted only if they will be kept for
        :data:`MIN_REMAINING_RETENTION_S`.
        """
        if fingerprint in self._evidence or not reported.counted_crashes:
            return True
        return reported.kept_until - now >= MIN_REMAINING_RETENTION_S

    def merge(self, fingerprint: bytes, reported: Evidence) -> Evidence:
        """Merge evidence observed here or reported by another gateway; return the result."""
        known = self._evidence.pop(fingerprint, None)
        evidence = reported if known is None else known.merged(reported)
        self._update_index(fingerprint, known, evidence)
        # Inserted at the end: eviction starts with the one that changed longest ago.
        self._evidence[fingerprint] = evidence
        self._note_alert(fingerprint, evidence)
        while len(self._evidence) > MAX_REQUESTS:
            self._evict(next(iter(self._evidence)))
        return evidence

    def _update_index(
        self, fingerprint: bytes, known: Evidence | None, evidence: Evidence | None
    ) -> None:
        """Update the index from back ends to the requests that their crashes count against."""
        for crash in known.counted_crashes if known is not None else ():
            requests = self._requests_by_backend.get(crash.backend, set())
            requests.discard(fingerprint)
            if not requests:
                self._requests_by_backend.pop(crash.backend, None)
        for crash in evidence.counted_crashes if evidence is not None else ():
            self._requests_by_backend.setdefault(crash.backend, set()).add(fingerprint)

    def _note_alert(self, fingerprint: bytes, evidence: Evidence) -> None:
        """Raise or withdraw the alert that a request causes for its origin."""
        until = evidence.alert_until
        if until != NEVER:
            self._alerts.setdefault(evidence.origin, {})[fingerprint] = until
        else:
            self._withdraw_alert(fingerprint, evidence.origin)

    def _withdraw_alert(self, fingerprint: bytes, origin: bytes) -> None:
        alerts = self._alerts.get(origin, {})
        alerts.pop(fingerprint, None)
        if not alerts:
            self._alerts.pop(origin, None)

    def _evict(self, fingerprint: bytes) -> None:
        """Evict a request."""
        evidence = self._evidence.pop(fingerprint)
        self._update_index(fingerprint, evidence, None)
        self._withdraw_alert(fingerprint, evidence.origin)

    def evict_expired(self, now: float) -> None:
        """Evict expired evidence."""
        ended = [one for one, evidence in self._evidence.items() if evidence.kept_until <= now]
        for fingerprint in ended:
            self._evict(fingerprint)
