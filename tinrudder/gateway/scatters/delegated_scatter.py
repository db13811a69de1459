"""The entry's side of a scatter that a coordinator runs.

Owns the order in which coordinators are asked and what may be said of the outcome; relies on
:mod:`tinrudder.gateway.scatters.delegation` for each attempt, and on ``run_here`` as a last resort.
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
    """One scatter; coordinators are asked in turn, and the last resort is to run it here.

    A coordinator that does not even say that it took the scatter is taken for dead while there is
    time for another: it never begins without a confirmation, or does no harm if it does.  Where a
    coordinator had begun, its calls cannot be counted, so nothing is sent again.
    """

    def __init__(
        self,
        route: Route,
        request: HttpRequest,
        request_id: bytes,
        deadlines: Deadlines,
        delegation_context: DelegationContext,
        asked: tuple[Address, ...],
        run_here: Callable[[OutcomeListener], WaitingScatter],
        on_outcome: OutcomeListener,
        priority: int,
    ) -> None:
        """Prepare; ``run_here`` makes the run of the last resort."""
        self._priority = priority
        self.repeats = 0
        self.missing_shards: tuple[MissingShard, ...] = ()
        self._route = route
        self._request = request
        self._request_id = request_id
        self._deadlines = deadlines
        self._delegation_context = delegation_context
        self._asked = asked
        self._run_here = run_here
        self._on_outcome = on_outcome
        self._lost = False
        self._may_have_run = False
        self._problems: list[str] = []
        self._task: asyncio.Task[None] | None = None
        self._local: WaitingScatter | None = None

    def start(self) -> None:
        """Ask the first coordinator."""
        self._delegation_context.call_context.counters.relayed += 1
        self._task = self._delegation_context.call_context.loop.create_task(self._run())

    def abandon(self) -> None:
        """End for a client that has left; the coordinator is told."""
        if self._local is not None:
            self._local.abandon()
        elif self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        """Ask coordinators until one answers."""
        for coordinator in self._asked:
            if not self._may_ask_again:
                break
            end = await self._ask(coordinator)
            if end is not None:
                self._take(end)
                return
        detail = "; ".join(self._problems)
        if self._may_ask_again:
            self._run_local()
        elif self._left_s <= ANSWER_MARGIN_S:
            self._on_outcome(TimedOut(detail))
        else:
            self._on_outcome(NoAnswer(detail))

    async def _ask(self, coordinator: Address) -> ScatterEnd | None:
        """Ask one coordinator; ``None`` when it gave no usable answer."""
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
                self._problems.append(detail)
            case Unconfirmed(detail=detail):
                self._problems.append(detail)
                self._may_have_run = True
            case LostAfterStart(detail=detail):
                self._problems.append(detail)
                self._lost = True
        return None

    def _take(self, end: ScatterEnd) -> None:
        """Report a coordinator's answer."""
        self.repeats = end.repeats
        self.missing_shards = end.missing_shards
        if isinstance(end.outcome, Merged):
            size = len(end.outcome.body)
            self._delegation_context.call_context.observe_sizes(self._route.shards, size, ())
        self._report(end.outcome)

    def _report(self, outcome: RequestOutcome) -> None:
        """Report the outcome; that nothing has run is said only if that holds for all asked."""
        if isinstance(outcome, NotRun) and self._may_have_run:
            outcome = NoAnswer("; ".join([*self._problems, outcome.detail]))
        self._on_outcome(outcome)

    @property
    def _may_ask_again(self) -> bool:
        """Tell whether there is time, and whether calls may be sent at all."""
        return not self._lost and self._left_s > ANSWER_MARGIN_S

    @property
    def _left_s(self) -> float:
        """Return the time until the final answer must leave."""
        return self._deadlines.deadline_at - self._delegation_context.call_context.loop.time()

    def _scatter_request(self, coordinator: Address) -> ScatterRequest:
        """Say what is asked of a coordinator, with the time that is left to it now."""
        whole = whole_scatter(
            self._delegation_context,
            coordinator,
            self._request,
            self._request_id,
            self._deadlines,
        )
        return replace(whole, priority=self._priority)

    def _run_local(self) -> None:
        """Run the scatter here."""
        self._delegation_context.call_context.counters.relays_run_here += 1
        self._local = self._run_here(self._end_local)
        self._local.start()

    def _end_local(self, outcome: RequestOutcome) -> None:
        """Report the outcome of the run here."""
        assert self._local is not None
        self.repeats = self._local.repeats
        self.missing_shards = self._local.missing_shards
        self._report(outcome)
