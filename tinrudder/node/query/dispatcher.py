"""Sends shard calls: one dispatcher per node, shared by all its queries.

Owns the calls in flight.  A call is sent at once when a candidate has a free slot; otherwise it
waits in the queue until one has.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from tinrudder.node.backends.messages import (
    Answered,
    BackendCall,
    BackendReply,
    Draining,
    SearchRequest,
    Shed,
)
from tinrudder.node.decisions.backend_record import BackendRecord
from tinrudder.node.decisions.load.backend_limit import (
    MINIMUM_LIMIT,
    AdaptiveLimit,
    BackendLimitPolicy,
)
from tinrudder.node.decisions.load.call_queue import CallQueue
from tinrudder.node.decisions.load.pending_calls import PendingCall
from tinrudder.node.decisions.load.tenant_usage import TenantUsageTable
from tinrudder.node.decisions.replica_choice import ReplicaChoicePolicy
from tinrudder.node.environment import BackendTransport
from tinrudder.timers import Timers

MAX_RETRY_AFTER_PAUSE_S = 1.0
"""Maximum pause in seconds that a back end's ``Retry-After`` can cause: an excessive value must not
take the back end out of service."""
MAXIMUM_HANDOVER_S = 1.0
"""Seconds for which a coordinator whose share of a back end shrank keeps its former limit while
calls are queued.  Without this, one of 378 queries of a rolling stop failed (docs/LIMITS.md)."""
MIN_REMAINING_LATENCY_SHARE = 0.5
"""Fraction of a back end's smoothed latency that a queued call must have left before its deadline;
otherwise it is dropped unsent.  Hardly any answer is faster than this."""

SentCallListener = Callable[["SentCall", BackendReply], None]


@dataclass(slots=True, eq=False)
class SentCall:
    """A call in flight, with its back end and the monotonic time at which it was sent."""

    backend: BackendRecord
    call: BackendCall
    sent_at: float
    listener: SentCallListener


class DrainListener(Protocol):
    """Receives the drain state that back ends report in their replies."""

    def on_draining_reply(self, backend: BackendRecord) -> None:
        """Handle a reply in which ``backend`` reports that it is draining."""

    def on_non_draining_answer(self, backend: BackendRecord, sent_at: float) -> None:
        """Handle an answer without a drain notice from a back end that was marked as draining."""


class LocalDrainListener:
    """Applies a drain notice to this node only, without informing other nodes."""

    def on_draining_reply(self, backend: BackendRecord) -> None:
        """Stop sending new calls to ``backend``."""
        backend.leaving = True

    def on_non_draining_answer(self, backend: BackendRecord, sent_at: float) -> None:
        """Do nothing: the call may have been sent before the back end began to drain."""


class Dispatcher:
    """Combines the call queue, the concurrency limits and the replica choice with a transport."""

    def __init__(
        self,
        timers: Timers,
        transport: BackendTransport,
        queue: CallQueue,
        replica_choice: ReplicaChoicePolicy,
        limit: BackendLimitPolicy | None = None,
        usage: TenantUsageTable | None = None,
    ) -> None:
        """Create a dispatcher with the given policies.

        :param usage: counts the queue slots that each tenant uses.
        """
        self._timers = timers
        self._transport = transport
        self._queue = queue
        self._replica_choice = replica_choice
        self._limit = limit if limit is not None else AdaptiveLimit()
        self._usage = usage if usage is not None else TenantUsageTable()
        self._backends_with_room: list[BackendRecord] = []
        self._dispatching_waiting = False
        self._in_flight: dict[int, SentCall] = {}
        self._last_call_id = 0
        self.sent_calls = 0
        self.drain_listener: DrainListener = LocalDrainListener()

    @property
    def queue_length(self) -> int:
        """Return the number of queued calls."""
        return len(self._queue)

    def submit(self, pending: PendingCall) -> None:
        """Dispatch at once if the chosen candidate has a free slot and no queue, else enqueue."""
        choice = pending.choice or self._replica_choice
        backend = choice.choose(pending.candidates)
        if backend is not None and not backend.waiting:
            self._queue.charge_unqueued(pending, backend)
            pending.on_dispatch(backend)
            return
        usage = self._usage.of(pending.tenant)
        if usage is not None and not usage.acquire_queue_place():
            pending.on_shed()
            return
        self._queue.push(pending)
        self._dispatch_waiting_to_candidates(pending)

    def _dispatch_waiting_to_candidates(self, pending: PendingCall) -> None:
        """Use free slots of the candidates, for earlier queued calls before this one."""
        for candidate in pending.candidates:
            self.dispatch_waiting(candidate)

    def withdraw(self, pending: PendingCall) -> None:
        """Remove a call from the queue; a no-op if it was already dispatched."""
        if pending.waiting:
            self._queue.discard(pending)
            self._release_queue_place(pending)

    def next_call_id(self) -> int:
        """Return a call id that is unique on this node."""
        self._last_call_id += 1
        return self._last_call_id

    def send(
        self,
        backend: BackendRecord,
        request: SearchRequest,
        deadline: float,
        listener: SentCallListener,
        may_still_send: Callable[[], bool] | None = None,
    ) -> SentCall:
        """Send one call and count it against the back end's limit until it ends.

        :param request: its call id must come from :meth:`next_call_id`.
        :param may_still_send: checked again right before bytes are written, e.g. after connecting.
        """
        call_id = request.call_id
        call = BackendCall(
            call_id,
            backend.name,
            backend.host,
            backend.port,
            request,
            deadline,
            backend.tls,
            backend.max_connections,
            may_still_send=may_still_send,
        )
        sent = SentCall(backend, call, self._timers.time(), listener)
        self._in_flight[call_id] = sent
        backend.in_flight += 1
        self.sent_calls += 1
        self._transport.start(call, self._on_reply)
        return sent

    def cancel(self, sent: SentCall) -> None:
        """Cancel a call; its listener is not called afterwards."""
        if self._in_flight.pop(sent.call.call_id, None) is None:
            return
        self._transport.cancel(sent.call)
        self._release(sent.backend)

    def _on_reply(self, call: BackendCall, reply: BackendReply) -> None:
        """Process a reply and pass it to its query; ignores late and duplicate replies."""
        sent = self._in_flight.pop(call.call_id, None)
        if sent is None:
            return
        self._observe(sent, reply)
        sent.listener(sent, reply)
        self._release(sent.backend)

    def _observe(self, sent: SentCall, reply: BackendReply) -> None:
        """Update the back end's latency, limit, pause and drain state from a reply."""
        now = self._timers.time()
        backend = sent.backend
        if isinstance(reply, Answered):
            backend.observe_latency(now - sent.sent_at)
            self._limit.on_answer(backend)
            if reply.answer.draining:
                self.drain_listener.on_draining_reply(backend)
            else:
                backend.non_draining_sent_at = max(backend.non_draining_sent_at, sent.sent_at)
                if backend.drain_reported:
                    self.drain_listener.on_non_draining_answer(backend, sent.sent_at)
        elif isinstance(reply, Shed):
            self._limit.on_shed(backend, sent.sent_at, now)
            if reply.retry_after_s is not None and backend.limit <= MINIMUM_LIMIT:
                self._pause(backend, now + min(reply.retry_after_s, MAX_RETRY_AFTER_PAUSE_S))
        elif isinstance(reply, Draining):
            self.drain_listener.on_draining_reply(backend)

    def _pause(self, backend: BackendRecord, until: float) -> None:
        """Pause a back end that asked for a delay while its limit is already at the minimum."""
        if not backend.paused:
            backend.paused = True
            self._timers.call_at(until, self._resume, backend)

    def _resume(self, backend: BackendRecord) -> None:
        """End a back end's pause."""
        backend.paused = False
        self.dispatch_waiting(backend)

    def _release(self, backend: BackendRecord) -> None:
        """Free one slot; dispatch queued calls, or end a handover if none is queued."""
        backend.in_flight -= 1
        if backend.waiting:
            self.dispatch_waiting(backend)
        elif backend.limit > backend.max_limit:
            backend.clamp_limit()

    def apply_share_change(self, backend: BackendRecord) -> None:
        """Apply a changed share: use a larger one at once, and hand over a smaller one later.

        The former limit ends after ``MAXIMUM_HANDOVER_S``, or as soon as a call ends with no other
        call queued for the back end.
        """
        if backend.limit > backend.max_limit:
            when = self._timers.time() + MAXIMUM_HANDOVER_S
            self._timers.call_at(when, backend.clamp_limit)
        self.dispatch_waiting(backend)

    def dispatch_waiting(self, backend: BackendRecord) -> None:
        """Dispatch queued calls to a back end's free slots, e.g. after its limit was raised.

        Dispatching a call may end its query, which frees slots at other back ends.  These are
        processed in a loop instead of recursively: when many queries are late at once, e.g. after
        the process was paused, recursion would overflow the stack.
        """
        self._backends_with_room.append(backend)
        if self._dispatching_waiting:
            return
        self._dispatching_waiting = True
        try:
            while self._backends_with_room:
                self._dispatch_waiting_to(self._backends_with_room.pop())
        finally:
            self._dispatching_waiting = False

    def _dispatch_waiting_to(self, backend: BackendRecord) -> None:
        """Dispatch to one back end until it has no free slot or no queued call."""
        while backend.waiting:
            if backend.may_send():
                pending = self._queue.pop(backend)
            elif backend.may_exceed_limit():
                pending = self._queue.pop_above_limit(backend)
            else:
                return
            if pending is None:
                return
            self._release_queue_place(pending)
            if self._is_too_late(pending, backend):
                pending.on_shed()
            else:
                pending.on_dispatch(backend)

    def _is_too_late(self, pending: PendingCall, backend: BackendRecord) -> bool:
        """Return whether even a fast answer would miss the deadline."""
        min_latency_s = MIN_REMAINING_LATENCY_SHARE * backend.latency_s
        return self._timers.time() + min_latency_s > pending.deadline

    def _release_queue_place(self, pending: PendingCall) -> None:
        """Release the tenant's queue slot."""
        usage = self._usage.of(pending.tenant)
        if usage is not None:
            usage.release_queue_place()
