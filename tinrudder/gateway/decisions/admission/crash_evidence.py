"""What do the crashes under one request say against it, and for how long?

Evidence merges to the same result in any order, however often it is told. Moments travel between
gateways as ages, which the way there makes too short, so what clears a request is told by a count
and not by comparing moments, and of two moments of one event the earlier holds. With the later one
holding, cleared evidence comes back wherever its way is longer than that of the answer, and keeps
itself alive: one request that lost a call and was answered 0.15 s later made each of 113 gateways,
whose datagrams took 0.05 to 0.5 s, send 32, 565 and 11,900 datagrams a second after 1.5, 2 and 2.5
s. With the count and the earlier moment, 40 gateways each send 14 for such a request and then only
what repeats (virtual time).

Inputs: back ends that were lost under the request, each with the moment of its loss (monotonic
seconds of this gateway), how often answers cleared it, and trials; own and told by others.

Answer: from when on the next trial is allowed, until when others of its origin begin as canaries,
and until when the evidence is kept.

Owns: nothing; evidence is immutable and kept in the table of poison requests.

Shown by: log line ``request_barred`` with the fields ``crashes`` and ``failed_trials``.

When an input is missing or old: a crash that was not told of counts for nothing; all evidence ends
by its own age.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct
from msgspec.structs import replace

from tinrudder.common.crash_limit import ENOUGH_CRASHES

NEVER = float("-inf")
"""A moment that never came, monotonic seconds."""
FIRST_BAR_S = 20.0
"""How long a request is barred after one failed trial, seconds.  A victim, barred since a rack
failed under it and under its trial, is out again this soon; chosen, not measured."""
BAR_GROWTH = 6.0
"""How many times longer each further failed trial bars: with :data:`FIRST_BAR_S` and
:data:`LONGEST_BAR_S` a poison request costs one back end more at 20, 140 and 860 s, then each hour
(arithmetic)."""
LONGEST_BAR_S = 3600.0
"""The longest bar, seconds.  At most three tries in a day may cost a back end once the request is
known, as is promised of poison requests; a start of all gateways, which forgets it, takes one
more."""
KEPT_S = 600.0
"""How long evidence is kept after its last crash, and after the end of a bar, a choice: 37 times
the longest pause seen between two tries of one client, 16 s."""
CLEARED_KEPT_S = 30.0
"""How long an answer is kept, seconds. Chosen, not measured: until every gateway has heard that it
clears the request."""
ALERT_S = 60.0
"""How long after a back end was lost in a trial all requests of that caller on that route may begin
as canaries, since a caller that varies its body sends a new poison request each time: 40 such
scatters over 10 shards, 1.5 s apart, cost 68 back ends, without this 365 (emulated, 8 gateways)."""
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
