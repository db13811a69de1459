"""Serves scatters that other gateways delegate to this one.

Owns the scatters that run here for other gateways, which end with this process, and the reasons to
decline or refuse one. They use the same admission and planner as the scatters of this gateway's own
clients.
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
from tinrudder.gateway.requests.process_end import ProcessEnd
from tinrudder.gateway.requests.routes_in_force import RoutesInForce
from tinrudder.gateway.runs.call_context import CallContext
from tinrudder.gateway.runs.request_bytes import RequestBytes
from tinrudder.gateway.runs.request_run import OutcomeListener, RequestRun
from tinrudder.gateway.runs.run_context import RunContext
from tinrudder.gateway.scatters.scatter_admission import ScatterAdmissions
from tinrudder.gateway.scatters.scatter_planner import ScatterPlanner
from tinrudder.gateway.scatters.waiting_scatter import WaitingScatter
from tinrudder.gateway.store.shared_state import SharedState


class _CoordinatedRun:
    """One scatter for another gateway; its deadline moves when a planned stop begins."""

    def __init__(self, run: WaitingScatter | RequestRun, deadlines: Deadlines) -> None:
        """Hold a run that has been started."""
        self._run = run
        self._deadlines = deadlines

    def end_by(self, at: float) -> None:
        """Move its deadline to ``at``, unless it ends earlier anyway."""
        if self._deadlines.shorten(at):
            self._run.on_deadline_shortened()

    def end_with_process(self) -> None:
        """End its calls; the gateway that delegated it sees the connection end."""
        self._run.abandon()


class DelegationService:
    """Runs scatters for other gateways; declines those that they can serve better.

    :ivar in_progress: scatters that run now.
    """

    def __init__(
        self,
        call_context: CallContext,
        state: SharedState,
        admissions: ScatterAdmissions,
        planner: ScatterPlanner,
        routes: Callable[[], RoutesInForce | None],
        reachability: Reachability,
        poison: PoisonWatch,
        process_end: ProcessEnd,
    ) -> None:
        """Prepare the service.

        :param admissions: the admission queues of whole scatters.
        :param routes: returns the configuration in force; ``None`` before the first one.
        :param process_end: when this process ends; new scatters are declined once it is known.
        """
        self._poison = poison
        self._reachability = reachability
        self.in_progress = 0
        self._process_end = process_end
        self._call_context = call_context
        self._state = state
        self._admissions = admissions
        self._planner = planner
        self._routes = routes

    async def serve(self, scatter: ScatterRequest) -> ScatterAnswer:
        """Run one scatter; cancelling this coroutine ends its calls."""
        found = self._find_route(scatter)
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
            # If the delegating gateway has just given up, the future is cancelled before the run.
            if not ended.done():
                ended.set_result(outcome)

        run = self._run(route, scatter, deadlines, report)
        outcome = await self._run_to_outcome(run, deadlines, ended)
        if isinstance(outcome, NotRun) and deadlines.is_shortened:
            # Another coordinator has the time that this process lacks.
            return Declined("stopping")
        elapsed_s = run.decided_at - deadlines.received_at
        end = ScatterEnd(outcome, version, run.repeats, run.missing_shards, elapsed_s)
        log_coordinated(scatter, route, end)
        return end

    def _find_route(self, scatter: ScatterRequest) -> tuple[RoutesInForce, Route] | Declined:
        """Find a scatter's route, or decline: the delegating gateway may ask another one."""
        routes = self._routes()
        if self._process_end.is_announced:
            return Declined("stopping")
        if routes is None or not self._state.complete:
            return Declined("starting")
        if self._is_older_than(scatter):
            # The client may have seen effects of the newer one already; they must not be undone.
            return Declined("an older configuration")
        route = routes.find(scatter.request)
        if route is None or not route.shards:
            return Declined("no scatter by the configuration here")
        if not set(scatter.shards) <= set(route.shards):
            return Declined("other shards by the configuration here")
        if self._call_context.memory.refusal(routes.priority_steps(scatter.priority)):
            return Declined("no room in memory")
        return routes, route

    def _is_older_than(self, scatter: ScatterRequest) -> bool:
        """Return whether the configuration here is older than the delegating gateway's.

        Compares the operator's versions, as revisions may go back with the store.  Gateways with
        older software send only a revision.
        """
        if scatter.configuration_version is not None:
            return self._state.configuration_version < scatter.configuration_version
        return self._state.configuration_revision.number < scatter.configuration_revision

    def _refusal(self, route: Route, scatter: ScatterRequest) -> NotRun | None:
        """Refuse requests that crash back ends, and whole scatters that reach too few shards."""
        poison = self._poison.refusal(route, scatter.request)
        if poison is not None or scatter.shards:
            return poison
        return self._reachability.refusal(route)

    def _run(
        self,
        route: Route,
        scatter: ScatterRequest,
        deadlines: Deadlines,
        on_outcome: OutcomeListener,
    ) -> WaitingScatter | RequestRun:
        """Return the run of a whole scatter, or of some of its shards.

        Some shards need no admission: the delegating gateway has admitted the whole scatter.
        """
        if not scatter.shards:
            tenant = header_value(scatter.request.headers, self._call_context.names.tenant) or b""
            return WaitingScatter(
                self._admissions.of_route(route),
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

    async def _run_to_outcome(
        self,
        run: WaitingScatter | RequestRun,
        deadlines: Deadlines,
        ended: asyncio.Future[RequestOutcome],
    ) -> RequestOutcome:
        """Run to the outcome; abandon the run if the delegating gateway gives up."""
        coordinated = _CoordinatedRun(run, deadlines)
        self._process_end.add(coordinated)
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
            self._process_end.remove(coordinated)

    def _deadlines(self, scatter: ScatterRequest) -> Deadlines:
        """Convert the remaining times in the request to deadlines on this gateway's clock."""
        now = self._call_context.loop.time()
        return Deadlines(
            received_at=now,
            objective_at=now + scatter.objective_left_s,
            deadline_at=now + scatter.deadline_left_s,
            returning=scatter.returning,
        )

    def _request_bytes(self, scatter: ScatterRequest, deadlines: Deadlines) -> RequestBytes:
        """Encode the request for the back ends."""
        names = self._call_context.names
        return RequestBytes(scatter.request, scatter.request_id, deadlines, names)
