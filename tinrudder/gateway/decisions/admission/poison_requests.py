"""Tells poison requests, which crash the back ends that run them, from victims of crashes.

A call that is lost with its connection accuses two: the back end and the request.  The back end may
have crashed by itself, and then every request at work there looks guilty.  What tells them apart is
an answer: a poison request never gets one, from any back end, while a victim gets one from the
next.  So requests with lost calls are tried on one back end at a time, as canaries; an answer
clears them, and only those whose trial costs a back end too are barred.

All of this is a pure decision over evidence that gateways tell each other.  Evidence merges in any
order, any number of times, to the same result.  Moments are each gateway's own, and travel as
ages, which the way there makes too short.  So what clears a request is told by a count, not by
comparing moments, and of two moments of one event the earlier holds.  When the latest ones held,
evidence that was cleared came back wherever its way had been longer than that of the answer, was
passed on as news, and kept itself alive: one request that lost a call and was answered 0.15 s
later made each of 113 gateways, whose datagrams took 0.05 to 0.5 s, send 32, 565 and 11,900
datagrams a second after 1.5, 2 and 2.5 s.  Now 40 of them make each send 14 for a request, and
then only what repeats (virtual time).
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from enum import Enum, auto

from msgspec import Struct
from msgspec.structs import replace

from tinrudder.common.crash_limit import ENOUGH_CRASHES

NEVER = float("-inf")
FIRST_BAR_S = 20.0
BAR_GROWTH = 6.0
LONGEST_BAR_S = 3600.0
"""How long a request is barred after one failed trial, and how much longer after each further one.
A victim, barred since a rack failed under it and under its trial, is out again in seconds; a poison
request costs one back end more at 20, 140 and 860 s, then each hour.  The users' rule allows three
tries in a day after it is known; a start of all gateways, which forgets it, takes one more."""
TRIAL_S = 1.0
"""How long one gateway's trial keeps all others from one: a call takes tens of milliseconds, and
after this its gateway is taken for dead."""
KEPT_S = 600.0
"""How long evidence is kept after its last crash, and after the end of a bar, a choice: 37 times
the longest pause seen between two tries of one client, 16 s."""
LEAST_LEFT_S = 60.0
"""How much longer evidence must be kept to be taken where nothing is known of the request: each
gateway forgets by its own clock, and would take back from others what they forget a moment later,
and pass it on.  Twice a pause of 30 s in which news is not read, a choice.  Without this, ten
requests that lost a call and were never answered made each of 113 gateways, whose datagrams took
0.05 to 0.5 s, send 24 datagrams a second, all that its bucket allows, from 600 s on and without end
(virtual time)."""
CLEARED_KEPT_S = 30.0
"""How long an answer is kept: until every gateway has heard that it clears the request."""
ALERT_S = 60.0
"""How long after a back end was lost in a trial all requests of that caller on that route may begin
as canaries, since a caller that varies its body sends a new poison request each time: 40 such
scatters over 10 shards, 1.5 s apart, cost 68 back ends, without this 365 (emulated, 8 gateways)."""
ENOUGH_ALARMS = 2
"""How many different requests must have lost one: a single one that comes again is barred by
itself, and a canary costs each request of the route a call's time, 0.03 to 0.15 of the worth of a
calm day where all of them begin so."""
SOONEST_RESTART_S = 0.5
"""An answer to a call that was sent within this time after a loss comes from the process of before:
the ones seen take seconds until they listen again."""
RESTART_KNOWN_S = 4.0
"""After this time a restart would be known by the entry that the new process writes: three of its
heartbeats of 1.2 s, and the way through the store."""
MOST_REQUESTS = 1024
"""How many requests evidence is kept for, 1.5 KB each at most (traced allocations, ten crashes
each), so 1.5 MB in all; what changed longest ago is dropped."""
MOST_CRASHES_OF_A_KIND = 5
"""Crashes kept of a request, the latest inside and outside of trials each: more decide nothing."""


class Crash(Struct, frozen=True):
    """A back end that was lost under a request; one start of a back end is lost once.

    :param backend: a number drawn from its id and the moment of its start.
    :param at: monotonic time at which its connection ended.
    :param trial: the call was the only one in progress of a request that was under suspicion.
    :param survived: it turned out that only the connection was lost.  That is remembered, or other
        gateways' word would bring the crash back.
    """

    backend: int
    at: float
    trial: bool
    survived: bool = False

    def merged(self, other: Crash) -> Crash:
        """Return what two gateways say together of the same loss."""
        return Crash(
            self.backend,
            min(self.at, other.at),
            self.trial or other.trial,
            self.survived or other.survived,
        )


class Evidence(Struct, frozen=True):
    """What is known of one request.

    :param origin: the route and the caller; see :meth:`PoisonRequests.judge`.
    :param crashes: those that no answer to it has cleared, the survived ones among them.
    :param cleared: how often what was held against it has been dropped; of two pieces of evidence,
        the one that was cleared more often holds, and of the other only its trial.
    :param cleared_at: when that was last; :data:`NEVER` if it was not.
    :param trial_at: when the latest trial began.
    """

    origin: bytes
    crashes: tuple[Crash, ...] = ()
    cleared: int = 0
    cleared_at: float = NEVER
    trial_at: float = NEVER

    @property
    def held(self) -> tuple[Crash, ...]:
        """Return the crashes that are held against the request."""
        return tuple(crash for crash in self.crashes if not crash.survived)

    @property
    def last_crash_at(self) -> float:
        """Return when the latest back end was lost."""
        return max((crash.at for crash in self.held), default=NEVER)

    @property
    def failed_trials(self) -> int:
        """Count the trials that cost a back end when enough others had been lost."""
        in_order = sorted(self.held, key=lambda crash: (crash.at, crash.backend))
        return sum(crash.trial for crash in in_order[ENOUGH_CRASHES - 1 :])

    @property
    def barred_until(self) -> float:
        """Return when the next trial is allowed; :data:`NEVER` for a request that is not barred."""
        failed = self.failed_trials
        if not failed:
            return NEVER
        bar_s = min(LONGEST_BAR_S, FIRST_BAR_S * BAR_GROWTH ** (failed - 1))
        return self.last_crash_at + bar_s

    @property
    def alert_until(self) -> float:
        """Return until when other requests of the same origin begin as canaries."""
        in_trials = [crash.at for crash in self.held if crash.trial]
        return max(in_trials) + ALERT_S if in_trials else NEVER

    @property
    def kept_until(self) -> float:
        """Return when it decides nothing any more."""
        if not self.held:
            latest = max((crash.at for crash in self.crashes), default=NEVER)
            return max(self.cleared_at, latest) + CLEARED_KEPT_S
        return max(self.last_crash_at, self.barred_until) + KEPT_S

    def merged(self, other: Evidence) -> Evidence:
        """Return what both say together; the order does not matter."""
        trial_at = max(self.trial_at, other.trial_at)
        if self.cleared != other.cleared:
            newer = self if self.cleared > other.cleared else other
            return replace(newer, origin=self.origin, trial_at=trial_at)
        found: dict[int, Crash] = {}
        for crash in self.crashes + other.crashes:
            found[crash.backend] = crash.merged(found.get(crash.backend, crash))
        return Evidence(
            self.origin,
            _latest(found.values()),
            self.cleared,
            min(self.cleared_at, other.cleared_at),
            trial_at,
        )


def _latest(crashes: Iterable[Crash]) -> tuple[Crash, ...]:
    """Return the crashes that are kept, in one order whatever order they came in."""
    in_order = sorted(crashes, key=lambda crash: (crash.at, crash.backend), reverse=True)
    trials = [crash for crash in in_order if crash.trial][:MOST_CRASHES_OF_A_KIND]
    others = [crash for crash in in_order if not crash.trial][:MOST_CRASHES_OF_A_KIND]
    return tuple(trials + others)


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
