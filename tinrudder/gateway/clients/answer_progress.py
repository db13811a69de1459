"""How long a client has taken nothing of its answer, and how long it may.

Owns what was last seen of one client's progress; it reads the socket only when asked.  Relies on
the kernel's count of acknowledged bytes (:mod:`tinrudder.gateway.clients.tcp_progress`), since a
transport's buffer alone shows nothing of a slow client for half a minute.
"""

from __future__ import annotations

import asyncio

from tinrudder.gateway.clients.memory_account import MemoryAccount
from tinrudder.gateway.clients.tcp_progress import acknowledged_bytes

UNREAD_S = 10.0
"""How long a client may take nothing of its answer, seconds: 1 KB a second shows every 1.5 s on
Ethernet, one segment at a time, and the kernel repeats a lost segment five times within 6.2 s.
Over loopback, whose segments are 64 KB, such a client shows every 6 s with 4 KB of buffer, every
24 s with 16 KB (``tcp_info`` read every 0.1 s for 60 s and 100 s)."""
UNREAD_PRESSED_S = 2.0
"""The same on a planned stop, of whose grace, 6 s, it is a third, and near the bound of memory: a
client that takes 1 KB a second still shows in time, and who takes nothing goes before others'
requests are refused.  Two gateways of 152 MB with 12 slow clients a second each refused 338 of
1,372 ordinary requests while this was 10 s near the bound, none of 1,381 with 2 s."""
UNREAD_FULL_S = 1.0
"""The same while there is no room for anybody's requests, seconds.  Chosen, not measured: half of
:data:`UNREAD_PRESSED_S`."""


class AnswerProgress:
    """Follows one client's reading."""

    __slots__ = ("_seen", "_seen_at")

    def __init__(self) -> None:
        """Know nothing; :meth:`begin` comes first."""
        self._seen = (0, 0)
        self._seen_at = 0.0

    def begin(self, transport: asyncio.Transport, now: float) -> None:
        """Follow what the client takes from now on."""
        self._seen = _progress_of(transport)
        self._seen_at = now

    def idle_s(self, transport: asyncio.Transport, now: float) -> float:
        """Return for how long the client has taken nothing, as far as looks at it show."""
        progress = _progress_of(transport)
        if progress != self._seen:
            self._seen = progress
            self._seen_at = now
        return now - self._seen_at


def longest_unread_s(memory: MemoryAccount, *, closing: bool) -> float:
    """Return how long a client may take nothing now, seconds.

    :param closing: clients should go elsewhere, as on a planned stop.
    """
    if memory.is_full:
        return UNREAD_FULL_S
    pressed = closing or memory.is_near
    return UNREAD_PRESSED_S if pressed else UNREAD_S


def _progress_of(transport: asyncio.Transport) -> tuple[int, int]:
    """Return two figures of which one changes whenever the client takes anything."""
    return (transport.get_write_buffer_size(), acknowledged_bytes(transport))
