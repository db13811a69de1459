"""The bytes that a gateway holds for others, as those count them who hold them.

Owns three sums.  Connections and runs add to them; :class:`MemoryAccount` bounds them.
"""

from __future__ import annotations

import math


class HeldBytes:
    """Counts without a bound.

    Those who hold bytes add them to the fields, and take them off again when they hold them no
    more, whatever happened meanwhile.  Cost of all counting: 0.3 us a request at the client's
    connection (6.2 before) and 0.2 us a call at a back end's (7.4), the least of 45 rounds of
    20,000 by turns, as ``python -m bench.connection_cost`` measures them.

    :ivar clients: bodies being read, requests waiting and in progress, answers that sockets have
        not taken, bytes.
    :ivar backends: requests that sockets have not taken, answers being read, parts that wait for
        their merge, bytes.
    :ivar peers: frames that peers' sockets have not taken, requests of theirs at work; as of the
        latest look, bytes.
    """

    __slots__ = ("backends", "clients", "peers")

    def __init__(self) -> None:
        """Begin with nothing held."""
        self.clients = 0
        self.backends = 0
        self.peers = 0

    @property
    def largest_answer(self) -> float:
        """Return the most that one answer may take, bytes."""
        return math.inf
