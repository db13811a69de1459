"""Bounds the memory that a gateway holds for clients, back ends and peers.

Owns the counts of what was refused or closed for lack of memory, and their log lines.  Connections
and runs count the bytes that they hold (:class:`HeldBytes`);
:mod:`tinrudder.gateway.decisions.admission.memory_bound` decides at which fill each priority is
refused.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from functools import partial

from tinrudder.common.logs import LogValue, log_problem
from tinrudder.gateway.clients.held_bytes import HeldBytes
from tinrudder.gateway.decisions.admission.memory_bound import (
    READ_PAUSE_FILL,
    largest_answer_bytes,
    refusal_fill,
    retry_after_s,
)
from tinrudder.gateway.model.outcomes import NotRun

LOG_INTERVAL_S = 1.0
"""Minimum time between two log lines of one event, seconds.  Metrics count the events left out."""


class MemoryAccount(HeldBytes):
    """The bytes held now, and the bound on them.

    :ivar bound: the most bytes that may be held.
    :ivar refused: requests refused for lack of memory.
    :ivar ended_unread: connections closed because their client did not read.
    :ivar pauses: how often reading from a client was paused.
    """

    __slots__ = (
        "_clock",
        "_count_peers",
        "_line_at",
        "_near",
        "bound",
        "ended_unread",
        "pauses",
        "refused",
    )

    def __init__(
        self,
        bound: float = math.inf,
        clock: Callable[[], float] = lambda: 0.0,
        count_peers: Callable[[], int] = lambda: 0,
    ) -> None:
        """Start with nothing held.

        :param count_peers: counts the bytes held for peers, by visiting each of their connections.
        """
        super().__init__(partial(largest_answer_bytes, bound))
        self.bound = bound
        self.refused = 0
        self.ended_unread = 0
        self.pauses = 0
        self._near = bound * READ_PAUSE_FILL / 2
        self._count_peers = count_peers
        self._clock = clock
        self._line_at: dict[str, float] = {}

    @property
    def fill(self) -> float:
        """The held fraction of the bound; at 1 or more there is no room."""
        self.refresh_peers()
        if self.bound <= 0.0:
            return 1.0
        return (self.clients + self.backends + self.peers) / self.bound

    @property
    def may_be_near(self) -> bool:
        """Whether :attr:`fill` needs to be computed; cheap, as it uses the last count for peers."""
        return self.clients + self.backends + self.peers >= self._near

    @property
    def is_near_bound(self) -> bool:
        """Whether reading of bodies should pause."""
        return self.may_be_near and self.fill >= READ_PAUSE_FILL

    @property
    def is_full(self) -> bool:
        """Whether the bound is reached."""
        return self.may_be_near and self.fill >= 1.0

    def refresh_peers(self) -> None:
        """Refresh the count for peers; the node's housekeeping also calls this every second."""
        self.peers = self._count_peers()

    def refusal(self, priority_steps: int) -> NotRun | None:
        """Return a refusal if a request may not start; less urgent requests are refused first.

        :param priority_steps: number of priorities in use that are more urgent than the request's.
        """
        if not self.may_be_near:
            return None
        fill = self.fill
        if fill < refusal_fill(priority_steps):
            return None
        self.refused += 1
        self._log("memory_refused", {"refused": self.refused})
        detail = f"memory: {fill:.2f} of what may be held"
        return NotRun(detail, retry_after_s(priority_steps))

    def note_refused_body(self) -> None:
        """Count a request refused because there was no memory for its body."""
        self.refused += 1
        self._log("memory_refused", {"refused": self.refused})

    def note_ended_unread(self, unread: int, idle_s: float) -> None:
        """Count a connection closed because its client does not read."""
        self.ended_unread += 1
        fields: dict[str, LogValue] = {
            "bytes": unread,
            "idle_s": round(idle_s, 3),
            "ended": self.ended_unread,
        }
        self._log("client_ended_unread", fields)

    def _log(self, event: str, fields: dict[str, LogValue]) -> None:
        """Log an event with the bytes held, at most once in :data:`LOG_INTERVAL_S`."""
        now = self._clock()
        if now < self._line_at.get(event, -math.inf):
            return
        self._line_at[event] = now + LOG_INTERVAL_S
        held = {"clients": self.clients, "backends": self.backends, "peers": self.peers}
        log_problem(event, {**fields, **held, "bound": _finite(self.bound)})


def _finite(bound: float) -> float | None:
    """Return the bound for a log line; ``None`` if there is none."""
    return None if math.isinf(bound) else bound
