"""Interface of the queue of calls that wait for a free place at a back end.

Owns no state.  The dispatcher uses the interface; ``fair_queue`` implements it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from tinrudder.node.decisions.backend_record import BackendRecord
from tinrudder.node.decisions.load.pending_calls import PendingCall
from tinrudder.node.resources.model import Priority


@dataclass(frozen=True, slots=True)
class IncomingCalls:
    """Calls that an arriving query would add to the queue of one back end.

    :param work: total cost of the calls.
    :param seconds_per_work: time per unit of work at the back end; latency / limit by Little's law.
    """

    tenant: str
    weight: int
    priority: Priority
    work: float
    seconds_per_work: float


class CallQueue(Protocol):
    """Decides which waiting call a back end takes next.

    A call is queued at each of its candidates; the first back end with a free place takes it.
    """

    def push(self, call: PendingCall) -> None:
        """Add a waiting call."""

    def pop(self, backend: BackendRecord) -> PendingCall | None:
        """Remove and return the next call for ``backend``, ``None`` if none waits."""

    def pop_above_limit(self, backend: BackendRecord) -> PendingCall | None:
        """Remove and return the next call that may exceed the limit of ``backend``, if any."""

    def discard(self, call: PendingCall) -> None:
        """Remove a call that no longer waits; no-op if it is not queued."""

    def charge_unqueued(self, call: PendingCall, backend: BackendRecord) -> None:
        """Charge the tenant for a call that was sent to ``backend`` without waiting."""

    def expected_wait_s(self, backend: BackendRecord, incoming: IncomingCalls) -> float:
        """Return the seconds until ``backend`` is expected to have taken all ``incoming`` calls.

        A call with several candidates counts in equal parts at each.
        """

    def __len__(self) -> int:
        """Return the number of waiting calls."""
