"""Order in which an entry node tries the coordinators of a service.

Owns this node's observations of each coordinator; ``query.coordinator_prober`` sends the probes.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from tinrudder.cluster.view import Member, MemberStatus
from tinrudder.common.rendezvous import rendezvous_score
from tinrudder.timers import Timers

CROSS_ZONE_COST = 4
"""Queries in flight added to the cost of a coordinator in another zone.  Zones are 1 ms apart, a
round trip that a few queries ahead in the queue outweigh."""
INITIAL_BACKOFF_S = 0.5
"""Seconds of back-off after a coordinator's first failure, doubled with each consecutive one: about
the time in which membership suspects a dead node."""
MAX_BACKOFF_S = 8.0
"""Maximum seconds between probes of a coordinator that keeps failing, and so the longest delay
until its recovery is noticed."""
MAX_COUNTED_FAILURES = 10
"""Maximum of the counter of consecutive failures, so that the back-off exponent stays bounded.
The longest back-off is reached at the fifth failure."""


@dataclass(slots=True)
class _CoordinatorState:
    """Observations of one coordinator by this entry node.

    :param tie_break: differs between entry nodes, so that they do not all pick the same coordinator
        among equal ones.
    :param failures: consecutive failures.
    :param backoff_until: monotonic time at which the back-off ends and the next probe is due.
    """

    incarnation: int
    tie_break: int
    in_flight: int = 0
    failures: int = 0
    backoff_until: float = 0.0


class CoordinatorRanking:
    """Ranks coordinators by zone and by this node's queries in flight; leaves out failed ones.

    A coordinator in another zone is ranked as if it had ``CROSS_ZONE_COST`` more queries in
    flight: a coordinator in the own zone keeps its advantage of one round trip until it has
    clearly more of this node's queries than others.

    A failed coordinator gets no queries until a probe has succeeded: behind a network partition
    that drops packets silently, a query sent as a trial would wait until its deadline.
    """

    def __init__(self, node_name: str, zone: str, timers: Timers) -> None:
        """Rank for the entry node ``node_name`` in ``zone``."""
        self._node_name = node_name
        self._zone = zone
        self._timers = timers
        self._states: dict[str, _CoordinatorState] = {}
        self._failed: dict[str, Member] = {}
        self.on_failed_changed: Callable[[], None] | None = None

    def failed_names(self) -> frozenset[str]:
        """Return the names of the members that failed and have not succeeded since."""
        return frozenset(self._failed)

    def order(self, members: Sequence[Member]) -> list[Member]:
        """Return the members to try, best first, without the failed ones."""
        return sorted((m for m in members if m.name not in self._failed), key=self._cost)

    def due_for_probe(self) -> list[Member]:
        """Return the failed members whose back-off has ended."""
        if not self._failed:
            return []
        now = self._timers.time()
        failed = self._failed.values()
        return [member for member in failed if now >= self._state_of(member).backoff_until]

    def begin(self, member: Member) -> None:
        """Count a query sent to ``member``."""
        self._state_of(member).in_flight += 1

    def end(self, member: Member) -> None:
        """Count a query as ended; the counter of a member removed meanwhile stays at 0."""
        state = self._state_of(member)
        state.in_flight = max(0, state.in_flight - 1)

    def record_success(self, member: Member) -> None:
        """Clear the failures of ``member`` after a success."""
        state = self._state_of(member)
        state.failures = 0
        state.backoff_until = 0.0
        if self._failed.pop(member.name, None) is not None:
            self._notify_failed_changed()

    def record_failure(self, member: Member) -> None:
        """Start a back-off for a member, longer after every consecutive failure."""
        state = self._state_of(member)
        now = self._timers.time()
        if state.backoff_until > now:
            return
        backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**state.failures)
        state.failures = min(state.failures + 1, MAX_COUNTED_FAILURES)
        state.backoff_until = now + backoff_s
        previous = self._failed.get(member.name)
        self._failed[member.name] = member
        if previous is None:
            self._notify_failed_changed()

    def retain_members(self, members: Mapping[str, Member]) -> None:
        """Drop the state of members that have left or restarted."""
        for name, state in tuple(self._states.items()):
            member = members.get(name)
            if member is None or member.incarnation != state.incarnation:
                del self._states[name]
                self._failed.pop(name, None)

    def _notify_failed_changed(self) -> None:
        if self.on_failed_changed is not None:
            self.on_failed_changed()

    def _state_of(self, member: Member) -> _CoordinatorState:
        """Return a member's state; a restarted process gets a new one."""
        state = self._states.get(member.name)
        if state is None or state.incarnation != member.incarnation:
            tie_break = rendezvous_score(self._node_name, member.name)
            state = _CoordinatorState(member.incarnation, tie_break)
            self._states[member.name] = state
        return state

    def _cost(self, member: Member) -> tuple[bool, int, int]:
        """Return the sort key: suspected members last, then queries in flight plus zone cost."""
        state = self._state_of(member)
        distance = 0 if member.zone == self._zone else CROSS_ZONE_COST
        is_suspect = member.status is MemberStatus.SUSPECT
        return is_suspect, state.in_flight + distance, state.tie_break
