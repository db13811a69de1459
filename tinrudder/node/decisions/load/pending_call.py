"""One shard call on its way through queue, limit and replica choice."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from tinrudder.node.decisions.backend_record import BackendRecord
from tinrudder.node.decisions.replica_choice import ReplicaChoicePolicy
from tinrudder.node.resources.model import Priority

if TYPE_CHECKING:
    from tinrudder.node.decisions.load.tenant_flow import TenantFlow


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
