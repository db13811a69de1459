"""Sends shard calls: one dispatcher a node, shared by all its queries.

A call goes out at once when a candidate has room, else it waits in the queue until one has.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from tinrudder.backends.messages import (
    Answered,
    BackendCall,
    BackendReply,
    Draining,
    SearchRequest,
)
from tinrudder.environment import BackendTransport
from tinrudder.routing.backend_record import BackendRecord
from tinrudder.routing.call_queue import CallQueue
from tinrudder.routing.pending_call import PendingCall
from tinrudder.routing.replica_choice import ReplicaChoicePolicy
from tinrudder.timers import Timers

SentCallListener = Callable[["SentCall", BackendReply], None]


@dataclass(slots=True, eq=False)
class SentCall:
    """A call in flight: the back end it went to and when."""

    backend: BackendRecord
    call: BackendCall
    sent_at: float
    listener: SentCallListener


class Dispatcher:
    """Binds queue, limits and replica choice to a transport."""

    def __init__(
        self,
        timers: Timers,
        transport: BackendTransport,
        queue: CallQueue,
        replica_choice: ReplicaChoicePolicy,
    ) -> None:
        """Use the given policies; all times come from ``timers``."""
        self._timers = timers
        self._transport = transport
        self._queue = queue
        self._replica_choice = replica_choice
        self._in_flight: dict[int, SentCall] = {}
        self._last_call_id = 0
        self.sent_calls = 0

    @property
    def queue_length(self) -> int:
        """Return how many calls wait for room."""
        return len(self._queue)

    def submit(self, pending: PendingCall) -> None:
        """Dispatch now if a candidate has room and nobody waits for it, else wait."""
        backend = self._replica_choice.choose(pending.candidates)
        if backend is not None and not backend.waiting:
            self._queue.record_direct(pending, backend)
            pending.on_dispatch(backend)
            return
        self._queue.push(pending)
        if backend is not None:
            self.fill(backend)

    def withdraw(self, pending: PendingCall) -> None:
        """Take a waiting call back; a no-op if it was dispatched."""
        self._queue.discard(pending)

    def send(
        self,
        backend: BackendRecord,
        request: SearchRequest,
        deadline: float,
        listener: SentCallListener,
    ) -> SentCall:
        """Send one call and count it against the back end's limit until it ends."""
        self._last_call_id += 1
        call_id = self._last_call_id
        request = _with_call_id(request, call_id)
        call = BackendCall(
            call_id,
            backend.name,
            backend.host,
            backend.port,
            request,
            deadline,
            backend.tls,
            backend.max_connections,
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
        if isinstance(reply, Answered):
            sent.backend.observe_latency(self._timers.time() - sent.sent_at)
            if reply.answer.draining:
                sent.backend.leaving = True
        elif isinstance(reply, Draining):
            sent.backend.leaving = True

    def _release(self, backend: BackendRecord) -> None:
        """Free one place and let waiting calls take it."""
        backend.in_flight -= 1
        self.fill(backend)

    def fill(self, backend: BackendRecord) -> None:
        """Let waiting calls take the room there is, e.g. after a limit was raised."""
        while backend.waiting and backend.may_send():
            pending = self._queue.pop(backend)
            if pending is None:
                return
            pending.on_dispatch(backend)


def _with_call_id(request: SearchRequest, call_id: int) -> SearchRequest:
    """Return the request under its own call id."""
    return SearchRequest(
        call_id,
        request.index,
        request.version,
        request.shards,
        request.match,
        request.order_by,
        request.descending,
        request.limit,
        request.deadline_ms,
        request.after,
        request.operation,
        request.query_id,
    )
