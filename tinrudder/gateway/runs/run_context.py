"""State shared by the shards of one run, and the record of one call of a shard.

A :class:`RunContext` owns only the run's guard.  It has no reference to the run: a reference cycle
would keep answers in memory until the next garbage collection.
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
"""Due time of an action that is not scheduled, seconds of the loop's clock."""


class RunContext(Struct, frozen=True, eq=False):
    """One request, shared by all of its shards.

    :param request: encodes the request for each back end.
    :param guard: decides for the whole run what may be sent after back ends have crashed.
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
        """Return the context of a new run, with its own guard."""
        guard = RunGuard(call_context.evidence, request, route)
        return cls(call_context, route, request, deadlines, guard)

    @property
    def latest_send_at(self) -> float:
        """Return the time after which no call can be answered before this process ends."""
        if not self.deadlines.is_shortened:
            return NEVER
        return self.deadlines.deadline_at - self.call_context.shortest_time_s(self.route)

    @property
    def is_scatter(self) -> bool:
        """Return whether the answers of shards are merged, rather than one answer relayed."""
        return bool(self.route.shards)


class Attempt(Struct, eq=False):
    """One call of a shard that has not ended.

    :param uses_retry_budget: whether it was charged to the retry budget; the first call sent is
        free.
    :param is_canary: whether it was sent alone, to learn whether the request crashes back ends.
    :param running: the call as it was sent; ``None`` while no byte was sent.
    """

    backend: Backend
    call: UpstreamCall
    uses_retry_budget: bool = False
    is_canary: bool = False
    running: RunningCall | None = None
