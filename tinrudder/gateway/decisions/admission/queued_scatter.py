"""What decides on the place of a scatter that waits, and why one is refused.

Owns the two types that :mod:`tinrudder.gateway.decisions.admission.scatter_queue` and its callers
share; it decides nothing.  Times are monotonic seconds.
"""

from __future__ import annotations

from msgspec import Struct


class QueuedScatter(Struct, eq=False):
    """One scatter, and what decides on its place.

    :param priority: 0 is the most urgent.
    :param usual_s: how long such a scatter takes without waiting.
    :param returning: its caller was refused before.
    :param tenant: on whose behalf it comes; empty for nobody's.
    :param late: it cannot meet its objective any more.
    :param refusable_until: when a refusal stops being better than a late answer.
    :param latest_start_at: when it is refused all the same.
    :param turn: its place among the tenants' scatters: one that asks for much gets later turns.
    """

    priority: int
    objective_at: float
    deadline_at: float
    usual_s: float
    returning: bool = False
    tenant: str = ""
    late: bool = False
    refusable_until: float = 0.0
    latest_start_at: float = 0.0
    turn: int = 0
    number: int = 0

    @property
    def order(self) -> tuple[bool, int, int, bool, float, int]:
        """Return the sort key; the smallest goes first.

        What cannot be in time any more is worth little, whatever its priority, and goes last.
        """
        return (
            self.late,
            self.priority,
            self.turn,
            self.returning,
            self.objective_at,
            self.number,
        )


class ScatterRefusal(Struct, frozen=True):
    """Why a scatter is refused, by the figures of that moment.

    :param ahead: how many others wait before it.
    :param expected_s: until it could start.
    :param bearable_s: for how long it may wait.
    :param held: room that is held; ``limit``: how much may be.
    :param waiting: how many scatters wait.
    """

    priority: int
    ahead: int
    expected_s: float
    bearable_s: float
    held: float
    limit: float
    waiting: int

    def __str__(self) -> str:
        """Return the detail of the log line."""
        return (
            f"overload: place {self.ahead + 1} of {self.waiting + 1}, "
            f"wait {self.expected_s:.3f} s, bearable {self.bearable_s:.3f} s, "
            f"room {self.held:.1f} of {self.limit:.1f}, priority {self.priority}"
        )
