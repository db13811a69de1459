"""Keeps the number of client connections within the descriptors of the process.

Owns the open connections in the order in which they were accepted;
:mod:`tinrudder.gateway.decisions.admission.connection_bound` decides how many there may be.
"""

from __future__ import annotations

import math
from typing import Protocol


class LimitedConnection(Protocol):
    """A client connection."""

    @property
    def busy(self) -> bool:
        """Whether a request is being received or served."""

    def close_if_idle(self) -> None:
        """Close the connection if no request is being received or served."""


class ConnectionLimit:
    """Admits new connections in place of idle ones.

    :ivar evicted: idle connections closed to admit new ones.
    :ivar refused: new connections closed because no other was idle.
    """

    def __init__(self, max_connections: float = math.inf) -> None:
        """Start without connections."""
        self.evicted = 0
        self.refused = 0
        self._max_connections = max_connections
        self._open: dict[LimitedConnection, None] = {}

    def admit(self, connection: LimitedConnection) -> bool:
        """Add a connection; close the oldest idle one if there are too many.

        Return false if the new connection must be closed, as all others are busy.
        """
        if len(self._open) >= self._max_connections:
            idle = next((one for one in self._open if not one.busy), None)
            if idle is None:
                self.refused += 1
                return False
            self.evicted += 1
            del self._open[idle]
            idle.close_if_idle()
        self._open[connection] = None
        return True

    def remove(self, connection: LimitedConnection) -> None:
        """Remove a connection that has ended."""
        self._open.pop(connection, None)
