"""What the shards of one run share, and one call of a shard.

A :class:`RunContext` owns nothing but the run's guard; it does not know the run, so that no cycle
keeps answers until the collector's next run.
"""

from __future__ import annotations

from msgspec import Struct

from tinrudder.gateway.backends.backend import Backend
from tinrudder.gateway.clients.client_deadlines import Deadlines
from tinrudder.gateway.decisions.placement.backend_observations import RunningCall
from tinrudder.gateway.model.configuration import Route
from tinrudder.gateway.model.http_messages import UpstreamCall
from tinrudder.gateway.runs.call_context import CallContext
from tinrudder.gateway.runs.request_bytes import RequestBytes
from tinrudder.gateway.runs.run_guard import RunGuard

NEVER = float("inf")
"""A time, in seconds of the loop's clock, at which nothing is due."""


class RunContext(Struct, frozen=True, eq=False):
    """One request, as all of its shards see it.

    :param request: encodes it for one back end after another.
    :param guard: decides for the whole run what may be sent after back ends were lost.
    """

    call_context: CallContext
    route: Route
    request: RequestBytes
    deadlines: Deadlines
    guard: RunGuard

    @classmethod
    def of(
        cls, call_context: CallContext, route: Route, request: RequestBytes, deadlines: Deadlines
    ) -> RunContext:
        """Prepare a run under a guard of its own."""
        guard = RunGuard(call_context.evidence, request, route)
        return cls(call_context, route, request, deadlines, guard)

    @property
    def is_scatter(self) -> bool:
        """Tell whether several shards are merged, rather than one back end's answer relayed."""
        return bool(self.route.shards)


class Attempt(Struct, eq=False):
    """One call of a shard that has not ended.

    :param is_paid: the budget of repeats has counted it; the call that leaves first needs none.
    :param is_canary: it left alone, to find out whether the request crashes what runs it.
    :param running: the call as it was sent; ``None`` while no byte of it has left.
    """

    backend: Backend
    call: UpstreamCall
    is_paid: bool = False
    is_canary: bool = False
    running: RunningCall | None = None
