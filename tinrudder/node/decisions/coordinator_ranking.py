"""In which order an entry asks the coordinators of a service.

Owns what this entry has seen of each coordinator; relies on ``query.coordinator_watch`` for
probes.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from tinrudder.cluster.view import Member, MemberStatus
from tinrudder.common.rendezvous import rendezvous_score
from tinrudder.timers import Timers

CROSS_ZONE_COST = 4
"""How many queries in flight a coordinator of another zone seems to have more.  Chosen, not
measured: zones are 1 ms apart, a round trip that a few queries in front outweigh."""
FIRST_AVOIDANCE_S = 0.5
"""Seconds that a coordinator is left alone after a failure, doubled with each in a row.  Chosen,
not measured: about the time in which membership suspects a dead node."""
LONGEST_AVOIDANCE_S = 8.0
"""Seconds between probes of a coordinator that keeps failing: how late one that is back is
noticed.  Chosen, not measured."""
MAX_COUNTED_FAILURES = 10
"""Failures in a row that are counted; beyond it the exponent would only grow.  The longest
avoidance is reached at the fifth."""


@dataclass(slots=True)
class _Observed:
    """What this entry has seen of one coordinator.

    :param tie_break: differs between entries, so equals do not all pick the same coordinator.
    :param failures: failures in a row.
    :param avoid_until: monotonic time until which nothing is sent there.
    """

    incarnation: int
    tie_break: int
    in_flight: int = 0
    failures: int = 0
    avoid_until: float = 0.0


class CoordinatorRanking:
    """Own zone first, then the fewest of our queries in flight; none that just failed us.

    One query in another zone counts as ``CROSS_ZONE_COST`` in our own: a coordinator next door
    keeps its advantage of one round trip until it has clearly more of our work than others.

    A coordinator that failed gets nothing before a probe has succeeded: behind a silent cut a
    query sent to try it would wait out its whole deadline.
    """

    def __init__(self, node_name: str, zone: str, timers: Timers) -> None:
        """Rank as seen from ``node_name`` in ``zone``."""
        self._node_name = node_name
        self._zone = zone
        self._timers = timers
        self._observed: dict[str, _Observed] = {}
        self._failed: dict[str, Member] = {}
        self.on_failed_changed: Callable[[], None] | None = None

    def failed_names(self) -> frozenset[str]:
        """Return the members that failed and have not answered since."""
        return frozenset(self._failed)

    def order(self, members: Sequence[Member]) -> list[Member]:
        """Return the members to ask, best first, without those to be left alone."""
        return sorted((m for m in members if m.name not in self._failed), key=self._cost)

    def due_for_probe(self) -> list[Member]:
        """Return the members that failed and have been left alone long enough."""
        if not self._failed:
            return []
        now = self._timers.time()
        failed = self._failed.values()
        return [member for member in failed if now >= self._of(member).avoid_until]

    def begin(self, member: Member) -> None:
        """Count a query sent to ``member``."""
        self._of(member).in_flight += 1

    def end(self, member: Member) -> None:
        """Count a query as ended; a member forgotten meanwhile starts at none."""
        observed = self._of(member)
        observed.in_flight = max(0, observed.in_flight - 1)

    def succeed(self, member: Member) -> None:
        """Forget earlier failures."""
        observed = self._of(member)
        observed.failures = 0
        observed.avoid_until = 0.0
        if self._failed.pop(member.name, None) is not None:
            self._tell()

    def fail(self, member: Member) -> None:
        """Leave a member alone for a while, longer after every failure in a row."""
        observed = self._of(member)
        now = self._timers.time()
        if observed.avoid_until > now:
            return
        avoidance_s = min(LONGEST_AVOIDANCE_S, FIRST_AVOIDANCE_S * 2**observed.failures)
        observed.failures = min(observed.failures + 1, MAX_COUNTED_FAILURES)
        observed.avoid_until = now + avoidance_s
        known = self._failed.get(member.name)
        self._failed[member.name] = member
        if known is None:
            self._tell()

    def keep_only(self, members: Mapping[str, Member]) -> None:
        """Forget members that are gone or have started anew."""
        for name, observed in tuple(self._observed.items()):
            member = members.get(name)
            if member is None or member.incarnation != observed.incarnation:
                del self._observed[name]
                self._failed.pop(name, None)

    def _tell(self) -> None:
        if self.on_failed_changed is not None:
            self.on_failed_changed()

    def _of(self, member: Member) -> _Observed:
        """Return what is known; a restarted process starts afresh."""
        observed = self._observed.get(member.name)
        if observed is None or observed.incarnation != member.incarnation:
            tie_break = rendezvous_score(self._node_name, member.name)
            observed = _Observed(member.incarnation, tie_break)
            self._observed[member.name] = observed
        return observed

    def _cost(self, member: Member) -> tuple[bool, int, int]:
        """Return the sort key."""
        observed = self._of(member)
        distance = 0 if member.zone == self._zone else CROSS_ZONE_COST
        is_suspect = member.status is MemberStatus.SUSPECT
        return is_suspect, observed.in_flight + distance, observed.tie_break
