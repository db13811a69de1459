"""What a run recorded: typed events that the checkers read, whichever mode wrote them.

All times are seconds since the start of the run.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

import msgspec

from tinrudder.node.backends.messages import SearchRequest
from tinrudder_lab.datasets import DataRow

LOST = "lost"
LEFT = "left"


class CallStage(enum.StrEnum):
    """How far a back end came with a call."""

    RECEIVED = "received"
    STARTED = "started"
    COMPLETED = "completed"
    REFUSED = "refused"
    CANCELLED = "cancelled"


class NodeStage(enum.StrEnum):
    """What happened to a node."""

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

    :param query: the lab's own number of it; :param session: queries that page one listing.
    :param request_key: set for a request that must run at most once.
    :param valid_until: nothing of it may be sent from then on, seconds.
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
    """A caller got an outcome, ``LOST`` when its connection broke, ``LEFT`` when it went away."""

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
    """A back end's view of one call.

    :param node: which node sent it, empty where the back end cannot know.
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
    """Return what identifies an operation over all its submissions, ``None`` for a search."""
    if request.operation is None:
        return None
    return f"{request.operation}/{request.request_key}"


class DrainSigned(msgspec.Struct, frozen=True, tag=True):
    """The first sign that a back end leaves, from whatever source."""

    at: float
    backend: str


class RevisionSeen(msgspec.Struct, frozen=True, tag=True):
    """A node enforces a revision from now on; ``start`` numbers the node's starts."""

    at: float
    node: str
    start: int
    revision: int


class NodeSeen(msgspec.Struct, frozen=True, tag=True):
    """Something happened to a node.

    :param unfinished: requests that were still open when its process ended.
    :param address: where it listens for other nodes, as their errors name it; empty where it is
        not known.
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
    """Every event of one run, by kind, in the order of time."""

    sent: dict[int, QuerySent] = field(default_factory=dict)
    ended: dict[int, QueryEnded] = field(default_factory=dict)
    doubled: list[QueryEnded] = field(default_factory=list)
    calls: list[CallSeen] = field(default_factory=list)
    drains: list[DrainSigned] = field(default_factory=list)
    revisions: list[RevisionSeen] = field(default_factory=list)
    nodes: list[NodeSeen] = field(default_factory=list)
    versions: list[VersionPublished] = field(default_factory=list)
    faults: list[FaultSet] = field(default_factory=list)
    finished_at: float = 0.0

    def end_query(self, event: QueryEnded) -> None:
        """Record an outcome; a second one for the same query is kept apart."""
        if event.query in self.ended:
            self.doubled.append(event)
            return
        self.ended[event.query] = event
