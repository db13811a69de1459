"""May this request be sent, or has it crashed the back ends that ran it?

A call that is lost with its connection accuses two: the back end and the request. The back end may
have crashed by itself, and then every request at work there looks guilty. What tells them apart is
an answer: a poison request never gets one, from any back end, while a victim gets one from the
next. So requests with lost calls are tried on one back end at a time, as canaries; an answer
clears them, and only those whose trial costs a back end too are barred.

Inputs: the request's fingerprint and its origin (route and caller), the moment (monotonic
seconds), and the evidence of this gateway and of others, which tell news at once and repeat it.

Answer: free, suspect (one call at a time), on trial elsewhere (no call now), or barred for some
seconds.

Owns: the evidence on at most 1,024 requests; what decides nothing any more is forgotten.

Shown by: log line ``request_barred``; a refused request's ``detail`` begins with ``poison:``;
metrics ``tinrudder_gateway_poison_refused``, ``tinrudder_gateway_poison_alerts``.

When an input is missing or old: without evidence a request is free; a process that has just
started asks others for theirs.
"""

from __future__ import annotations

import math
from enum import Enum, auto

from msgspec import Struct
from msgspec.structs import replace

from tinrudder.common.crash_limit import ENOUGH_CRASHES
from tinrudder.gateway.decisions.admission.crash_evidence import (
    NEVER,
    Crash,
    Evidence,
)

TRIAL_S = 1.0
"""How long one gateway's trial keeps all others from one: a call takes tens of milliseconds, and
after this its gateway is taken for dead."""
LEAST_LEFT_S = 60.0
"""How much longer evidence must be kept to be taken where nothing is known of the request: each
gateway forgets by its own clock, and would take back from others what they forget a moment later,
and pass it on.  Twice a pause of 30 s in which news is not read, a choice.  Without this, ten
requests that lost a call and were never answered made each of 113 gateways, whose datagrams took
0.05 to 0.5 s, send 24 datagrams a second, all that its bucket allows, from 600 s on and without end
(virtual time)."""
ENOUGH_ALARMS = 2
"""How many different requests must have lost one: a single one that comes again is barred by
itself, and a canary costs each request of the route a call's time, 0.03 to 0.15 of the worth of a
calm day where all of them begin so."""
SOONEST_RESTART_S = 0.5
"""An answer to a call that was sent within this time after a loss, seconds, comes from the process
of before. A bound: the restarts seen take seconds until they listen again."""
RESTART_KNOWN_S = 4.0
"""After this time a restart would be known by the entry that the new process writes: three of its
heartbeats of 1.2 s, and the way through the store."""
MOST_REQUESTS = 1024
"""How many requests evidence is kept for, 1.5 KB each at most (traced allocations, ten crashes
each), so 1.5 MB in all; what changed longest ago is dropped."""


def _shows_same_process(lost_at: float, sent_at: float, starts_known_at: float) -> bool:
    soon = 0.0 <= sent_at - lost_at <= SOONEST_RESTART_S
    return soon or min(sent_at, starts_known_at) - lost_at >= RESTART_KNOWN_S


class Standing(Enum):
    """What may be done with a request now.

    ``FREE``: anything.  ``SUSPECT``: one call at a time until a back end answers.  ``ON_TRIAL``:
    nothing until another gateway's trial has ended.  ``BARRED``: nothing.
    """

    FREE = auto()
    SUSPECT = auto()
    ON_TRIAL = auto()
    BARRED = auto()


class RequestStanding(Struct, frozen=True):
    """The standing of a request, and for a barred one how long it stays so, seconds."""

    standing: Standing
    barred_s: float = 0.0


FREE = RequestStanding(Standing.FREE)
SUSPECT = RequestStanding(Standing.SUSPECT)
ON_TRIAL = RequestStanding(Standing.ON_TRIAL)


