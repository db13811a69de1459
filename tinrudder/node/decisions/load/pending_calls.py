"""Calls that wait for a back end: a single call, and one tenant's flow of calls at one back end.

Owns the order within a tenant: three priority classes without starvation.  The queue
(``fair_queue``) decides the order among tenants and removes a call from all its flows.
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
MAX_SKIPS = (0, 8, 32)
"""Number of times that a waiting class, by rank, may be skipped for more urgent classes of its
tenant."""
COMPACTION_SLACK = 64
"""Number of entries, beyond twice the waiting calls, at which entries that no longer wait are
dropped.  Bounds memory; the cost is amortized over the pushes since the last compaction."""


def _ignore_shed() -> None:
    """Do nothing: for callers that rely on their deadline alone."""


@dataclass(slots=True, eq=False)
class PendingCall:
    """A call that any one of its candidate back ends can serve.

    :param cost: estimated work, in shards.
    :param deadline: monotonic time after which the call is not worth sending.
    :param choice: policy that picks a replica among the candidates with a free place.
    :param on_dispatch: called with the back end once one has a free place.
    :param on_shed: called instead when the call can no longer be answered in time, or its
        tenant has no queue place left; the call was not sent.
    :param flows: flows in which the call is queued; owned by the queue.
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
    flows: tuple[TenantFlow, ...] = ()


@dataclass(slots=True, eq=False)
class TenantFlow:
    """One tenant's calls at one back end.

    A call is queued in the flow of each of its candidates.  After it was taken or cancelled through
    another flow, it stays in ``classes`` with ``waiting`` false until it is reached or the flow is
    compacted.

    :param start_tag: virtual start time of the tenant's next call here, advanced by cost / weight.
    :param waiting: number of calls that still wait.
    :param work: cost of the waiting calls by class, each divided by its number of candidates.
    :param classes: queued calls by class rank.
    :param entries: number of calls in ``classes``, including those that no longer wait.
    :param skips: how often each class was skipped since it was last served.
    :param in_heap: whether the flow is in the heap of its lane.
    :param pace: how fast the tenant's calls are taken here.
    """

    tenant: str
    backend: BackendRecord
    weight: int = 1
    start_tag: float = 0.0
    waiting: int = 0
    work: list[float] = field(default_factory=lambda: [0.0, 0.0, 0.0])
    classes: list[deque[PendingCall] | None] = field(default_factory=lambda: [None, None, None])
    entries: int = 0
    skips: list[int] = field(default_factory=lambda: [0, 0, 0])
    in_heap: bool = False
    pace: ServicePace = field(default_factory=ServicePace)

    def add(self, call: PendingCall) -> None:
        """Append a call to the queue of its class."""
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
        """Update the counts for a call that no longer waits."""
        self.waiting -= 1
        if self.waiting == 0:
            self._clear()
            return
        self.work[CLASS_RANK[call.priority]] -= call.cost / len(call.candidates)

    def next_call(self) -> PendingCall | None:
        """Dequeue the call to serve next; :meth:`remove` must then update the counts.

        The most urgent class goes first, but a waiting class is skipped at most
        ``MAX_SKIPS`` times in a row, so that no class starves.
        """
        chosen = -1
        for rank in (0, 1, 2):
            if not self._has_waiting(rank):
                self.skips[rank] = 0
            elif chosen < 0 or self.skips[rank] >= MAX_SKIPS[rank]:
                chosen = rank
        if chosen < 0:
            return None
        for rank in range(chosen + 1, 3):
            self.skips[rank] += 1
        self.skips[chosen] = 0
        calls = self.classes[chosen]
        assert calls is not None
        self.entries -= 1
        return calls.popleft()

    def work_ahead(self, priority: Priority) -> float:
        """Return the waiting work that is ahead of a new call of ``priority``."""
        return sum(self.work[: CLASS_RANK[priority] + 1])

    def _has_waiting(self, rank: int) -> bool:
        """Tell whether a class has a waiting call; drops entries before it that no longer wait."""
        calls = self.classes[rank]
        while calls:
            if calls[0].waiting:
                return True
            calls.popleft()
            self.entries -= 1
        return False

    def _compact(self) -> None:
        """Drop calls that no longer wait; the cost is amortized over the pushes since then."""
        for rank, calls in enumerate(self.classes):
            if calls:
                self.classes[rank] = deque(call for call in calls if call.waiting)
        self.entries = sum(len(calls) for calls in self.classes if calls)

    def _clear(self) -> None:
        """Reset a flow without waiting calls and free its memory."""
        for rank in (0, 1, 2):
            self.classes[rank] = None
            self.work[rank] = 0.0
            self.skips[rank] = 0
        self.entries = 0
        self.pace.last_taken_at = NEVER
