"""The recorded history of a run: typed events for the checkers, independent of the recording mode.

All times are seconds since the start of the run.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

import msgspec

from tinrudder.node.backends.messages import SearchRequest
from tinrudder_lab.datasets import DataRow

LOST = "lost"
DISCONNECTED = "left"


class CallStage(enum.StrEnum):
    """Stages of a call at a back end."""

    RECEIVED = "received"
    STARTED = "started"
    COMPLETED = "completed"
    REFUSED = "refused"
    CANCELLED = "cancelled"


class NodeStage(enum.StrEnum):
    """Events in the life of a node."""

    STARTED = "started"
    STOP_BEGUN = "stop_begun"
    STOPPED = "stopped"
    CRASHED = "crashed"
    PAUSED = "paused"
    WOKEN = "woken"
    ISOLATED = "isolated"
    REJOINED = "rejoined"


class QuerySent(msgspec.Struct, frozen=True, tag=True):
    """A caller sent a query.

    :param query: number assigned by the lab; :param session: shared by the queries that page
        through one listing.
    :param request_key: set for a request that must run at most once.
    :param valid_until: time from which no part of the request may be sent, seconds.
    """

    at: float
    query: int
    tenant: str
    index: str
    rule: str
    node: str
    limit: int
    match: dict[str, str] = {}
    request_key: str | None = None
    valid_until: float | None = None
    resubmission: bool = False
    session: int | None = None
    after: tuple[float, str] | None = None


class QueryEnded(msgspec.Struct, frozen=True, tag=True):
    """A caller got an outcome: ``LOST`` if its connection broke, ``DISCONNECTED`` if it left."""

    at: float
    query: int
    query_id: str
    outcome: str
    reason: str = ""
    detail: str = ""
    version: int | None = None
    rows: tuple[DataRow, ...] = ()
    included: tuple[str, ...] = ()
    missing: tuple[str, ...] = ()


class CallSeen(msgspec.Struct, frozen=True, tag=True, gc=False):
    """A stage of one call as a back end observed it.

    :param node: name of the node that sent the call, empty if the back end cannot know.
    """

    at: float
    backend: str
    node: str
    stage: CallStage
    query_id: str
    index: str
    version: int
    shard: str
    operation: str | None = None


def operation_name(request: SearchRequest) -> str | None:
    """Return a name that all submissions of an operation share, ``None`` for a search."""
    if request.operation is None:
        return None
    return f"{request.operation}/{request.request_key}"


class DrainSigned(msgspec.Struct, frozen=True, tag=True):
    """The first signal that a back end is draining, from any source."""

    at: float
    backend: str


class RevisionSeen(msgspec.Struct, frozen=True, tag=True):
    """A node has begun to enforce a revision; ``start`` is the number of the node's start."""

    at: float
    node: str
    start: int
    revision: int


class NodeSeen(msgspec.Struct, frozen=True, tag=True):
    """An event in the life of a node.

    :param unfinished: requests that were still open when its process ended.
    :param address: its peer address as it appears in other nodes' errors; empty if unknown.
    """

    at: float
    node: str
    stage: NodeStage
    unfinished: int = 0
    address: str = ""


class VersionPublished(msgspec.Struct, frozen=True, tag=True):
    """An index version was published; ``tenants`` may query it."""

    at: float
    index: str
    version: int
    shards: tuple[str, ...]
    tenants: tuple[str, ...]


class FaultSet(msgspec.Struct, frozen=True, tag=True):
    """The lab turned a fault on or off."""

    at: float
    text: str


Event = (
    QuerySent
    | QueryEnded
    | CallSeen
    | DrainSigned
    | RevisionSeen
    | NodeSeen
    | VersionPublished
    | FaultSet
)


@dataclass(slots=True)
class History:
    """All events of one run, by kind, in time order."""

    sent: dict[int, QuerySent] = field(default_factory=dict)
    ended: dict[int, QueryEnded] = field(default_factory=dict)
    duplicate_ends: list[QueryEnded] = field(default_factory=list)
    calls: list[CallSeen] = field(default_factory=list)
    drains: list[DrainSigned] = field(default_factory=list)
    revisions: list[RevisionSeen] = field(default_factory=list)
    nodes: list[NodeSeen] = field(default_factory=list)
    versions: list[VersionPublished] = field(default_factory=list)
    faults: list[FaultSet] = field(default_factory=list)
    finished_at: float = 0.0

    def end_query(self, event: QueryEnded) -> None:
        """Record an outcome; a second one for the same query goes to ``duplicate_ends``."""
        if event.query in self.ended:
            self.duplicate_ends.append(event)
            return
        self.ended[event.query] = event
