"""How far each shard of a running query has come.

Owns the calls of one shard; relies on its listener, the fan-out, to act on what happens to them.
"""

from __future__ import annotations

from typing import Protocol

from tinrudder.node.backends.messages import BackendReply, ShardRows
from tinrudder.node.decisions.backend_record import BackendRecord
from tinrudder.node.decisions.load.pending_calls import PendingCall
from tinrudder.node.outcomes import MissingReason
from tinrudder.node.query.dispatcher import SentCall
from tinrudder.node.query.plan import PlannedShard


class ProgressListener(Protocol):
    """The query a shard belongs to."""

    def on_dispatch(self, progress: ShardProgress, backend: BackendRecord) -> None:
        """Send the shard's waiting call to ``backend``, which has room."""

    def on_shed(self, progress: ShardProgress) -> None:
        """Take back the shard's waiting call, which will not be sent."""

    def on_reply(self, progress: ShardProgress, sent: SentCall, reply: BackendReply) -> None:
        """Take the reply to one of the shard's calls."""


class ShardProgress:
    """One shard of one running query.

    :ivar rows: its rows once it has answered.
    :ivar problem: why it was given up, if it was.
    :ivar last_reason: how its latest ended call failed.
    :ivar touched: some ended call may have been started by its back end.
    :ivar pending: its call that waits for room, if any.
    :ivar calls: its calls in flight, oldest first.
    :ivar first_sent_at: monotonic time of its first call, seconds.
    :ivar tried: back ends it was sent to.
    """

    __slots__ = (
        "_listener",
        "attempts",
        "calls",
        "first_sent_at",
        "hedges",
        "last_reason",
        "pending",
        "planned",
        "problem",
        "rows",
        "touched",
        "tried",
    )

    def __init__(self, planned: PlannedShard, listener: ProgressListener) -> None:
        """Start without a call."""
        self._listener = listener
        self.planned = planned
        self.rows: ShardRows | None = None
        self.problem: MissingReason | None = None
        self.last_reason: MissingReason | None = None
        self.first_sent_at: float | None = None
        self.attempts = 0
        self.hedges = 0
        self.touched = False
        self.pending: PendingCall | None = None
        self.calls: list[SentCall] = []
        self.tried: tuple[BackendRecord, ...] = ()

    @property
    def not_started(self) -> bool:
        """Tell whether no back end can have started this shard's call so far."""
        if self.touched or self.rows is not None:
            return False
        return not any(sent.call.may_have_left for sent in self.calls)

    @property
    def settled(self) -> bool:
        """Tell whether this shard is done, with or without rows."""
        return self.rows is not None or self.problem is not None

    def dispatch(self, backend: BackendRecord) -> None:
        """Pass on that ``backend`` has room for the waiting call."""
        self._listener.on_dispatch(self, backend)

    def shed(self) -> None:
        """Pass on that the waiting call will not be sent."""
        self._listener.on_shed(self)

    def take_reply(self, sent: SentCall, reply: BackendReply) -> None:
        """Pass on a reply."""
        self._listener.on_reply(self, sent, reply)

    def missing_reason(self) -> MissingReason:
        """Say truthfully why the shard is not in an answer given now."""
        if self.problem is not None:
            return self.problem
        if self.calls:
            return MissingReason.TIMED_OUT
        return self.last_reason or MissingReason.NOT_ASKED
