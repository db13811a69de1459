"""Sends one claimed operation, and never again once bytes of the call may have been sent.

Owns the call.  The claim permits sending; the dispatcher queues the call until a back end has a
free slot.
"""

from __future__ import annotations

import asyncio

from tinrudder.cluster.claims.claim import Claim
from tinrudder.node.backends.messages import (
    Answered,
    BackendReply,
    Broken,
    Draining,
    NotSent,
    SearchAnswer,
    SearchRequest,
    Shed,
    VersionGone,
)
from tinrudder.node.decisions.backend_record import BackendRecord
from tinrudder.node.decisions.load.pending_calls import PendingCall
from tinrudder.node.outcomes import (
    Answer,
    Complete,
    Coverage,
    Failed,
    FailedReason,
    MayHaveRun,
    MayHaveRunReason,
    NotRun,
    NotRunReason,
    Outcome,
)
from tinrudder.node.query.dispatcher import Dispatcher, SentCall
from tinrudder.node.query.merge import merge_rows
from tinrudder.node.query.operations.operation_request import OperationRequest
from tinrudder.node.query.plan import QueryPlan
from tinrudder.timers import Timers

LATE_ANSWER_TIMEOUT_S = 5.0
"""Seconds after the caller's deadline for which the answer to a sent call is still awaited, so that
duplicates can receive it."""


class OperationCall:
    """The dispatch of one claimed operation.

    ``reported`` is the caller's outcome and is set by the deadline.  ``final`` may be set later
    and be more precise: the answer may arrive after ``MayHaveRun`` was reported to the caller.
    """

    def __init__(
        self,
        request: OperationRequest,
        plan: QueryPlan,
        claim: Claim,
        dispatcher: Dispatcher,
        timers: Timers,
    ) -> None:
        """Create a call; nothing is sent before :meth:`start`."""
        loop = asyncio.get_running_loop()
        self.reported: asyncio.Future[Outcome] = loop.create_future()
        self.final: asyncio.Future[Outcome] = loop.create_future()
        self._request = request
        self._plan = plan
        self._claim = claim
        self._dispatcher = dispatcher
        self._timers = timers
        self._tried: list[BackendRecord] = []
        self._pending: PendingCall | None = None
        self._sent: SentCall | None = None
        self._deadline_timer = timers.call_at(request.deadline, self._on_deadline)
        self._late_answer_timer = timers.call_at(
            request.deadline + LATE_ANSWER_TIMEOUT_S, self._on_late_answer_timeout
        )

    def start(self) -> None:
        """Submit the call to the back ends that are not draining and have not refused it."""
        planned = self._plan.shards[0]
        candidates = tuple(
            backend
            for backend in planned.candidates
            if not backend.leaving and backend not in self._tried
        )
        if not candidates:
            self._end(NotRun(NotRunReason.NO_BACKEND, "no back end took the operation"))
            return
        self._pending = PendingCall(
            self._request.tenant,
            self._plan.weight,
            self._plan.rule.priority,
            1.0,
            candidates,
            self._request.deadline,
            self._send,
            self._on_queue_refusal,
            choice=self._plan.routing.choice,
        )
        self._dispatcher.submit(self._pending)

    def _send(self, backend: BackendRecord) -> None:
        """Send the call if the claim still permits it."""
        self._pending = None
        if self.final.done():
            return
        if not self._claim.begin_dispatch():
            self._end(NotRun(NotRunReason.DEADLINE, "the time to send has run out"))
            return
        self._tried.append(backend)
        self._sent = self._dispatcher.send(
            backend,
            self._message(),
            self._request.deadline,
            self._on_reply,
            self._claim.is_open,
        )

    def _message(self) -> SearchRequest:
        request = self._request
        remaining_s = request.deadline - self._timers.time()
        return SearchRequest(
            self._dispatcher.next_call_id(),
            request.index,
            self._plan.version,
            (self._plan.shards[0].spec.shard,),
            request.match,
            self._plan.request.order_by,
            self._plan.request.descending,
            self._plan.request.limit,
            max(1, int(remaining_s * 1000)),
            operation=request.operation,
            query_id=request.query_id,
            request_key=f"{request.tenant}/{request.request_key}",
        )

    def _on_reply(self, _sent: SentCall, reply: BackendReply) -> None:
        """Process the reply to the sent call."""
        self._sent = None
        if self.final.done():
            return
        match reply:
            case Answered(answer):
                self._end(self._outcome_of_answer(answer))
            case Shed() | Draining() | NotSent() | VersionGone():
                self._claim.dispatch_did_not_start()
                self._retry_elsewhere()
            case Broken(detail):
                self._end(MayHaveRun(MayHaveRunReason.NO_ANSWER, detail))

    def _retry_elsewhere(self) -> None:
        """Try another replica; no back end has started the operation so far."""
        if self.reported.done():
            self._end(NotRun(NotRunReason.OVERLOADED, "the back end did not start it"))
            return
        self.start()

    def _outcome_of_answer(self, answer: SearchAnswer) -> Outcome:
        """Convert an answer to an outcome; any answer means that the operation ran."""
        shard = self._plan.shards[0].spec.shard
        rows = next((rows for rows in answer.shards if rows.shard == shard), None)
        if rows is None or answer.version != self._plan.version:
            return Failed(FailedReason.BACKEND_ERROR, "it ran; its answer is of another shard")
        page = merge_rows(
            [rows.rows],
            descending=self._plan.request.descending,
            limit=self._plan.request.limit,
            more=rows.more,
        )
        return Complete(Answer(answer.version, page.rows, Coverage((shard,)), None))

    def _on_queue_refusal(self) -> None:
        """End a call that was dropped from the queue."""
        self._pending = None
        self._end(NotRun(NotRunReason.OVERLOADED, "no back end had room in time"))

    def _on_deadline(self) -> None:
        """Report the caller's outcome; a sent call is neither cancelled nor repeated."""
        if self._sent is None or not self._sent.call.may_have_been_sent:
            self._end(NotRun(NotRunReason.DEADLINE, "the deadline passed before it was sent"))
        elif not self.reported.done():
            detail = "sent, and not answered by the deadline"
            self.reported.set_result(MayHaveRun(MayHaveRunReason.NO_ANSWER, detail))

    def _on_late_answer_timeout(self) -> None:
        """Stop waiting for the answer."""
        self._end(MayHaveRun(MayHaveRunReason.NO_ANSWER, "sent, and never answered"))

    def _end(self, outcome: Outcome) -> None:
        """Set both outcomes, once, and release timers, queue slot and call."""
        if self.final.done():
            return
        self._deadline_timer.cancel()
        self._late_answer_timer.cancel()
        if self._pending is not None:
            self._dispatcher.withdraw(self._pending)
            self._pending = None
        if self._sent is not None:
            self._dispatcher.cancel(self._sent)
            if not self._sent.call.may_have_been_sent:
                self._claim.dispatch_did_not_start()
            self._sent = None
        self.final.set_result(outcome)
        if not self.reported.done():
            self.reported.set_result(outcome)
