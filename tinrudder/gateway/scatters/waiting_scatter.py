"""One scatter between its arrival and its outcome, at the gateway that runs it.

Owns the scatter's place in the queue of its index, and its run once it is admitted. Relies on an
:class:`Admission`, which decides when the run begins; answers through the outcome listener.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from tinrudder.gateway.clients.client_deadlines import Deadlines
from tinrudder.gateway.decisions.admission.queued_scatter import QueuedScatter
from tinrudder.gateway.model.configuration import Route
from tinrudder.gateway.model.outcomes import NotRun, RequestOutcome
from tinrudder.gateway.peers.peer_messages import MissingShard
from tinrudder.gateway.runs.request_run import OutcomeListener, RequestRun

MakeRun = Callable[[OutcomeListener], RequestRun]


class Admission(Protocol):
    """Decides when the scatters of one index begin."""

    def enter(self, ticket: Ticket) -> None:
        """Start a scatter, let it wait, or refuse it."""

    def leave(self, ticket: Ticket) -> None:
        """Forget a scatter that has ended, or whose caller has gone."""


class Ticket:
    """One scatter in an index's admission: it waits, runs, or has left.

    :ivar run: the scatter while it runs.
    """

    def __init__(self, admission: Admission, waiting: WaitingScatter) -> None:
        """Prepare; nothing happens before :meth:`enter`."""
        self.waiting = waiting
        self.run: RequestRun | None = None
        self.scatter: QueuedScatter | None = None
        self._admission = admission

    def enter(self) -> None:
        """Begin, wait, or be refused."""
        self._admission.enter(self)

    def leave(self) -> None:
        """Give back the place in the queue, or the part of the concurrency limit."""
        self._admission.leave(self)


class WaitingScatter:
    """One scatter from its arrival to its outcome; nothing of it runs before it is admitted.

    :ivar decided_at: monotonic time of the latest decision on it.
    """

    def __init__(
        self,
        admission: Admission,
        route: Route,
        deadlines: Deadlines,
        priority: int,
        tenant: str,
        make_run: MakeRun,
        on_outcome: OutcomeListener,
    ) -> None:
        """Prepare.

        :param tenant: on whose behalf it comes; empty for nobody's.
        :param make_run: prepares the run at the moment at which it begins.
        """
        self.route = route
        self.deadlines = deadlines
        self.priority = priority
        self.tenant = tenant
        self._make_run = make_run
        self._on_outcome = on_outcome
        self._run: RequestRun | None = None
        self._refused_at = deadlines.received_at
        self._ticket = Ticket(admission, self)

    @property
    def repeats(self) -> int:
        """Return how many calls were sent beyond the first of each shard."""
        return self._run.repeats if self._run is not None else 0

    @property
    def missing_shards(self) -> tuple[MissingShard, ...]:
        """Return the shards without an answer; none while nothing was asked."""
        return self._run.missing_shards if self._run is not None else ()

    @property
    def decided_at(self) -> float:
        """Return when the latest decision fell."""
        return self._run.decided_at if self._run is not None else self._refused_at

    def start(self) -> None:
        """Ask for admission."""
        self._ticket.enter()

    def abandon(self) -> None:
        """End for a client that has left."""
        if self._run is not None:
            self._run.abandon()
        self._ticket.leave()

    def begin(self) -> RequestRun:
        """Prepare the run; the admission starts it."""
        self._run = self._make_run(self._end)
        return self._run

    def refuse(self, refusal: NotRun, now: float) -> None:
        """End without having run."""
        self._refused_at = now
        self._on_outcome(refusal)

    def _end(self, outcome: RequestOutcome) -> None:
        """Answer, then let others begin."""
        self._on_outcome(outcome)
        self._ticket.leave()
