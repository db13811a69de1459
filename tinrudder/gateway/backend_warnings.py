"""Gateways of a zone tell each other which back ends have just failed.

Each gateway sends few calls to each back end, and would find every silent one by a call of its own;
those of one zone see back ends alike, and bytes between them cost nothing.  A warning weighs as a
failure of one's own, unless an answer came since.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tinrudder.gateway.backend_directory import BackendDirectory
from tinrudder.gateway.model import Address
from tinrudder.gateway.peer_datagrams import PeerDatagrams
from tinrudder.gateway.peer_messages import BackendWarning

GATHERED_S = 0.03
"""How long failures are gathered for one datagram: those of one scatter are found together."""
MOST_NAMED = 60
"""Back ends in one datagram: 1 KB, which links carry whole."""
WARNED_AGAIN_S = 1.0
"""How soon others are warned of the same back end again: a failure is doubted for seconds."""


class BackendWarnings:
    """Sends warnings of failures seen here, and takes those of the zone's other gateways.

    :ivar taken: back ends doubted for a warning.
    """

    def __init__(
        self,
        datagrams: PeerDatagrams,
        directory: BackendDirectory,
        neighbours: Callable[[], list[Address]],
    ) -> None:
        """Tell what ``neighbours`` returns: the other gateways of the zone."""
        self.taken = 0
        self._datagrams = datagrams
        self._directory = directory
        self._neighbours = neighbours
        self._loop = asyncio.get_running_loop()
        self._gathered: set[str] = set()
        self._warned_at: dict[str, float] = {}
        self._sending: asyncio.TimerHandle | None = None
        datagrams.handle(BackendWarning, self._on_warning)

    def note(self, backend_id: str) -> None:
        """Gather a failure that was seen here."""
        now = self._loop.time()
        if now - self._warned_at.get(backend_id, float("-inf")) < WARNED_AGAIN_S:
            return
        self._warned_at[backend_id] = now
        self._gathered.add(backend_id)
        if self._sending is None:
            self._sending = self._loop.call_later(GATHERED_S, self._send)

    def _send(self) -> None:
        """Send what was gathered."""
        self._sending = None
        named = sorted(self._gathered)
        self._gathered.clear()
        now = self._loop.time()
        self._warned_at = {
            name: at for name, at in self._warned_at.items() if now - at < WARNED_AGAIN_S
        }
        neighbours = self._neighbours()
        for first in range(0, len(named), MOST_NAMED):
            warning = BackendWarning(tuple(named[first : first + MOST_NAMED]))
            self._datagrams.send(warning, *neighbours)

    def _on_warning(self, warning: BackendWarning, _peer: Address) -> None:
        """Doubt the back ends named, but for those that have just answered here."""
        now = self._loop.time()
        for backend_id in warning.backend_ids:
            backend = self._directory.by_id(backend_id)
            if backend is not None and backend.observations.warned(now):
                self.taken += 1
