"""Plans scatters: which shards this gateway calls, and which it delegates to other gateways.

Owns nothing; depends on the coordination of the index and the round-trip times to other gateways.
"""

from __future__ import annotations

import random

from tinrudder.gateway.clients.client_deadlines import Deadlines
from tinrudder.gateway.decisions.placement.shard_placement import delegation_meets_deadline
from tinrudder.gateway.model.configuration import Route
from tinrudder.gateway.model.http_messages import HttpRequest
from tinrudder.gateway.runs.call_context import CallContext
from tinrudder.gateway.runs.request_bytes import RequestBytes
from tinrudder.gateway.runs.request_run import OutcomeListener, RequestRun
from tinrudder.gateway.runs.run_context import RunContext
from tinrudder.gateway.scatters.coordination import Coordination
from tinrudder.gateway.scatters.delegated_shards import (
    DelegatedShards,
    Delegation,
    minimum_share_of_group,
)
from tinrudder.gateway.scatters.delegation_context import DelegationContext


class ScatterPlanner:
    """Creates the runs of scatters that this gateway merges."""

    def __init__(
        self,
        call_context: CallContext,
        delegation_context: DelegationContext,
        random_source: random.Random,
    ) -> None:
        """Delegate shards through ``delegation_context``."""
        self._call_context = call_context
        self._delegation_context = delegation_context
        self._random = random_source

    def own_shards(self, route: Route) -> tuple[str, ...]:
        """Return the shards that this gateway calls itself."""
        return self._coordination(route).own_shards(route.shards)

    def run(
        self,
        route: Route,
        request: HttpRequest,
        request_id: bytes,
        deadlines: Deadlines,
        on_outcome: OutcomeListener,
    ) -> RequestRun:
        """Return the run of one scatter, not started yet."""
        encoded = RequestBytes(request, request_id, deadlines, self._call_context.names)
        delegations = [
            one for one in self._delegations(route) if self._in_time(one, route, deadlines)
        ]
        elsewhere = {shard for one in delegations for shard in one.services}
        delegated = [
            DelegatedShards(one, route, request, request_id, deadlines, self._delegation_context)
            for one in delegations
        ]
        return RequestRun(
            RunContext.of(self._call_context, route, encoded, deadlines),
            tuple(shard for shard in route.shards if shard not in elsewhere),
            on_outcome,
            delegated=delegated,
        )

    def _delegations(self, route: Route) -> list[Delegation]:
        """Choose at random, for each group, a gateway in a zone with its replicas."""
        total = len(route.shards)
        return [
            Delegation(
                group.shards,
                self._random.choice(group.gateways),
                minimum_share_of_group(total, len(group.shards), route.minimum_share),
            )
            for group in self._coordination(route).delegated
        ]

    def _in_time(self, delegation: Delegation, route: Route, deadlines: Deadlines) -> bool:
        """Return whether the path to another gateway leaves enough time for its calls."""
        left_s = deadlines.objective_at - self._call_context.loop.time()
        round_trip_s = self._delegation_context.round_trip(delegation.coordinator).allowance_s
        return delegation_meets_deadline(self._call_context.latency(route), left_s, round_trip_s)

    def _coordination(self, route: Route) -> Coordination:
        return self._delegation_context.coordinators.of_route(route)
