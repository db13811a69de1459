"""Queues of calls that wait for room at a back end.

The interface that the dispatcher relies on; ``fair_queue`` has the rule.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from tinrudder.node.decisions.backend_record import BackendRecord
from tinrudder.node.decisions.load.pending_calls import PendingCall
from tinrudder.node.resources.model import Priority


@dataclass(frozen=True, slots=True)
class Newcomer:
    """Calls of one query that may be queued at one back end.

    :param work: their cost.
    :param seconds_per_work: the back end's pace by Little's law, latency / limit.
    """

    tenant: str
    weight: int
    priority: Priority
    work: float
    seconds_per_work: float


class CallQueue(Protocol):
    """Decides which waiting call a back end with room takes next.

    A call stands in the queue of each of its candidates; the first back end with room takes it.
    """

    def push(self, call: PendingCall) -> None:
        """Add a waiting call."""

    def pop(self, backend: BackendRecord) -> PendingCall | None:
        """Take the next call that ``backend`` may serve."""

    def pop_lagging(self, backend: BackendRecord) -> PendingCall | None:
        """Take the next call that may exceed the limit of ``backend``, if there is one."""

    def discard(self, call: PendingCall) -> None:
        """Drop a call that no longer waits; a no-op if it is not here."""

    def record_direct(self, call: PendingCall, backend: BackendRecord) -> None:
        """Charge a call that went to ``backend`` without waiting."""

    def expected_wait_s(self, backend: BackendRecord, newcomer: Newcomer) -> float:
        """Return in how many seconds ``backend`` has taken all of a newcomer's calls.

        Calls with several candidates count in equal parts at each.
        """

    def __len__(self) -> int:
        """Return the number of waiting calls."""
