"""One scatter between its arrival and its outcome, at the gateway that runs it.

Owns the scatter's ticket in the admission of its index, and its run once it is admitted. Depends on
an :class:`Admission`, which decides when the run begins; answers through the outcome listener.
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

RunFactory = Callable[[OutcomeListener], RequestRun]


class Admission(Protocol):
    """Decides when the scatters of one index start."""

    def enter(self, ticket: Ticket) -> None:
        """Start, queue or refuse a scatter."""

    def leave(self, ticket: Ticket) -> None:
        """Remove a scatter that has ended, or whose client has disconnected."""

    def shorten(self, ticket: Ticket) -> None:
        """Apply the shortened deadlines of a scatter that waits; it may be refused."""


class Ticket:
    """The record of one scatter in the admission of its index: waiting, running or removed.

    :ivar run: the scatter's run, once it has started.
    :ivar scatter: its entry in the queue; ``None`` before :meth:`enter`.
    """

    def __init__(self, admission: Admission, waiting: WaitingScatter) -> None:
        """Create the record; it enters the admission with :meth:`enter`."""
        self.waiting = waiting
        self.run: RequestRun | None = None
        self.scatter: QueuedScatter | None = None
        self._admission = admission

    def enter(self) -> None:
        """Ask for admission: the scatter starts, waits or is refused."""
        self._admission.enter(self)

    def shorten(self) -> None:
        """Apply the shortened deadlines to the place in the queue."""
        self._admission.shorten(self)

    def leave(self) -> None:
        """Release the place in the queue, or the part of the concurrency limit."""
        self._admission.leave(self)


class WaitingScatter:
    """One scatter from its arrival to its outcome; no call is sent before it is admitted.

    :ivar decided_at: monotonic time of the latest decision on it, seconds.
    """

    def __init__(
        self,
        admission: Admission,
        route: Route,
        deadlines: Deadlines,
        priority: int,
        tenant: str,
        make_run: RunFactory,
        on_outcome: OutcomeListener,
    ) -> None:
        """Prepare the scatter; :meth:`start` asks for admission.

        :param tenant: the name of its tenant; empty without one.
        :param make_run: creates the run when the scatter is admitted.
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
        """Return how many retries and hedged calls were sent, over all shards."""
        return self._run.repeats if self._run is not None else 0

    @property
    def missing_shards(self) -> tuple[MissingShard, ...]:
        """Return the shards without an answer; empty before the scatter runs."""
        return self._run.missing_shards if self._run is not None else ()

    @property
    def decided_at(self) -> float:
        """Return the time of the latest decision, seconds."""
        return self._run.decided_at if self._run is not None else self._refused_at

    def start(self) -> None:
        """Ask for admission."""
        self._ticket.enter()

    def abandon(self) -> None:
        """End the scatter for a client that has disconnected."""
        if self._run is not None:
            self._run.abandon()
        self._ticket.leave()

    @property
    def waiting_service(self) -> str:
        """Return nothing: a scatter waits for many services, in a queue of its own."""
        return ""

    def on_deadline_shortened(self) -> None:
        """Apply a deadline that a planned stop has brought forward."""
        if self._run is not None:
            self._run.on_deadline_shortened()
        else:
            self._ticket.shorten()

    def begin(self) -> RequestRun:
        """Create the run; the admission starts it."""
        self._run = self._make_run(self._end)
        return self._run

    def refuse(self, refusal: NotRun, now: float) -> None:
        """End the scatter without a run."""
        self._refused_at = now
        self._on_outcome(refusal)

    def _end(self, outcome: RequestOutcome) -> None:
        """Report the outcome, then release the place so that others can start."""
        self._on_outcome(outcome)
        self._ticket.leave()
