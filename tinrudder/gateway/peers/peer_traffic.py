"""Counts the messages and bytes that a gateway sends to peers, by message type.

Traffic between zones is paid for, and a message type that is sent ever more often shows here first.

Owns the counters; relies on each sender to call ``note``.
"""

from __future__ import annotations

from collections import Counter

from msgspec import Struct, field


class PeerTraffic(Struct):
    """Counters since the start of the process, keyed by the name of the message type.

    >>> traffic = PeerTraffic()
    >>> traffic.note("text", size=100, copies=3)
    >>> traffic.messages["str"], traffic.bytes["str"]
    (3, 300)
    """

    messages: Counter[str] = field(default_factory=Counter)
    bytes: Counter[str] = field(default_factory=Counter)

    def note(self, message: object, size: int, copies: int = 1) -> None:
        """Count a sent message.

        :param size: payload bytes, without the headers of lower protocol layers.
        :param copies: number of gateways that it is sent to.
        """
        kind = type(message).__name__
        self.messages[kind] += copies
        self.bytes[kind] += size * copies
