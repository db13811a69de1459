"""The coordinator's side of a scatter that another gateway delegates.

Owns the scatters that run here for others, and the reasons to decline or refuse one. Relies on the
same admission and the same planner as scatters of this gateway's own clients.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tinrudder.gateway.clients.client_deadlines import Deadlines
from tinrudder.gateway.model.configuration import Route
from tinrudder.gateway.model.http_messages import header_value
from tinrudder.gateway.model.outcomes import NotRun, RequestOutcome
from tinrudder.gateway.observability.request_log import log_coordinated
from tinrudder.gateway.peers.peer_messages import (
    Declined,
    ScatterAnswer,
    ScatterEnd,
    ScatterRequest,
)
from tinrudder.gateway.peers.poison_watch import PoisonWatch
from tinrudder.gateway.peers.reachability import Reachability
from tinrudder.gateway.requests.routes_in_force import RoutesInForce
from tinrudder.gateway.runs.call_context import CallContext
from tinrudder.gateway.runs.request_bytes import RequestBytes
from tinrudder.gateway.runs.request_run import OutcomeListener, RequestRun
from tinrudder.gateway.runs.run_context import RunContext
from tinrudder.gateway.scatters.scatter_admission import ScatterAdmissions
from tinrudder.gateway.scatters.scatter_planner import ScatterPlanner
from tinrudder.gateway.scatters.waiting_scatter import WaitingScatter
from tinrudder.gateway.store.shared_state import SharedState


class DelegationService:
    """Runs scatters for their entries; declines what it cannot answer as well as they could.

    :ivar in_progress: scatters that run now.
    :ivar closing: a planned stop has begun; what comes now is declined.
    """

    def __init__(
        self,
        call_context: CallContext,
        state: SharedState,
        gates: ScatterAdmissions,
        planner: ScatterPlanner,
        routes: Callable[[], RoutesInForce | None],
        reach: Reachability,
        poison: PoisonWatch,
    ) -> None:
        """Find routes by what ``routes`` returns at that moment.

        :param gates: the admissions of whole scatters.
        """
        self._poison = poison
        self._reach = reach
        self.in_progress = 0
        self.closing = False
        self._call_context = call_context
        self._state = state
        self._gates = gates
        self._planner = planner
        self._routes = routes

    async def serve(self, scatter: ScatterRequest) -> ScatterAnswer:
        """Run one scatter; cancelling this ends its calls."""
        found = self._find(scatter)
        if isinstance(found, Declined):
            return found
        routes, route = found
        deadlines = self._deadlines(scatter)
        version = routes.configuration.version
        refusal = self._refusal(route, scatter)
        if refusal is not None:
            self._call_context.counters.refused += 1
            return ScatterEnd(refusal, version)
        ended: asyncio.Future[RequestOutcome] = self._call_context.loop.create_future()

        def report(outcome: RequestOutcome) -> None:
            # The entry may have given up a moment ago, which cancels the future before the run.
            if not ended.done():
                ended.set_result(outcome)

        run = self._run(route, scatter, deadlines, report)
        outcome = await self._finish(run, ended)
        elapsed_s = run.decided_at - deadlines.received_at
        end = ScatterEnd(outcome, version, run.repeats, run.missing_shards, elapsed_s)
        log_coordinated(scatter, route, end)
        return end

    def _find(self, scatter: ScatterRequest) -> tuple[RoutesInForce, Route] | Declined:
        """Find a scatter's route, or decline it: the entry may ask another coordinator."""
        routes = self._routes()
        if self.closing:
            return Declined("stopping")
        if routes is None or not self._state.complete:
            return Declined("starting")
        if self._is_older_than(scatter):
            # The entry may have shown the newer one's effect already: nothing may go back.
            return Declined("an older configuration")
        route = routes.find(scatter.request)
        if route is None or not route.shards:
            return Declined("no scatter by the configuration here")
        if not set(scatter.shards) <= set(route.shards):
            return Declined("other shards by the configuration here")
        if self._call_context.memory.refusal(routes.steps_below_urgent(scatter.priority)):
            return Declined("no room in memory")
        return routes, route

    def _is_older_than(self, scatter: ScatterRequest) -> bool:
        """Tell whether the configuration here is older than the entry's.

        The operator's versions tell; revisions may go back with the store.  An entry of older
        software tells its revision alone.
        """
        if scatter.configuration_version is not None:
            return self._state.configuration_version < scatter.configuration_version
        return self._state.configuration_revision.number < scatter.configuration_revision

    def _refusal(self, route: Route, scatter: ScatterRequest) -> NotRun | None:
        """Refuse what crashes back ends, and a whole scatter of which too little is in reach."""
        poison = self._poison.refusal(route, scatter.request)
        if poison is not None or scatter.shards:
            return poison
        return self._reach.refusal(route)

    def _run(
        self,
        route: Route,
        scatter: ScatterRequest,
        deadlines: Deadlines,
        on_outcome: OutcomeListener,
    ) -> WaitingScatter | RequestRun:
        """Prepare what is asked for: a whole scatter, or some of its shards.

        A part has been admitted as a whole by the gateway that delegates it.
        """
        if not scatter.shards:
            tenant = header_value(scatter.request.headers, self._call_context.names.tenant) or b""
            return WaitingScatter(
                self._gates.of_route(route),
                route,
                deadlines,
                scatter.priority,
                tenant.decode(),
                lambda end: self._planner.run(
                    route, scatter.request, scatter.request_id, deadlines, end
                ),
                on_outcome,
            )
        request = self._request_bytes(scatter, deadlines)
        return RequestRun(
            RunContext.of(self._call_context, route, request, deadlines),
            scatter.shards,
            on_outcome,
            minimum_share=scatter.minimum_share,
        )

    async def _finish(
        self, run: WaitingScatter | RequestRun, ended: asyncio.Future[RequestOutcome]
    ) -> RequestOutcome:
        """Run to the outcome; abandon the run if the entry gives it up."""
        self.in_progress += 1
        self._call_context.counters.coordinated += 1
        try:
            run.start()
            return await ended
        except asyncio.CancelledError:
            run.abandon()
            raise
        finally:
            self.in_progress -= 1

    def _deadlines(self, scatter: ScatterRequest) -> Deadlines:
        """Count the entry's times from now."""
        now = self._call_context.loop.time()
        return Deadlines(
            received_at=now,
            objective_at=now + scatter.objective_left_s,
            deadline_at=now + scatter.deadline_left_s,
            returning=scatter.returning,
        )

    def _request_bytes(self, scatter: ScatterRequest, deadlines: Deadlines) -> RequestBytes:
        """Prepare the request for the back ends."""
        names = self._call_context.names
        return RequestBytes(scatter.request, scatter.request_id, deadlines.deadline_at, names)
