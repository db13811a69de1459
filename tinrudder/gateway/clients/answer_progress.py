"""Detects clients that do not read their answers, and defines the timeouts for them.

Owns the last observed progress of one client; the socket is inspected only on request. Relies on
the kernel's count of acknowledged bytes (:mod:`tinrudder.gateway.clients.tcp_progress`): the
transport's buffer alone may not change for half a minute with a slow client.
"""

from __future__ import annotations

import asyncio

from tinrudder.gateway.clients.memory_account import MemoryAccount
from tinrudder.gateway.clients.tcp_progress import acknowledged_bytes

UNREAD_TIMEOUT_S = 10.0
"""How long a client may read nothing of its answer, seconds. A client that reads 1 KB a second
shows progress every 1.5 s on Ethernet, one segment at a time, and the kernel retransmits a lost
segment five times within 6.2 s. Over loopback, whose segments are 64 KB, such a client shows
progress every 6 s with 4 KB of buffer and every 24 s with 16 KB (``tcp_info`` read every 0.1 s for
60 s and 100 s)."""
UNREAD_TIMEOUT_PRESSURE_S = 2.0
"""Seconds for which a client may read nothing during a planned stop, where it is a third of the 6 s
grace, and near the memory bound. A client that reads 1 KB a second still shows progress in time,
and one that reads nothing is disconnected before requests of others are refused. Two gateways of
152 MB with 12 slow clients a second each refused 338 of 1,372 ordinary requests with 10 s near the
bound, and none of 1,381 with 2 s."""
UNREAD_TIMEOUT_FULL_S = 1.0
"""Seconds for which a client may read nothing while the memory bound is reached and every request
is refused: half of :data:`UNREAD_TIMEOUT_PRESSURE_S`."""


class AnswerProgress:
    """Tracks how far one client has read."""

    __slots__ = ("_seen", "_seen_at")

    def __init__(self) -> None:
        """Initialize; call :meth:`begin` before :meth:`idle_s`."""
        self._seen = (0, 0)
        self._seen_at = 0.0

    def begin(self, transport: asyncio.Transport, now: float) -> None:
        """Start tracking what the client reads."""
        self._seen = _progress_of(transport)
        self._seen_at = now

    def idle_s(self, transport: asyncio.Transport, now: float) -> float:
        """Return how long the client has read nothing, as of the calls of this method."""
        progress = _progress_of(transport)
        if progress != self._seen:
            self._seen = progress
            self._seen_at = now
        return now - self._seen_at


def unread_timeout_s(memory: MemoryAccount, *, closing: bool) -> float:
    """Return the current timeout for clients that read nothing, seconds.

    :param closing: clients should use another gateway, as during a planned stop.
    """
    if memory.is_full:
        return UNREAD_TIMEOUT_FULL_S
    is_reduced = closing or memory.is_near_bound
    return UNREAD_TIMEOUT_PRESSURE_S if is_reduced else UNREAD_TIMEOUT_S


def _progress_of(transport: asyncio.Transport) -> tuple[int, int]:
    """Return two values of which at least one changes whenever the client reads."""
    return (transport.get_write_buffer_size(), acknowledged_bytes(transport))
