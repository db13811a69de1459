"""What a gateway sends other gateways, by kind of message.

Bytes between zones are paid for, and a kind that grows by itself shows here first.

Owns the counts; relies on whoever sends to note it.
"""

from __future__ import annotations

from collections import Counter

from msgspec import Struct, field


class PeerTraffic(Struct):
    """Counts since the start of the process, by the name of a message's type.

    >>> traffic = PeerTraffic()
    >>> traffic.note("text", size=100, copies=3)
    >>> traffic.messages["str"], traffic.bytes["str"]
    (3, 300)
    """

    messages: Counter[str] = field(default_factory=Counter)
    bytes: Counter[str] = field(default_factory=Counter)

    def note(self, message: object, size: int, copies: int = 1) -> None:
        """Count a message that is sent.

        :param size: its bytes, without those of the protocols below.
        :param copies: to how many gateways.
        """
        kind = type(message).__name__
        self.messages[kind] += copies
        self.bytes[kind] += size * copies
