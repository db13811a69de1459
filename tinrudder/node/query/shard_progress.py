"""The progress of one shard of a running query.

Owns the calls of the shard; its listener, the fan-out, handles their events.
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
    """Handles the events of a shard's calls; implemented by the query's fan-out."""

    def on_dispatch(self, progress: ShardProgress, backend: BackendRecord) -> None:
        """Send the shard's submitted call to ``backend``, which has a free slot."""

    def on_shed(self, progress: ShardProgress) -> None:
        """Handle the dropping of the shard's submitted call, which will not be sent."""

    def on_reply(self, progress: ShardProgress, sent: SentCall, reply: BackendReply) -> None:
        """Handle the reply to one of the shard's calls."""


class ShardProgress:
    """One shard of one running query.

    :ivar rows: the shard's rows, ``None`` before it is answered.
    :ivar problem: why the shard was settled without rows, ``None`` if it was not.
    :ivar last_reason: why the latest failed call failed.
    :ivar may_have_started: a back end may have started a call that has ended.
    :ivar pending: the submitted call that waits for a free slot, if any.
    :ivar calls: the calls in flight, oldest first.
    :ivar first_sent_at: monotonic time in seconds at which the first call was sent.
    :ivar attempts: calls sent, without hedges.
    :ivar hedges: hedges sent.
    :ivar tried: back ends that were sent a call; cleared when all were tried and the last one shed.
    """

    __slots__ = (
        "_listener",
        "attempts",
        "calls",
        "first_sent_at",
        "hedges",
        "last_reason",
        "may_have_started",
        "pending",
        "planned",
        "problem",
        "rows",
        "tried",
    )

    def __init__(self, planned: PlannedShard, listener: ProgressListener) -> None:
        """Create the progress of a shard without calls."""
        self._listener = listener
        self.planned = planned
        self.rows: ShardRows | None = None
        self.problem: MissingReason | None = None
        self.last_reason: MissingReason | None = None
        self.first_sent_at: float | None = None
        self.attempts = 0
        self.hedges = 0
        self.may_have_started = False
        self.pending: PendingCall | None = None
        self.calls: list[SentCall] = []
        self.tried: tuple[BackendRecord, ...] = ()

    @property
    def not_started(self) -> bool:
        """Return whether no back end can have started a call of this shard."""
        if self.may_have_started or self.rows is not None:
            return False
        return not any(sent.call.may_have_been_sent for sent in self.calls)

    @property
    def settled(self) -> bool:
        """Return whether the shard is done, with rows or without."""
        return self.rows is not None or self.problem is not None

    def dispatch(self, backend: BackendRecord) -> None:
        """Notify the listener that ``backend`` has a free slot for the submitted call."""
        self._listener.on_dispatch(self, backend)

    def shed(self) -> None:
        """Notify the listener that the submitted call will not be sent."""
        self._listener.on_shed(self)

    def take_reply(self, sent: SentCall, reply: BackendReply) -> None:
        """Pass a reply to the listener."""
        self._listener.on_reply(self, sent, reply)

    def missing_reason(self) -> MissingReason:
        """Return why the shard would be missing from an answer given now."""
        if self.problem is not None:
            return self.problem
        if self.calls:
            return MissingReason.TIMED_OUT
        return self.last_reason or MissingReason.NOT_ASKED
