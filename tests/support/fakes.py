"""Fake timers and back-end transport, driven by the test."""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field

import msgspec

from tinrudder.node.backends.messages import (
    Answered,
    BackendCall,
    BackendReply,
    RowMessage,
    SearchAnswer,
    ShardRows,
)
from tinrudder.node.environment import ReplyListener


@dataclass(eq=False)
class ManualTimer:
    """Handle of a timer that :class:`ManualTimers` fires."""

    callback: object
    arguments: tuple[object, ...]
    cancelled: bool = False

    def cancel(self) -> None:
        self.cancelled = True


@dataclass
class ManualTimers:
    """Timers with a clock that only :meth:`advance` moves."""

    now: float = 0.0
    _queue: list[tuple[float, int, ManualTimer]] = field(default_factory=list)
    _order: itertools.count = field(default_factory=itertools.count)

    def time(self) -> float:
        return self.now

    def call_at(self, when: float, callback: object, *arguments: object) -> ManualTimer:
        timer = ManualTimer(callback, arguments)
        heapq.heappush(self._queue, (when, next(self._order), timer))
        return timer

    def advance(self, seconds: float) -> None:
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            when, _, timer = heapq.heappop(self._queue)
            self.now = max(self.now, when)
            if not timer.cancelled:
                timer.callback(*timer.arguments)
        self.now = end


@dataclass
class RecordingTransport:
    """Records every call; the test answers each with :meth:`reply` or :meth:`answer`."""

    calls: list[BackendCall] = field(default_factory=list)
    cancelled: list[int] = field(default_factory=list)
    listeners: dict[int, ReplyListener] = field(default_factory=dict)

    def start(self, call: BackendCall, listener: ReplyListener) -> None:
        self.calls.append(call)
        self.listeners[call.call_id] = listener

    def cancel(self, call: BackendCall) -> None:
        self.cancelled.append(call.call_id)

    def reply(self, call: BackendCall, reply: BackendReply) -> None:
        self.listeners[call.call_id](call, reply)

    def answer(self, call: BackendCall, *orders: float, version: int | None = None) -> None:
        shard = call.request.shards[0]
        rows = tuple(RowMessage(order, f"{shard}-{order}", msgspec.Raw(b"{}")) for order in orders)
        answered = version if version is not None else call.request.version
        self.reply(call, Answered(SearchAnswer(call.call_id, answered, (ShardRows(shard, rows),))))

    async def close(self) -> None:
        pass
