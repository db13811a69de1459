"""Opens the listeners of a process, and retries those whose address is unavailable.

A port can be in use by the process that is being replaced, or by an outgoing connection that the
kernel gave it to; an interface may not be up yet.  None of these lasts, so none ends the process.

Owns the order and the retries; callers own the sockets.
"""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Awaitable, Callable, Iterable

from msgspec import Struct

from tinrudder.common.address import Address
from tinrudder.common.logs import LogValue, log_event, log_problem

RETRY_INTERVAL_S = 0.2
"""Seconds between two attempts to open a listener: callers poll readiness once a second."""
LOG_INTERVAL_S = 10.0
"""Minimum seconds between two log lines about the same listener."""


class Listener(Struct, frozen=True):
    """An address to listen on.

    :param name: what it is for, in logs and metrics.
    :param open: starts to listen; raises ``OSError`` and leaves nothing open if it cannot.
    """

    name: str
    address: Address
    open: Callable[[], Awaitable[None]]


class Listeners:
    """Listeners that are opened in order; none is opened before all earlier ones.

    :ivar failures: number of failed attempts, by name.
    """

    def __init__(self, listeners: Iterable[Listener], on_complete: Callable[[], None]) -> None:
        """Call ``on_complete`` when all are open."""
        self.failures: Counter[str] = Counter()
        self._closed = deque(listeners)
        self._on_complete = on_complete
        self._loop = asyncio.get_running_loop()
        self._waiting_since: float | None = None
        self._logged_at = float("-inf")

    @property
    def is_complete(self) -> bool:
        """Return whether all are open."""
        return not self._closed

    async def open_available(self) -> None:
        """Open listeners in order, up to the first whose address is unavailable."""
        while self._closed:
            listener = self._closed[0]
            try:
                await listener.open()
            except OSError as error:
                self._note_failure(listener, error)
                return
            self._note_opened(listener)
            self._closed.popleft()
        self._on_complete()

    async def open_remaining(self) -> None:
        """Retry until all are open."""
        while not self.is_complete:
            await asyncio.sleep(RETRY_INTERVAL_S)
            await self.open_available()

    def _note_failure(self, listener: Listener, error: OSError) -> None:
        """Count a failed attempt, and log it at a bounded rate."""
        self.failures[listener.name] += 1
        now = self._loop.time()
        if self._waiting_since is None:
            self._waiting_since = now
            self._logged_at = float("-inf")
        if now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            log_problem("address_unavailable", _fields(listener) | {"detail": str(error)})

    def _note_opened(self, listener: Listener) -> None:
        """Log a listener that had to wait for its address."""
        if self._waiting_since is not None:
            waited_s = round(self._loop.time() - self._waiting_since, 3)
            self._waiting_since = None
            log_event("address_available", _fields(listener) | {"waited_s": waited_s})


def _fields(listener: Listener) -> dict[str, LogValue]:
    return {"listener": listener.name, "address": str(listener.address)}
