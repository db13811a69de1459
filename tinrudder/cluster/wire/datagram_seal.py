"""Authenticates datagrams between nodes that share a key, and rejects replays.

Owns the counter of this node and the replay windows of the senders.  A sealed datagram consists of
the sender's session (8 bytes), its wall clock in seconds (4), a counter (4), the payload and a
truncated HMAC-SHA256 (16).  The clock reveals old replays; a window of counters per session reveals
recent ones.  The payload is not encrypted.
"""

from __future__ import annotations

import enum
import hmac
import struct
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from tinrudder.timers import WallClock

MAX_CLOCK_DIFFERENCE_S = 60
"""Seconds by which a sender's wall clock may differ.  A larger limit admits older replays, a
smaller one locks out nodes whose clocks are not synchronized."""
WINDOW_COUNTERS = 64
"""Counters per session, up to the highest received, within which datagrams may be reordered."""
MAX_SESSIONS = 4096
"""Sessions remembered; above it the least recently used is evicted, and its datagrams of the last
minute could be replayed."""
TAG_BYTES = 16
"""Bytes of the truncated HMAC-SHA256: 128 bits."""
_HEADER = struct.Struct("!QII")
SEAL_BYTES = _HEADER.size + TAG_BYTES
"""Bytes that sealing adds to a message."""
_WINDOW_MASK = (1 << WINDOW_COUNTERS) - 1
_COUNTER_LIMIT = 1 << 32


class RefusalReason(enum.StrEnum):
    """Why a datagram was rejected."""

    TOO_SHORT = "too_short"
    FORGED = "forged"
    CLOCK = "clock"
    REPLAYED = "replayed"


class RefusedDatagramError(Exception):
    """A datagram is too short, not authentic, not recent, or a replay."""

    def __init__(self, reason: RefusalReason) -> None:
        """Store the reason for callers."""
        super().__init__(reason.value)
        self.reason = reason


@dataclass(slots=True)
class _ReplayWindow:
    """Replay window of one sender: the highest counter received, and a bitmap of the last ones."""

    highest: int = 0
    bitmap: int = 0


class DatagramSeal:
    """Seals what this node sends and opens what it receives.

    >>> seal = DatagramSeal((b"secret",), session=7, wall_clock=lambda: 1000.0)
    >>> other = DatagramSeal((b"secret",), session=8, wall_clock=lambda: 1000.0)
    >>> sealed = seal.seal(b"hello")
    >>> other.open(sealed)
    b'hello'
    >>> other.open(sealed)
    Traceback (most recent call last):
    ...
    tinrudder.cluster.wire.datagram_seal.RefusedDatagramError: replayed
    """

    def __init__(self, keys: Sequence[bytes], session: int, wall_clock: WallClock) -> None:
        """Seal with the first key and accept any, so that keys can be rotated without downtime.

        :param session: 64 random bits, drawn anew at every start.
        """
        if not keys or not all(keys):
            raise ValueError("keys: at least one key is required, and none may be empty")
        self._keys = tuple(keys)
        self._session = session
        self._wall_clock = wall_clock
        self._counter = 0
        self._sessions: OrderedDict[int, _ReplayWindow] = OrderedDict()

    def seal(self, payload: bytes) -> bytes:
        """Return the payload with its header and tag."""
        self._counter = (self._counter + 1) % _COUNTER_LIMIT
        seconds = int(self._wall_clock()) % _COUNTER_LIMIT
        content = _HEADER.pack(self._session, seconds, self._counter) + payload
        return content + _tag(self._keys[0], content)

    def open(self, sealed: bytes) -> bytes:
        """Return the payload of a sealed datagram.

        :raises RefusedDatagramError: if it is too short, forged, too old or new, or a replay.
        """
        if len(sealed) < SEAL_BYTES:
            raise RefusedDatagramError(RefusalReason.TOO_SHORT)
        content, tag = sealed[:-TAG_BYTES], sealed[-TAG_BYTES:]
        if not any(hmac.compare_digest(_tag(key, content), tag) for key in self._keys):
            raise RefusedDatagramError(RefusalReason.FORGED)
        session, seconds, counter = _HEADER.unpack_from(content)
        if abs(seconds - self._wall_clock()) > MAX_CLOCK_DIFFERENCE_S:
            raise RefusedDatagramError(RefusalReason.CLOCK)
        if not self._accept_counter(session, counter):
            raise RefusedDatagramError(RefusalReason.REPLAYED)
        return content[_HEADER.size :]

    def _accept_counter(self, session_id: int, counter: int) -> bool:
        """Record a counter; return ``False`` if it was seen before or precedes the window."""
        window = self._sessions.get(session_id)
        if window is None:
            window = self._sessions[session_id] = _ReplayWindow()
            if len(self._sessions) > MAX_SESSIONS:
                self._sessions.popitem(last=False)
        else:
            self._sessions.move_to_end(session_id)
        ahead = counter - window.highest
        if ahead > 0:
            shifted = window.bitmap << ahead if ahead < WINDOW_COUNTERS else 0
            window.bitmap = (shifted | 1) & _WINDOW_MASK
            window.highest = counter
            return True
        bit = 1 << -ahead
        if -ahead >= WINDOW_COUNTERS or window.bitmap & bit:
            return False
        window.bitmap |= bit
        return True


def _tag(key: bytes, content: bytes) -> bytes:
    return hmac.digest(key, content, "sha256")[:TAG_BYTES]
