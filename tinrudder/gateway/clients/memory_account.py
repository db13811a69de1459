"""Bounds what a gateway holds for clients, back ends and peers, and says who finds no room.

Owns the counts of what was refused or ended for lack of room, and the log lines of that.  Relies on
those who hold bytes to count them (:class:`HeldBytes`), and on
:mod:`tinrudder.gateway.decisions.admission.memory_bound` for who is refused how early.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from tinrudder.common.logs import LogValue, log_problem
from tinrudder.gateway.clients.held_bytes import HeldBytes
from tinrudder.gateway.decisions.admission.memory_bound import (
    LARGEST_ANSWER_SHARE,
    PAUSE_FILL,
    refused_from,
    retry_after_s,
)
from tinrudder.gateway.model.outcomes import NotRun

LOG_PAUSE_S = 1.0
"""Least time between two log lines of one kind, seconds.  Chosen, not measured: metrics count what
is left out."""


class MemoryAccount(HeldBytes):
    """What is held now, and the bound on it.

    :ivar bound: the most that may be held, bytes.
    :ivar refused: requests refused since there was no room.
    :ivar ended_unread: connections ended since their client did not read.
    :ivar pauses: times that reading from a client was stopped.
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
        """Begin with nothing held.

        :param count_peers: counts what is held for peers now: a look at each of their connections.
        """
        super().__init__()
        self.bound = bound
        self.refused = 0
        self.ended_unread = 0
        self.pauses = 0
        self._near = bound * PAUSE_FILL / 2
        self._count_peers = count_peers
        self._clock = clock
        self._line_at: dict[str, float] = {}

    @property
    def fill(self) -> float:
        """Return the part of the bound that is held; 1 and more: there is no room."""
        self.look()
        if self.bound <= 0.0:
            return 1.0
        return (self.clients + self.backends + self.peers) / self.bound

    @property
    def may_be_near(self) -> bool:
        """Tell cheaply, by the latest look at the peers, whether the account is worth another."""
        return self.clients + self.backends + self.peers >= self._near

    @property
    def is_near(self) -> bool:
        """Tell whether bodies should not be read on."""
        return self.may_be_near and self.fill >= PAUSE_FILL

    @property
    def is_full(self) -> bool:
        """Tell whether nothing more has room."""
        return self.may_be_near and self.fill >= 1.0

    @property
    def largest_answer(self) -> float:
        """Return the most that one answer may take, bytes."""
        return self.bound * LARGEST_ANSWER_SHARE

    def look(self) -> None:
        """Count what is held for peers; the node's housekeeping does so every second."""
        self.peers = self._count_peers()

    def refusal(self, priority_steps: int) -> NotRun | None:
        """Return why a request may not begin, if so; the less urgent ones are refused first.

        :param priority_steps: how many priorities in use are more urgent than the request's.
        """
        if not self.may_be_near:
            return None
        fill = self.fill
        if fill < refused_from(priority_steps):
            return None
        self.refused += 1
        self._log("memory_refused", {"refused": self.refused})
        detail = f"memory: {fill:.2f} of what may be held"
        return NotRun(detail, retry_after_s(priority_steps))

    def note_refused_body(self) -> None:
        """Count a request whose body found no room."""
        self.refused += 1
        self._log("memory_refused", {"refused": self.refused})

    def note_ended_unread(self, unread: int, idle_s: float) -> None:
        """Count a connection that is ended since its client does not read."""
        self.ended_unread += 1
        fields: dict[str, LogValue] = {
            "bytes": unread,
            "idle_s": round(idle_s, 3),
            "ended": self.ended_unread,
        }
        self._log("client_ended_unread", fields)

    def _log(self, event: str, fields: dict[str, LogValue]) -> None:
        """Write a line with what is held, unless one of its kind has just been written."""
        now = self._clock()
        if now < self._line_at.get(event, -math.inf):
            return
        self._line_at[event] = now + LOG_PAUSE_S
        held = {"clients": self.clients, "backends": self.backends, "peers": self.peers}
        log_problem(event, {**fields, **held, "bound": _finite(self.bound)})


def _finite(bound: float) -> float | None:
    """Return a bound as a log line has it."""
    return None if math.isinf(bound) else bound
