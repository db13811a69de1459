"""One shard call on its way through queue, limit and replica choice."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from tinrudder.resources.model import Priority
from tinrudder.routing.backend_record import BackendRecord


@dataclass(slots=True, eq=False)
class PendingCall:
    """A call that wants any one of its candidate back ends.

    :param cost: estimated work, in shards.
    :param deadline: monotonic time after which it is not worth sending.
    :param on_dispatch: called with the chosen back end once there is room.
    """

    tenant: str
    weight: int
    priority: Priority
    cost: float
    candidates: tuple[BackendRecord, ...]
    deadline: float
    enqueued_at: float
    on_dispatch: Callable[[BackendRecord], None]
    waiting: bool = False
