"""Which crashes count against a request, and how long is it barred?

Merging evidence is commutative, associative and idempotent, so gateways agree whatever the order or
number of reports. Gateways exchange timestamps as ages, and network delay makes an age too small on
arrival. Therefore clearing is ordered by a counter instead of by time, and of two timestamps for
one event the earlier one wins. If the later one won, cleared evidence would return wherever reports
of crashes are slower than the report of the answer, and would then circulate without end: one
request that lost a call and was answered 0.15 s later made each of 113 gateways, with datagram
delays of 0.05 to 0.5 s, send 32, 565 and 11,900 datagrams a second after 1.5, 2 and 2.5 s. With the
counter and the earlier timestamp, 40 gateways each send 14 datagrams for such a request, and then
only the periodic repeats (virtual time).

Inputs: the back ends lost while running the request, each with the time of the loss (monotonic
seconds of this gateway), how often answers cleared the request, and trials; observed here and
reported by other gateways.

Answer: when the next trial is allowed, until when other requests of the same origin begin as
canaries, and until when the evidence is kept.

Owns: nothing; evidence is immutable and kept in the table of poison requests.

Shown by: log line ``request_barred`` with the fields ``crashes`` and ``failed_trials``.

When an input is missing or old: a crash that was not reported does not count; all evidence expires
by its own age.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct
from msgspec.structs import replace

from tinrudder.common.crash_limit import CRASH_LIMIT

NEVER = float("-inf")
"""Time of an event that has not happened, monotonic seconds."""
FIRST_BAR_S = 20.0
"""How long a request is barred after its first failed trial, seconds. Short, so that an innocent
request is soon allowed again if a rack failure took down its back ends, including that of its
trial."""
BAR_GROWTH = 6.0
"""Factor by which each further failed trial lengthens the bar. With :data:`FIRST_BAR_S` and
:data:`MAX_BAR_S` a poison request costs one more back end at 20, 140 and 860 s, then one an
hour."""
MAX_BAR_S = 3600.0
"""Longest bar, seconds. The guarantee for poison requests is that a known one costs a back end in
at most three tries a day; restarting all gateways discards the evidence and allows one more."""
EVIDENCE_RETENTION_S = 600.0
"""How long evidence is kept after the last crash and after the end of a bar, seconds: 37 times the
longest pause seen between two tries of one client, 16 s."""
CLEARED_RETENTION_S = 30.0
"""How long the record that an answer cleared a request is kept, seconds: long enough for every
gateway to receive it."""
ALERT_S = 60.0
"""How long, in seconds, a back end lost in a trial makes other requests of the same caller and
route begin as canaries. A caller that varies the body sends a new poison request each time: 40 such
scatters over 10 shards, 1.5 s apart, cost 68 back ends, and 365 without this rule (emulated, 8
gateways)."""
MAX_CRASHES_PER_KIND = 5
"""Crashes kept per request, the latest ones in trials and the latest ones outside trials each.
Further crashes do not change any decision."""


class Crash(Struct, frozen=True):
    """A back end lost while it ran a request; each incarnation of a back end is counted once.

    :param backend: a hash of the back end's id and start time.
    :param at: monotonic time at which the connection ended.
    :param trial: the call was the only one in progress for a request under suspicion.
    :param survived: the back end was still running, only the connection was lost. Kept, because
        reports from other gateways would otherwise restore the crash.
    """

    backend: int
    at: float
    trial: bool
    survived: bool = False

    def merged(self, other: Crash) -> Crash:
        """Merge two gateways' records of the same crash."""
        return Crash(
            self.backend,
            min(self.at, other.at),
            self.trial or other.trial,
            self.survived or other.survived,
        )


class Evidence(Struct, frozen=True):
    """The evidence on one request.

    :param origin: the route and the caller; see :meth:`PoisonRequests.assess`.
    :param crashes: crashes not cleared by an answer, including those marked as survived.
    :param cleared: how often the evidence has been cleared. When two records differ in this, the
        higher one wins, and only the trial time of the other is kept.
    :param cleared_at: when the evidence was last cleared; :data:`NEVER` if it was not.
    :param trial_at: when the latest trial began.
    """

    origin: bytes
    crashes: tuple[Crash, ...] = ()
    cleared: int = 0
    cleared_at: float = NEVER
    trial_at: float = NEVER

    @property
    def counted_crashes(self) -> tuple[Crash, ...]:
        """Return the crashes that count against the request."""
        return tuple(crash for crash in self.crashes if not crash.survived)

    @property
    def last_crash_at(self) -> float:
        """Return when the latest counted crash happened."""
        return max((crash.at for crash in self.counted_crashes), default=NEVER)

    @property
    def failed_trials(self) -> int:
        """Count the trials that lost a back end once enough crashes had been recorded."""
        in_order = sorted(self.counted_crashes, key=lambda crash: (crash.at, crash.backend))
        return sum(crash.trial for crash in in_order[CRASH_LIMIT - 1 :])

    @property
    def barred_until(self) -> float:
        """Return when the next trial is allowed; :data:`NEVER` for a request that is not barred."""
        failed = self.failed_trials
        if not failed:
            return NEVER
        bar_s = min(MAX_BAR_S, FIRST_BAR_S * BAR_GROWTH ** (failed - 1))
        return self.last_crash_at + bar_s

    @property
    def alert_until(self) -> float:
        """Return until when other requests of the same origin begin as canaries."""
        in_trials = [crash.at for crash in self.counted_crashes if crash.trial]
        return max(in_trials) + ALERT_S if in_trials else NEVER

    @property
    def kept_until(self) -> float:
        """Return when this evidence can be discarded."""
        if not self.counted_crashes:
            latest = max((crash.at for crash in self.crashes), default=NEVER)
            return max(self.cleared_at, latest) + CLEARED_RETENTION_S
        return max(self.last_crash_at, self.barred_until) + EVIDENCE_RETENTION_S

    def merged(self, other: Evidence) -> Evidence:
        """Merge two records; the result does not depend on their order."""
        trial_at = max(self.trial_at, other.trial_at)
        if self.cleared != other.cleared:
            newer = self if self.cleared > other.cleared else other
            return replace(newer, origin=self.origin, trial_at=trial_at)
        found: dict[int, Crash] = {}
        for crash in self.crashes + other.crashes:
            found[crash.backend] = crash.merged(found.get(crash.backend, crash))
        return Evidence(
            self.origin,
            _latest_crashes(found.values()),
            self.cleared,
            min(self.cleared_at, other.cleared_at),
            trial_at,
        )


def _latest_crashes(crashes: Iterable[Crash]) -> tuple[Crash, ...]:
    """Return the crashes to keep, in an order that does not depend on the input order."""
    in_order = sorted(crashes, key=lambda crash: (crash.at, crash.backend), reverse=True)
    trials = [crash for crash in in_order if crash.trial][:MAX_CRASHES_PER_KIND]
    others = [crash for crash in in_order if not crash.trial][:MAX_CRASHES_PER_KIND]
    return tuple(trials + others)
