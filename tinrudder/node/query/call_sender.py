"""Submits, sends and cancels the calls of one query.

Owns no state beyond its plan.  The dispatcher queues calls until a back end has a free slot, and
the service's routing records the latency of cancelled calls.
"""

from __future__ import annotations

from collections.abc import Sequence

from tinrudder.node.backends.messages import SearchRequest
from tinrudder.node.decisions.backend_record import BackendRecord
from tinrudder.node.decisions.load.pending_calls import PendingCall
from tinrudder.node.query.dispatcher import Dispatcher
from tinrudder.node.query.plan import QueryPlan
from tinrudder.node.query.shard_progress import ShardProgress
from tinrudder.timers import Timers

SHARD_COST = 1.0
"""Cost of one call in the queue, in shards: each call queries one shard."""


class CallSender:
    """Sends the calls of one plan through the node's dispatcher."""

    def __init__(self, plan: QueryPlan, dispatcher: Dispatcher, timers: Timers) -> None:
        """Create a sender for ``plan``."""
        self._plan = plan
        self._routing = plan.routing
        self._dispatcher = dispatcher
        self._timers = timers

    def submit(self, progress: ShardProgress, candidates: tuple[BackendRecord, ...]) -> None:
        """Submit a call that is sent as soon as one of ``candidates`` has a free slot."""
        plan = self._plan
        request = plan.request
        pending = PendingCall(
            request.tenant,
            plan.weight,
            plan.rule.priority,
            SHARD_COST,
            candidates,
            request.deadline,
            progress.dispatch,
            progress.shed,
            choice=self._routing.choice,
        )
        progress.pending = pending
        self._dispatcher.submit(pending)

    def send(self, progress: ShardProgress, backend: BackendRecord) -> None:
        """Send a shard's call to ``backend``, which has a free slot."""
        progress.tried += (backend,)
        request = self._plan.request
        remaining_ms = max(1, int((request.deadline - self._timers.time()) * 1000))
        message = SearchRequest(
            self._dispatcher.next_call_id(),
            request.index,
            self._plan.version,
            (progress.planned.spec.shard,),
            request.match,
            request.order_by,
            request.descending,
            request.limit,
            remaining_ms,
            request.after,
            request.operation,
            request.query_id,
        )
        sent = self._dispatcher.send(backend, message, request.deadline, progress.take_reply)
        progress.calls.append(sent)
        if progress.first_sent_at is None:
            progress.first_sent_at = sent.sent_at

    def cancel_superseded(self, progress: ShardProgress, now: float) -> None:
        """Cancel a shard's remaining copies after one of them was answered."""
        superseded = tuple(progress.calls)
        progress.calls.clear()
        for call in superseded:
            self._dispatcher.cancel(call)
            self._routing.observe_superseded(call.backend, now - call.sent_at, now)

    def withdraw_waiting(self, progress: Sequence[ShardProgress]) -> None:
        """Withdraw every queued call."""
        for shard in progress:
            if shard.pending is not None:
                self._dispatcher.withdraw(shard.pending)
                shard.pending = None

    def release(self, progress: Sequence[ShardProgress]) -> None:
        """Withdraw the queued calls, then cancel those in flight.

        The order matters: cancelling a call frees its slot, which goes to the next queued call.
        """
        self.withdraw_waiting(progress)
        now = self._timers.time()
        for shard in progress:
            for sent in shard.calls:
                self._dispatcher.cancel(sent)
                self._routing.observe_cancelled(sent.backend, now - sent.sent_at, now)
            shard.calls.clear()
