"""A scatter that waits for admission, and the reason for refusing one.

Owns the two types that :mod:`tinrudder.gateway.decisions.admission.scatter_queue` and its callers
share; it decides nothing. Times are monotonic seconds.
"""

from __future__ import annotations

from msgspec import Struct


class QueuedScatter(Struct, eq=False):
    """One scatter, with all values that determine its position in the queue.

    :param priority: 0 is the most urgent.
    :param typical_time_s: how long such a scatter typically takes without waiting.
    :param returning: its caller was refused before.
    :param tenant: the tenant it runs for; empty for none.
    :param late: it can no longer meet its objective.
    :param refusable_until: time after which a late answer is better than a refusal.
    :param latest_start_at: time at which it is refused if it has not started.
    :param turn: its position among the tenants' scatters; a tenant that sends many gets later
        turns.
    """

    priority: int
    objective_at: float
    deadline_at: float
    typical_time_s: float
    returning: bool = False
    tenant: str = ""
    late: bool = False
    refusable_until: float = 0.0
    latest_start_at: float = 0.0
    turn: int = 0
    number: int = 0

    @property
    def order(self) -> tuple[bool, int, int, bool, float, int]:
        """Return the sort key; the smallest is the first in the queue.

        Scatters that can no longer meet their objective have little value, and are last regardless
        of priority.
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
    """Why a scatter is refused, with the figures at that time.

    :param ahead: number of scatters queued before it.
    :param expected_s: expected wait until it could start.
    :param max_wait_s: longest acceptable wait.
    :param held: capacity held by running scatters; ``limit``: the maximum.
    :param waiting: number of scatters in the queue.
    """

    priority: int
    ahead: int
    expected_s: float
    max_wait_s: float
    held: float
    limit: float
    waiting: int

    def __str__(self) -> str:
        """Return the detail of the log line."""
        return (
            f"overload: place {self.ahead + 1} of {self.waiting + 1}, "
            f"wait {self.expected_s:.3f} s, bearable {self.max_wait_s:.3f} s, "
            f"room {self.held:.1f} of {self.limit:.1f}, priority {self.priority}"
        )
