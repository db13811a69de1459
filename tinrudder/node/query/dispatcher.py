"""Sends shard calls: one dispatcher a node, shared by all its queries.

A call goes out at once when a candidate has room, else it waits in the queue until one has.
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
"""Seconds of a back end's Retry-After that are honoured at most: a wrong one must not take it out
of use.  Chosen, not measured."""
MAXIMUM_HANDOVER_S = 1.0
"""Seconds for which a coordinator whose share shrank keeps its former limit while calls wait.
Without it one of 378 queries of the rolling stop failed (docs/LIMITS.md)."""
MIN_REMAINING_LATENCY_SHARE = 0.5
"""Part of a back end's usual latency that a waiting call must have left, else it is dropped
unsent.  Chosen, not measured: hardly any answer is quicker."""

SentCallListener = Callable[["SentCall", BackendReply], None]


@dataclass(slots=True, eq=False)
class SentCall:
    """A call in flight: the back end it went to and when."""

    backend: BackendRecord
    call: BackendCall
    sent_at: float
    listener: SentCallListener


class DrainListener(Protocol):
    """Who is told when back ends leave."""

    def on_draining(self, backend: BackendRecord) -> None:
        """The back end said that it is leaving."""

    def on_ordinary_answer(self, backend: BackendRecord, sent_at: float) -> None:
        """A back end held to be leaving answered as if it were not."""


class LocalDrainListener:
    """Keeps what one node sees to itself."""

    def on_draining(self, backend: BackendRecord) -> None:
        """Send nothing there any more."""
        backend.leaving = True

    def on_ordinary_answer(self, backend: BackendRecord, sent_at: float) -> None:
        """Change nothing: the call may have been sent before."""


class Dispatcher:
    """Binds queue, limits and replica choice to a transport."""

    def __init__(
        self,
        timers: Timers,
        transport: BackendTransport,
        queue: CallQueue,
        replica_choice: ReplicaChoicePolicy,
        limit: BackendLimitPolicy | None = None,
        usage: TenantUsageTable | None = None,
    ) -> None:
        """Use the given policies; all times come from ``timers``.

        :param usage: where tenants' queue places are counted.
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
        """Return how many calls wait for room."""
        return len(self._queue)

    def submit(self, pending: PendingCall) -> None:
        """Dispatch now if a candidate has room and nobody waits for it, else wait."""
        choice = pending.choice or self._replica_choice
        backend = choice.choose(pending.candidates)
        if backend is not None and not backend.waiting:
            self._queue.record_direct(pending, backend)
            pending.on_dispatch(backend)
            return
        usage = self._usage.of(pending.tenant)
        if usage is not None and not usage.take_place():
            pending.on_shed()
            return
        self._queue.push(pending)
        self._dispatch_waiting_to_candidates(pending)

    def _dispatch_waiting_to_candidates(self, pending: PendingCall) -> None:
        """Serve those who already wait where there is room, and then the call itself."""
        for candidate in pending.candidates:
            self.dispatch_waiting(candidate)

    def withdraw(self, pending: PendingCall) -> None:
        """Take a waiting call back; a no-op if it was dispatched."""
        if pending.waiting:
            self._queue.discard(pending)
            self._release_queue_slot(pending)

    def next_call_id(self) -> int:
        """Return an id that no other call of this node has."""
        self._last_call_id += 1
        return self._last_call_id

    def send(
        self,
        backend: BackendRecord,
        request: SearchRequest,
        deadline: float,
        listener: SentCallListener,
        may_leave: Callable[[], bool] | None = None,
    ) -> SentCall:
        """Send one call and count it against the back end's limit until it ends.

        :param request: its call id comes from :meth:`next_call_id`.
        :param may_leave: asked again immediately before bytes leave, e.g. after a connect.
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
            may_leave=may_leave,
        )
        sent = SentCall(backend, call, self._timers.time(), listener)
        self._in_flight[call_id] = sent
        backend.in_flight += 1
        self.sent_calls += 1
        self._transport.start(call, self._on_reply)
        return sent

    def cancel(self, sent: SentCall) -> None:
        """Stop a call; its listener is not called any more."""
        if self._in_flight.pop(sent.call.call_id, None) is None:
            return
        self._transport.cancel(sent.call)
        self._release(sent.backend)

    def _on_reply(self, call: BackendCall, reply: BackendReply) -> None:
        """Account for a reply and hand it to its query; late and doubled replies end here."""
        sent = self._in_flight.pop(call.call_id, None)
        if sent is None:
            return
        self._observe(sent, reply)
        sent.listener(sent, reply)
        self._release(sent.backend)

    def _observe(self, sent: SentCall, reply: BackendReply) -> None:
        """Learn from a reply."""
        now = self._timers.time()
        backend = sent.backend
        if isinstance(reply, Answered):
            backend.observe_latency(now - sent.sent_at)
            self._limit.on_answer(backend)
            if reply.answer.draining:
                self.drain_listener.on_draining(backend)
            else:
                backend.ordinary_sent_at = max(backend.ordinary_sent_at, sent.sent_at)
                if backend.drain_signed:
                    self.drain_listener.on_ordinary_answer(backend, sent.sent_at)
        elif isinstance(reply, Shed):
            self._limit.on_shed(backend, sent.sent_at, now)
            if reply.retry_after_s is not None and backend.limit <= MINIMUM_LIMIT:
                self._pause(backend, now + min(reply.retry_after_s, MAX_RETRY_AFTER_PAUSE_S))
        elif isinstance(reply, Draining):
            self.drain_listener.on_draining(backend)

    def _pause(self, backend: BackendRecord, until: float) -> None:
        """Honour the wait a back end asks for, where the limit can go no lower."""
        if not backend.paused:
            backend.paused = True
            self._timers.call_at(until, self._resume, backend)

    def _resume(self, backend: BackendRecord) -> None:
        """End a pause."""
        backend.paused = False
        self.dispatch_waiting(backend)

    def _release(self, backend: BackendRecord) -> None:
        """Free one place and let waiting calls take it."""
        backend.in_flight -= 1
        if backend.waiting:
            self.dispatch_waiting(backend)
        elif backend.limit > backend.usual:
            backend.end_handover()

    def follow_share(self, backend: BackendRecord) -> None:
        """Use a share that grew; give one that shrank up when nothing waits, soon at the latest."""
        if backend.limit > backend.usual:
            when = self._timers.time() + MAXIMUM_HANDOVER_S
            self._timers.call_at(when, backend.end_handover)
        self.dispatch_waiting(backend)

    def dispatch_waiting(self, backend: BackendRecord) -> None:
        """Let waiting calls take the room there is, e.g. after a limit was raised.

        A call taken may end its query, which frees places at other back ends.  Those are filled
        one after the other and not from within each other: when many queries are late at once,
        as after a pause of the process, the stack would not hold them.
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
        """Dispatch to one back end until it has no room or nothing waits for it."""
        while backend.waiting:
            if backend.may_send():
                pending = self._queue.pop(backend)
            elif backend.may_exceed():
                pending = self._queue.pop_lagging(backend)
            else:
                return
            if pending is None:
                return
            self._release_queue_slot(pending)
            if self._is_too_late(pending, backend):
                pending.on_shed()
            else:
                pending.on_dispatch(backend)

    def _is_too_late(self, pending: PendingCall, backend: BackendRecord) -> bool:
        """Tell whether even a quick answer would come after the deadline."""
        min_latency_s = MIN_REMAINING_LATENCY_SHARE * backend.latency_s
        return self._timers.time() + min_latency_s > pending.deadline

    def _release_queue_slot(self, pending: PendingCall) -> None:
        """Give a queue place back to the tenant."""
        usage = self._usage.of(pending.tenant)
        if usage is not None:
            usage.return_place()
