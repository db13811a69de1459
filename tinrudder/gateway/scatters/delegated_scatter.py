"""A scatter delegated to a coordinator, at the gateway that received it from the client.

Owns the attempts at one coordinator after another, and which outcome can be reported after them.
Depends on :mod:`tinrudder.gateway.scatters.delegation` for each attempt, and on ``make_local_run``
if none succeeds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from msgspec.structs import replace

from tinrudder.common.address import Address
from tinrudder.gateway.clients.client_deadlines import Deadlines
from tinrudder.gateway.model.configuration import Route
from tinrudder.gateway.model.http_messages import HttpRequest
from tinrudder.gateway.model.outcomes import Merged, NoAnswer, NotRun, RequestOutcome, TimedOut
from tinrudder.gateway.peers.peer_messages import MissingShard, ScatterEnd, ScatterRequest
from tinrudder.gateway.runs.request_run import OutcomeListener
from tinrudder.gateway.scatters.delegation import (
    ANSWER_MARGIN_S,
    LostAfterStart,
    NotStarted,
    Unconfirmed,
    delegate,
    may_begin_at_once,
    whole_scatter,
)
from tinrudder.gateway.scatters.delegation_context import DelegationContext
from tinrudder.gateway.scatters.waiting_scatter import WaitingScatter


class DelegatedScatter:
    """One scatter: asks coordinators one after another, and runs the scatter here if all fail.

    A coordinator that does not accept the scatter in time is treated as failed, and the next one is
    asked.  That is safe: the first coordinator either does not begin without a confirmation, or the
    calls of both cannot exceed the attempt limit.  If a coordinator is lost after it has begun, its
    calls cannot be counted, so the scatter is not sent again.
    """

    def __init__(
        self,
        route: Route,
        request: HttpRequest,
        request_id: bytes,
        deadlines: Deadlines,
        delegation_context: DelegationContext,
        coordinators: tuple[Address, ...],
        make_local_run: Callable[[OutcomeListener], WaitingScatter],
        on_outcome: OutcomeListener,
        priority: int,
    ) -> None:
        """Prepare the scatter; ``make_local_run`` creates the run here if all coordinators fail."""
        self._priority = priority
        self.repeats = 0
        self.missing_shards: tuple[MissingShard, ...] = ()
        self._route = route
        self._request = request
        self._request_id = request_id
        self._deadlines = deadlines
        self._delegation_context = delegation_context
        self._coordinators = coordinators
        self._make_local_run = make_local_run
        self._on_outcome = on_outcome
        self._coordinator_lost = False
        self._may_have_run = False
        self._failures: list[str] = []
        self._task: asyncio.Task[None] | None = None
        self._local_run: WaitingScatter | None = None

    def start(self) -> None:
        """Ask the first coordinator."""
        self._delegation_context.call_context.counters.relayed += 1
        self._task = self._delegation_context.call_context.loop.create_task(self._run())

    def abandon(self) -> None:
        """End the scatter for a client that has disconnected, also at the coordinator."""
        if self._local_run is not None:
            self._local_run.abandon()
        elif self._task is not None:
            task, self._task = self._task, None
            task.cancel()

    @property
    def waiting_service(self) -> str:
        """Return nothing: a scatter waits for many services, in a queue of its own."""
        return ""

    def on_deadline_shortened(self) -> None:
        """Apply a deadline that a planned stop has brought forward."""
        if self._local_run is not None:
            self._local_run.on_deadline_shortened()
        elif self._task is not None and not self._task.done():
            loop = self._delegation_context.call_context.loop
            loop.call_at(self._deadlines.deadline_at, self._on_process_end)

    def _on_process_end(self) -> None:
        """Report that no coordinator has answered before this process ends."""
        # Neither abandoned nor answered meanwhile.
        if self._local_run is None and self._task is not None and not self._task.done():
            self._task.cancel()
            self._on_outcome(TimedOut("; ".join([*self._failures, "no answer in time"])))

    async def _run(self) -> None:
        """Ask coordinators until one answers."""
        for coordinator in self._coordinators:
            if not self._may_ask_again:
                break
            end = await self._ask(coordinator)
            if end is not None:
                self._process_answer(end)
                return
        detail = "; ".join(self._failures)
        if self._may_ask_again:
            self._start_local_run()
        elif self._time_left_s <= ANSWER_MARGIN_S:
            self._on_outcome(TimedOut(detail))
        else:
            self._on_outcome(NoAnswer(detail))

    async def _ask(self, coordinator: Address) -> ScatterEnd | None:
        """Ask one coordinator; return ``None`` if it gave no usable answer."""
        scatter = self._scatter_request(coordinator)
        outcome = await delegate(
            self._delegation_context,
            coordinator,
            scatter,
            self._deadlines,
            begin_at_once=may_begin_at_once(
                self._delegation_context, self._route, self._route.shards
            ),
        )
        match outcome:
            case ScatterEnd():
                return outcome
            case NotStarted(detail=detail):
                self._failures.append(detail)
            case Unconfirmed(detail=detail):
                self._failures.append(detail)
                self._may_have_run = True
            case LostAfterStart(detail=detail):
                self._failures.append(detail)
                self._coordinator_lost = True
        return None

    def _process_answer(self, end: ScatterEnd) -> None:
        """Process a coordinator's answer."""
        self.repeats = end.repeats
        self.missing_shards = end.missing_shards
        if isinstance(end.outcome, Merged):
            size = len(end.outcome.body)
            self._delegation_context.call_context.observe_sizes(self._route.shards, size, ())
        self._report(end.outcome)

    def _report(self, outcome: RequestOutcome) -> None:
        """Report the outcome; ``NotRun`` only if the request cannot have run elsewhere either."""
        if isinstance(outcome, NotRun) and self._may_have_run:
            outcome = NoAnswer("; ".join([*self._failures, outcome.detail]))
        self._on_outcome(outcome)

    @property
    def _may_ask_again(self) -> bool:
        """Return whether there is time, and no coordinator was lost after it had begun."""
        return not self._coordinator_lost and self._time_left_s > ANSWER_MARGIN_S

    @property
    def _time_left_s(self) -> float:
        """Return the time until the deadline of the answer, seconds."""
        return self._deadlines.deadline_at - self._delegation_context.call_context.loop.time()

    def _scatter_request(self, coordinator: Address) -> ScatterRequest:
        """Return the request to a coordinator, with the time now left to it."""
        whole = whole_scatter(
            self._delegation_context,
            coordinator,
            self._request,
            self._request_id,
            self._deadlines,
        )
        return replace(whole, priority=self._priority)

    def _start_local_run(self) -> None:
        """Run the scatter on this gateway."""
        self._delegation_context.call_context.counters.relays_run_here += 1
        self._local_run = self._make_local_run(self._on_local_outcome)
        self._local_run.start()

    def _on_local_outcome(self, outcome: RequestOutcome) -> None:
        """Report the outcome of the run on this gateway."""
        assert self._local_run is not None
        self.repeats = self._local_run.repeats
        self.missing_shards = self._local_run.missing_shards
        self._report(outcome)