class PoisonRequests:
    """Evidence on requests, by their fingerprints, bounded in number.

    >>> table = PoisonRequests()
    >>> for number in range(2):
    ...     _ = table.note_crash(b"f", b"route", number, at=0.0, trial=False)
    >>> table.judge(b"f", b"route", 0.1).standing
    <Standing.SUSPECT: 2>
    >>> _ = table.note_crash(b"f", b"route", 2, at=0.2, trial=True)
    >>> table.judge(b"f", b"route", 0.2).standing
    <Standing.BARRED: 4>
    >>> table.note_answer(b"f", at=0.3)
    True
    >>> table.judge(b"f", b"route", 0.4).standing
    <Standing.FREE: 1>
    """

    def __init__(self) -> None:
        """Know nothing."""
        self._evidence: dict[bytes, Evidence] = {}
        # By back end: the requests that it is held against.
        self._lost_under: dict[int, set[bytes]] = {}
        # By origin and fingerprint: an answer takes back what its request alone had raised.
        self._alerts: dict[bytes, dict[bytes, float]] = {}

    def __len__(self) -> int:
        """Return for how many requests evidence is kept."""
        return len(self._evidence)

    @property
    def is_empty(self) -> bool:
        """Tell whether no evidence is kept."""
        return not self._evidence

    def barred(self, now: float) -> int:
        """Return how many requests are barred."""
        return sum(evidence.barred_until > now for evidence in self._evidence.values())

    def find(self, fingerprint: bytes) -> Evidence | None:
        """Return what is known of a request."""
        return self._evidence.get(fingerprint)

    def all(self) -> list[tuple[bytes, Evidence]]:
        """Return everything, what was lost latest last."""
        return list(self._evidence.items())

    def judge(self, fingerprint: bytes, origin: bytes, now: float) -> RequestStanding:
        """Decide what may be done with a request.

        :param origin: its route and caller, all whose requests are suspect for a while after two
            different ones have lost a back end in a trial.
        """
        evidence = self._evidence.get(fingerprint)
        if evidence is None or not evidence.held:
            return SUSPECT if self.is_alert(origin, now) and evidence is None else FREE
        if now < evidence.barred_until:
            return RequestStanding(Standing.BARRED, evidence.barred_until - now)
        if len(evidence.held) < ENOUGH_CRASHES:
            return SUSPECT
        under_way = evidence.trial_at > evidence.last_crash_at
        return ON_TRIAL if under_way and now - evidence.trial_at < TRIAL_S else SUSPECT

    def is_alert(self, origin: bytes, now: float) -> bool:
        """Tell whether requests of that route and caller have cost back ends a short while ago."""
        alarms = sum(now < until for until in self._alerts.get(origin, {}).values())
        return alarms >= ENOUGH_ALARMS

    def alerts(self, now: float) -> int:
        """Return for how many routes and callers that is so."""
        return sum(self.is_alert(origin, now) for origin in self._alerts)

    def note_crash(
        self, fingerprint: bytes, origin: bytes, backend: int, at: float, *, trial: bool
    ) -> Evidence:
        """Hold a lost back end against a request."""
        known = self._evidence.get(fingerprint, Evidence(origin))
        crash = Crash(backend, at, trial)
        return self.merge(fingerprint, replace(known, origin=origin, crashes=(crash,)))

    def note_answer(self, fingerprint: bytes, at: float) -> bool:
        """Clear a request that a back end has answered; tell whether anything was held against it.

        Where nothing was, nothing is noted: a popular request would never be forgotten.
        """
        evidence = self._evidence.get(fingerprint)
        if evidence is None or not evidence.held:
            return False
        cleared = evidence.cleared + 1
        self.merge(fingerprint, Evidence(evidence.origin, (), cleared, at, evidence.trial_at))
        return True

    def note_survivor(self, fingerprint: bytes, backend: int) -> bool:
        """Take back one crash; tell whether it was held against the request."""
        evidence = self._evidence.get(fingerprint)
        if evidence is None:
            return False
        crash = next((one for one in evidence.held if one.backend == backend), None)
        if crash is None:
            return False
        self.merge(fingerprint, replace(evidence, crashes=(replace(crash, survived=True),)))
        return True

    def lost_under(
        self, backend: int, sent_at: float, starts_known_at: float = math.inf
    ) -> tuple[bytes, ...]:
        """Return the requests that a back end cannot have crashed under, since it answers.

        An answer shows that it has not if it comes before a crashed process could have started
        again, or so late that the new process would be known as another back end.

        :param sent_at: when the call left that it has answered.
        :param starts_known_at: up to when all entries of back ends are known; while the store is
            away, one that has started again at the same address answers under its old entry.
        """
        return tuple(
            fingerprint
            for fingerprint in self._lost_under.get(backend, ())
            for crash in self._evidence[fingerprint].held
            if crash.backend == backend and _shows_same_process(crash.at, sent_at, starts_known_at)
        )

    def begin_trial(self, fingerprint: bytes, now: float) -> bool:
        """Note that a trial begins here; tell whether others must wait for its end."""
        evidence = self._evidence.get(fingerprint)
        if evidence is None or len(evidence.held) < ENOUGH_CRASHES:
            return False
        self.merge(fingerprint, replace(evidence, trial_at=now))
        return True

    def is_worth_taking(self, fingerprint: bytes, told: Evidence, now: float) -> bool:
        """Tell whether another gateway's word is more than what is forgotten everywhere soon."""
        if fingerprint in self._evidence or not told.held:
            return True
        return told.kept_until - now >= LEAST_LEFT_S

    def merge(self, fingerprint: bytes, told: Evidence) -> Evidence:
        """Take evidence from here or from another gateway; return all there is now."""
        known = self._evidence.pop(fingerprint, None)
        evidence = told if known is None else known.merged(told)
        self._index(fingerprint, known, evidence)
        # At the end: what changed latest is dropped last.
        self._evidence[fingerprint] = evidence
        self._note_alert(fingerprint, evidence)
        while len(self._evidence) > MOST_REQUESTS:
            self._drop(next(iter(self._evidence)))
        return evidence

    def _index(self, fingerprint: bytes, known: Evidence | None, evidence: Evidence | None) -> None:
        """Keep track of which back ends are held against a request."""
        for crash in known.held if known is not None else ():
            requests = self._lost_under.get(crash.backend, set())
            requests.discard(fingerprint)
            if not requests:
                self._lost_under.pop(crash.backend, None)
        for crash in evidence.held if evidence is not None else ():
            self._lost_under.setdefault(crash.backend, set()).add(fingerprint)

    def _note_alert(self, fingerprint: bytes, evidence: Evidence) -> None:
        """Raise or take back what a request means for others of its origin."""
        until = evidence.alert_until
        if until != NEVER:
            self._alerts.setdefault(evidence.origin, {})[fingerprint] = until
        else:
            self._take_back_alert(fingerprint, evidence.origin)

    def _take_back_alert(self, fingerprint: bytes, origin: bytes) -> None:
        alerts = self._alerts.get(origin, {})
        alerts.pop(fingerprint, None)
        if not alerts:
            self._alerts.pop(origin, None)

    def _drop(self, fingerprint: bytes) -> None:
        """Forget a request."""
        evidence = self._evidence.pop(fingerprint)
        self._index(fingerprint, evidence, None)
        self._take_back_alert(fingerprint, evidence.origin)

    def forget(self, now: float) -> None:
        """Drop what decides nothing any more."""
        ended = [one for one, evidence in self._evidence.items() if evidence.kept_until <= now]
        for fingerprint in ended:
            self._drop(fingerprint)
