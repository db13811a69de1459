"""Confirms the operator's settings as of the arrival of requests that depend on it.

Some requests must not be judged by settings that may be a moment old: only an answer of the store
to a question sent after their arrival decides them.  They wait together: one read at a time
confirms the settings for all requests that arrived before it was sent.

Owns the waiting requests and the read in flight.  Relies on the staleness bound for proofs from any
source.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from msgspec import Struct

from tinrudder.common.supervisor import run_logged
from tinrudder.gateway.store.staleness_bound import StalenessBound

MIN_PAUSE_S = 0.05
"""Shortest pause between two reads, seconds: twelve round trips to the store, and short compared
with the time for which a request may wait."""
FLEET_READS_PER_S = 1000.0
"""Most such reads that all gateways together make in a second: a sixth of what a store answers."""


class _Waiting(Struct, eq=False):
    """A request that waits, and when it arrived.

    :param decide: called once, when the request is to be judged again.
    """

    arrived_at: float
    decide: Callable[[], None]
    timer: asyncio.TimerHandle | None = None


class Confirmations:
    """Lets requests wait until the settings are known as of their arrival."""

    def __init__(
        self,
        staleness_bound: StalenessBound,
        may_ask: Callable[[], bool],
        nodes: Callable[[], int],
    ) -> None:
        """Wait for proofs of ``staleness_bound``.

        :param may_ask: returns whether an answer of the store is likely, and would prove anything.
        :param nodes: returns the estimated number of gateways, which may all read at once.
        """
        self._staleness_bound = staleness_bound
        self._may_ask = may_ask
        self._nodes = nodes
        self._read: Callable[[], Awaitable[bool]] | None = None
        self._loop = asyncio.get_running_loop()
        self._waiting: dict[_Waiting, None] = {}
        self._reading: asyncio.Task[None] | None = None
        self._pause: asyncio.TimerHandle | None = None
        staleness_bound.subscribe(self._decide_proven)

    def connect(self, read: Callable[[], Awaitable[bool]]) -> None:
        """Use ``read`` to read all settings; it returns whether the store answered."""
        self._read = read

    def is_known_as_of(self, moment: float) -> bool:
        """Return whether every change acknowledged before ``moment`` is known here."""
        return self._staleness_bound.covers(moment)

    def wait(self, arrived_at: float, until: float, decide: Callable[[], None]) -> bool:
        """Call ``decide`` once the settings are known as of ``arrived_at``.

        It is called at ``until`` at the latest, or as soon as a read that would have confirmed them
        has failed.

        :return: false if the store cannot be asked; ``decide`` is not called then.
        """
        if self._read is None or not self._may_ask():
            return False
        waiting = _Waiting(arrived_at, decide)
        waiting.timer = self._loop.call_at(until, self._decide, waiting)
        self._waiting[waiting] = None
        self._read_if_needed()
        return True

    def _decide_proven(self) -> None:
        self._decide_all(lambda waiting: self.is_known_as_of(waiting.arrived_at))

    def _decide_all(self, matches: Callable[[_Waiting], bool]) -> None:
        for waiting in [one for one in self._waiting if matches(one)]:
            self._decide(waiting)

    def _decide(self, waiting: _Waiting) -> None:
        if waiting in self._waiting:
            del self._waiting[waiting]
            assert waiting.timer is not None
            waiting.timer.cancel()
            waiting.decide()

    def _read_if_needed(self) -> None:
        """Read the settings for the waiting requests, unless a read or a pause is in progress."""
        if self._waiting and self._reading is None and self._pause is None:
            self._reading = self._loop.create_task(run_logged("confirmation", self._confirm()))

    async def _confirm(self) -> None:
        """Read once; a failed read ends the wait of those that arrived before it."""
        assert self._read is not None
        sent_at = self._loop.time()
        answered = False
        try:
            answered = await self._read()
        finally:
            self._reading = None
            pause_s = max(MIN_PAUSE_S, self._nodes() / FLEET_READS_PER_S)
            self._pause = self._loop.call_later(pause_s, self._end_pause)
        if not answered:
            self._decide_all(lambda waiting: waiting.arrived_at <= sent_at)

    def _end_pause(self) -> None:
        self._pause = None
        self._read_if_needed()
