"""Puts the calls of one query on their way and takes them back.

Owns no state beyond its plan; relies on the dispatcher for room, and on the routing of the service
for what a call teaches.
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
"""Work of one call, in shards: a call asks for one."""


class CallSender:
    """Sends one plan's calls through the node's dispatcher."""

    def __init__(self, plan: QueryPlan, dispatcher: Dispatcher, timers: Timers) -> None:
        """Send calls of ``plan``."""
        self._plan = plan
        self._routing = plan.routing
        self._dispatcher = dispatcher
        self._timers = timers

    def submit(self, progress: ShardProgress, candidates: tuple[BackendRecord, ...]) -> None:
        """Hand in a call for any of ``candidates``; it goes out once one of them has room."""
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
        """Send a shard's call to a back end that has room."""
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
        """Stop the copies that a quicker answer has overtaken."""
        superseded = tuple(progress.calls)
        progress.calls.clear()
        for call in superseded:
            self._dispatcher.cancel(call)
            self._routing.observe_loser(call.backend, now - call.sent_at, now)

    def withdraw_waiting(self, progress: Sequence[ShardProgress]) -> None:
        """Take back every call that waits for room."""
        for shard in progress:
            if shard.pending is not None:
                self._dispatcher.withdraw(shard.pending)
                shard.pending = None

    def release(self, progress: Sequence[ShardProgress]) -> None:
        """Take back what waits, then cancel what is in flight.

        In this order, because a cancelled call's place goes to whatever waits for it.
        """
        self.withdraw_waiting(progress)
        now = self._timers.time()
        for shard in progress:
            for sent in shard.calls:
                self._dispatcher.cancel(sent)
                self._routing.observe_withdrawn(sent.backend, now - sent.sent_at, now)
            shard.calls.clear()
