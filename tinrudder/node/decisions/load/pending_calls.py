"""Calls that wait for room at a back end: one call, and one tenant's calls at one back end.

Owns the order within a tenant: three priority classes, none passed over without end.  Relies on
the queue (``fair_queue``) for the order among tenants and for taking a call out of every flow.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from tinrudder.node.decisions.backend_record import BackendRecord
from tinrudder.node.decisions.load.service_pace import NEVER, ServicePace
from tinrudder.node.decisions.replica_choice import ReplicaChoicePolicy
from tinrudder.node.resources.model import Priority

CLASS_RANK: dict[Priority, int] = {
    Priority.INTERACTIVE: 0,
    Priority.PLANNING: 1,
    Priority.BATCH: 2,
}
MAX_PASSED_OVER = (0, 8, 32)
"""How often a waiting class may be passed over by more urgent ones of its own tenant."""
COMPACTION_SLACK = 64
"""Entries, beyond twice the calls that wait, at which those that no longer wait are dropped: it
bounds memory at a cost shared by the pushes since."""


def _ignore_shed() -> None:
    """Do nothing: for callers that only watch their deadline."""


@dataclass(slots=True, eq=False)
class PendingCall:
    """A call that wants any one of its candidate back ends.

    :param cost: estimated work, in shards.
    :param deadline: monotonic time after which it is not worth sending.
    :param choice: how a replica is chosen among the candidates with room.
    :param on_dispatch: called with the chosen back end once there is room.
    :param on_shed: called instead when the call can no longer be answered in time, or its
        tenant has no queue place left; nothing of it was sent.
    :param places: where it stands in the queue; owned by the queue.
    """

    tenant: str
    weight: int
    priority: Priority
    cost: float
    candidates: tuple[BackendRecord, ...]
    deadline: float
    on_dispatch: Callable[[BackendRecord], None]
    on_shed: Callable[[], None] = _ignore_shed
    choice: ReplicaChoicePolicy | None = None
    waiting: bool = False
    places: tuple[TenantFlow, ...] = ()


@dataclass(slots=True, eq=False)
class TenantFlow:
    """One tenant's calls at one back end.

    A call stands in the flow of each of its candidates.  Taken or withdrawn elsewhere, it stays
    in ``classes`` with ``waiting`` false until it is reached or the flow is compacted.

    :param account: what the tenant has used here, in the unit of the queue.
    :param waiting: calls that really wait.
    :param work: their cost, each divided by its number of candidates, by class.
    :param entries: calls in ``classes``, those that no longer wait included.
    :param pace: how fast the tenant's calls are taken here.
    :param passed_over: how often each class was passed over since it was last served.
    """

    tenant: str
    backend: BackendRecord
    weight: int = 1
    account: float = 0.0
    waiting: int = 0
    work: list[float] = field(default_factory=lambda: [0.0, 0.0, 0.0])
    classes: list[deque[PendingCall] | None] = field(default_factory=lambda: [None, None, None])
    entries: int = 0
    passed_over: list[int] = field(default_factory=lambda: [0, 0, 0])
    queued: bool = False
    pace: ServicePace = field(default_factory=ServicePace)

    def add(self, call: PendingCall) -> None:
        """Append a call to its class."""
        rank = CLASS_RANK[call.priority]
        calls = self.classes[rank]
        if calls is None:
            calls = self.classes[rank] = deque()
        calls.append(call)
        self.entries += 1
        self.waiting += 1
        self.work[rank] += call.cost / len(call.candidates)
        if self.entries > 2 * self.waiting + COMPACTION_SLACK:
            self._compact()

    def remove(self, call: PendingCall) -> None:
        """Account for a call that waits no longer."""
        self.waiting -= 1
        if self.waiting == 0:
            self._clear()
            return
        self.work[CLASS_RANK[call.priority]] -= call.cost / len(call.candidates)

    def next_call(self) -> PendingCall | None:
        """Return the call to serve next and leave its accounting to :meth:`remove`.

        The most urgent class goes first, but a class that waits is passed over at most
        ``MAX_PASSED_OVER`` times in a row, so that no class starves.
        """
        chosen = -1
        for rank in (0, 1, 2):
            if not self._has_waiting(rank):
                self.passed_over[rank] = 0
            elif chosen < 0 or self.passed_over[rank] >= MAX_PASSED_OVER[rank]:
                chosen = rank
        if chosen < 0:
            return None
        for rank in range(chosen + 1, 3):
            self.passed_over[rank] += 1
        self.passed_over[chosen] = 0
        calls = self.classes[chosen]
        assert calls is not None
        self.entries -= 1
        return calls.popleft()

    def work_ahead(self, priority: Priority) -> float:
        """Return the waiting work that a new call of ``priority`` finds ahead of it."""
        return sum(self.work[: CLASS_RANK[priority] + 1])

    def _has_waiting(self, rank: int) -> bool:
        """Tell whether a class has a call that waits, dropping those before it that do not."""
        calls = self.classes[rank]
        while calls:
            if calls[0].waiting:
                return True
            calls.popleft()
            self.entries -= 1
        return False

    def _compact(self) -> None:
        """Drop calls that no longer wait; the cost is shared by the pushes since the last time."""
        for rank, calls in enumerate(self.classes):
            if calls:
                self.classes[rank] = deque(call for call in calls if call.waiting)
        self.entries = sum(len(calls) for calls in self.classes if calls)

    def _clear(self) -> None:
        """Free everything of a flow in which nothing waits."""
        for rank in (0, 1, 2):
            self.classes[rank] = None
            self.work[rank] = 0.0
            self.passed_over[rank] = 0
        self.entries = 0
        self.pace.last_at = NEVER
