"""Which queues does a gateway tell others of, and what does it make of being told?

The load answered: a service of few back ends that every gateway calls. Each gateway sees a few of
its answers a second there, too few to know which back end is full. A report is told by who heard
the back end and not passed on: by each way that it took it would look younger.

Inputs: reports of back ends' load with their age in seconds, and how many peers there are.

Answer: reports to tell and to how many peers, or whether a report that was told is newer than what
is known.

Owns: the back ends that wait to be told of, and the budget of bytes.

Shown by: log line ``queues_long``; metrics ``tinrudder_gateway_load_news_sent``,
``tinrudder_gateway_load_news_taken`` and ``tinrudder_gateway_load_news_ignored``.

When an input is missing or old: a report older than 0.8 s is neither told nor taken; figures that
no back end can have are ignored.
"""

from __future__ import annotations

from msgspec import Struct

from tinrudder.gateway.decisions.fleet.send_budget import SendBudget
from tinrudder.gateway.decisions.placement.backend_observations import BackendObservations

TOLD_FROM = 1.0
"""Waiting calls for each slot from which a queue is told: a call waits there for as long as calls
take, and longer.  From half of that on, no fewer were shed, and queues of chance were told too."""
BYTES_PER_S = 900.0
"""What one gateway sends in a second, all peers together, headers counted, a choice: a third of
what all of its messages may take in a fleet of 730."""
MOST_BYTES = 7_000.0
"""What may leave at once after a pause, a choice: a gateway of 730 sees an answer of such a service
once in ten seconds, and has to tell a sixth of the others of it."""
DATAGRAM_BYTES = 34
"""Bytes of a datagram without its back ends: 28 of IP and UDP, and 6 of our own at most
(arithmetic)."""
LOAD_BYTES = 26
"""Bytes of one back end in a datagram, at most (arithmetic; a test of the encoding holds it)."""
MOST_IN_A_DATAGRAM = 4
"""Back ends in one datagram, a choice: as many as such a service has."""
GATHER_S = 0.02
"""How long news waits for more, a choice: short beside calls whose queue hundreds must know of."""
NEXT_S = 0.1
"""When to look again where nothing may leave now, seconds. Chosen, not measured: by then a
datagram of two back ends may."""
MOST_AGE_S = 0.8
"""Age from which a report says nothing of the queue any more, seconds: ``BACKLOG_LIFETIME_S`` of
the observations. Chosen, not measured."""
LONGEST_WORK_S = 600.0
"""Longest time of work that is believed, seconds: longer than any call is waited for, so a figure
above is none."""
MOST_CALLS = 100_000
"""Most calls and slots that are believed: more than any back end holds, so a figure above is no
count."""
MOST_SLOWDOWN = 1000.0
"""Largest slowdown that is believed, 1 is usual: more than any back end lives with."""


class ReportedLoad(Struct, frozen=True):
    """One report of a back end's load, as gateways tell it to each other.

    :param backend: a number drawn from what names this start of the back end.
    :param calls: that run or wait there.
    :param age_s: how old the report is; it is told by who heard the back end, and not passed on.
    :param shed: the back end turned a call away at that moment.
    :param work_s: how long calls hold a slot there by what the teller saw itself; 0: not known.
    """

    backend: int
    calls: int
    slots: int
    slowdown: float
    age_s: float
    shed: bool = False
    work_s: float = 0.0

    @property
    def is_credible(self) -> bool:
        """Tell whether the figures can be those of a back end, and are of use still."""
        return (
            0 <= self.calls <= MOST_CALLS
            and 0 < self.slots <= MOST_CALLS
            and 0.0 < self.slowdown <= MOST_SLOWDOWN
            and 0.0 <= self.age_s < MOST_AGE_S
            and 0.0 <= self.work_s <= LONGEST_WORK_S
        )

    @property
    def is_long(self) -> bool:
        """Tell whether it is of a queue worth speaking of."""
        return self.shed or is_long(self.calls - self.slots, self.slots)


class Noted(Struct, frozen=True):
    """A back end that others are to hear of, see :class:`ReportedLoad`.

    :param heard_at: moment of the report that an answer to this gateway brought.
    """

    backend: int
    shed: bool
    work_s: float
    heard_at: float


def is_long(waiting: int, slots: int) -> bool:
    """Tell whether a queue is worth speaking of.

    >>> is_long(3, 4), is_long(4, 4), is_long(0, 0)
    (False, True, False)
    """
    return waiting > 0 and waiting >= TOLD_FROM * slots


def tell_load(noted: Noted, known: BackendObservations, now: float) -> ReportedLoad | None:
    """Return a report as it is told now; ``None`` if others have told a newer one meanwhile.

    That is theirs to tell: passed on, it would look younger by each way that it took.
    """
    if known.reported_at != noted.heard_at:
        return None
    return ReportedLoad(
        noted.backend,
        known.reported_backlog,
        known.slots,
        known.reported_slowdown,
        now - known.reported_at,
        noted.shed,
        noted.work_s,
    )


def take_load(told: ReportedLoad, known: BackendObservations, now: float) -> bool:
    """Take what another gateway told of a back end, and return whether it is newer."""
    if told.shed:
        newer = known.shed(now, told.age_s, told.calls)
    else:
        newer = known.reported(
            min(told.calls, told.slots),
            max(0, told.calls - told.slots),
            told.slots,
            now,
            told.slowdown,
            told.age_s,
        )
    if newer and told.work_s:
        known.worked(told.work_s)
    return newer


class PendingNews:
    """Back ends that others are to hear of, the latest of each once, however often it is noted."""

    def __init__(self) -> None:
        """Hold nothing."""
        self._budget = SendBudget(MOST_BYTES, BYTES_PER_S)
        self._noted: dict[int, Noted] = {}

    def __len__(self) -> int:
        """Return how many back ends wait to be told of."""
        return len(self._noted)

    def note(self, noted: Noted) -> None:
        """Hold a back end until there is room to tell of it; the newest are told first."""
        self._noted.pop(noted.backend, None)
        self._noted[noted.backend] = noted

    def take(self, now: float, peers: int) -> tuple[list[Noted], int]:
        """Return back ends for one datagram, and to how many peers it may go; 0: later."""
        if not peers:
            self._noted.clear()
        most = min(MOST_IN_A_DATAGRAM, len(self._noted))
        copies = self._budget.take(peers, now, DATAGRAM_BYTES + LOAD_BYTES * most)
        if not copies:
            return [], 0
        return [self._noted.popitem()[1] for _ in range(most)], copies
