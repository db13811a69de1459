"""The entry: takes a caller's query to a coordinator of its service.

The entry never retries shard calls: that is the coordinator's work.  It may ask a second
coordinator, and at most ``MAX_RELAYS_SENT`` coordinators ever receive one query.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from tinrudder.cluster.view import Member
from tinrudder.node.decisions.coordinator_ranking import CoordinatorRanking
from tinrudder.node.decisions.coordinator_set import CoordinatorSet
from tinrudder.node.outcomes import NotRun, NotRunReason, Outcome
from tinrudder.node.query.coordinator import QueryRunner
from tinrudder.node.query.coordinator_watch import CoordinatorWatch
from tinrudder.node.query.relay_attempts import RelayAttempts
from tinrudder.node.query.request import QueryRequest
from tinrudder.node.resources.configuration import Configuration
from tinrudder.peers import PeerAddress, PeerLostError, PeerNotSentError
from tinrudder.timers import Timers

MAX_RELAYS_SENT = 2
"""Coordinators that may ever have received one query: it bounds extra load when relays are
lost."""
MAX_COORDINATORS_TRIED = 4
"""Coordinators asked for one query, those included that cannot be connected to.  Chosen, not
measured."""
MIN_PROBED_QUERY_S = 0.15
"""Seconds that a query must have left for its coordinator to be watched: with less there is no
time to ask another (docs/COORDINATORS.md)."""
MAX_PROBE_DELAY_S = 0.1
"""Seconds without an outcome after which the coordinator is probed, at the latest.  Probes took
the queries that ended as may_have_run in the zone cut from 13 and 8 to 1 and 2 (two seeds,
docs/COORDINATORS.md)."""
PROBE_DELAY_SHARE = 0.4
"""The same as a part of the time that the query has: the rest must do for a probe and another
coordinator."""
PROBE_TIMEOUT_SHARE = 0.2
"""Part of the time that the query has for which the probe may take."""


class QueryRelay(Protocol):
    """Takes a query to another node; see :class:`tinrudder.node.query.relay.RelayClient`."""

    async def run(
        self, coordinator: PeerAddress, request: QueryRequest, *, forwarded: bool = False
    ) -> Outcome:
        """Return the outcome that the coordinator reports."""


@dataclass(slots=True)
class EntryCounters:
    """How queries went through this entry, since start."""

    local: int = 0
    relayed: int = 0
    lost: int = 0
    fallback: int = 0


class Entry:
    """Runs a query here if this node coordinates its service, else relays it."""

    def __init__(
        self,
        node_name: str,
        timers: Timers,
        coordinator: QueryRunner,
        relay: QueryRelay,
        ranking: CoordinatorRanking,
        watch: CoordinatorWatch,
        coordinators: Callable[[str], CoordinatorSet],
        configuration: Callable[[], Configuration],
    ) -> None:
        """Read sets and configuration through the callables at every query."""
        self._node_name = node_name
        self._timers = timers
        self._coordinator = coordinator
        self._relay = relay
        self._ranking = ranking
        self._watch = watch
        self._coordinators = coordinators
        self._configuration = configuration
        self.counters = EntryCounters()

    async def run(self, request: QueryRequest) -> Outcome:
        """Return the query's outcome; cancelling the task frees its work everywhere."""
        service = self._service_of(request)
        if service is None or self._is_local(self._coordinators(service)):
            self.counters.local += 1
            return await self._coordinator.run(request)
        return await self._relay_to_one_of(service, request)

    async def run_relayed(self, request: QueryRequest, forwarded: bool) -> Outcome:
        """Run a query that another node relayed to this one.

        One that another node coordinates came here because its sender cannot reach that node.
        If we can, it is forwarded, once; if not, that node's place in the set becomes ours.
        """
        service = self._service_of(request)
        if service is None or forwarded:
            return await self._coordinator.run(request)
        member = await self._reachable_coordinator(service)
        if member is None:
            return await self._coordinator.run(request)
        attempts = RelayAttempts()
        try:
            outcome = await self._relay_once(member, request, attempts, forwarded=True)
            if outcome is None and self._may_run_again(request, attempts):
                outcome = await self._coordinator.run(request)
            return await attempts.conclude(outcome)
        finally:
            attempts.cancel_unanswered()

    async def _reachable_coordinator(self, service: str) -> Member | None:
        """Return a coordinator other than us that answers, ``None`` if the service is ours."""
        for _ in range(MAX_COORDINATORS_TRIED):
            member = self._next_coordinator(service, set())
            if member is None or await self._watch.is_reachable(member):
                return member
        return None

    def _is_local(self, coordinator_set: CoordinatorSet) -> bool:
        """Tell whether this node coordinates, or there is nobody who does."""
        return not coordinator_set.members or self._node_name in coordinator_set.names

    def _service_of(self, request: QueryRequest) -> str | None:
        """Return the service a query is for, ``None`` if its index is unknown."""
        index = self._configuration().indexes.get(request.index)
        return index.service if index is not None else None

    async def _relay_to_one_of(self, service: str, request: QueryRequest) -> Outcome:
        """Ask one coordinator after the other until one answers, then help ourselves."""
        attempts = RelayAttempts()
        try:
            return await attempts.conclude(await self._try_coordinators(service, request, attempts))
        finally:
            attempts.cancel_unanswered()

    async def _try_coordinators(
        self, service: str, request: QueryRequest, attempts: RelayAttempts
    ) -> Outcome | None:
        """Return the first outcome that anybody has, ``None`` when nobody more may be asked."""
        self._watch.probe_due()
        tried: set[str] = set()
        while len(tried) < MAX_COORDINATORS_TRIED and self._timers.time() < request.deadline:
            if not self._may_run_again(request, attempts):
                return None
            member = self._next_coordinator(service, tried)
            if member is None:
                break
            tried.add(member.name)
            outcome = await self._relay_once(member, request, attempts)
            if outcome is not None:
                return outcome
        if not self._may_run_again(request, attempts):
            return None
        self.counters.fallback += 1
        return await self._coordinator.run(request)

    def _next_coordinator(self, service: str, tried: set[str]) -> Member | None:
        """Return the coordinator to ask, by the set as it is now: failures change it."""
        coordinator_set = self._coordinators(service)
        if self._is_local(coordinator_set):
            return None
        ordered = self._ranking.order(coordinator_set.members)
        return next((member for member in ordered if member.name not in tried), None)

    async def _relay_once(
        self,
        member: Member,
        request: QueryRequest,
        attempts: RelayAttempts,
        *,
        forwarded: bool = False,
    ) -> Outcome | None:
        """Relay once; ``None`` means that another coordinator may be asked."""
        self.counters.relayed += 1
        self._ranking.begin(member)
        try:
            outcome = await self._relay_with_probes(member, request, attempts, forwarded)
        except PeerNotSentError as error:
            self._ranking.fail(member)
            attempts.details.append(str(error))
            return None
        except PeerLostError as error:
            self.counters.lost += 1
            self._ranking.fail(member)
            attempts.lost += 1
            attempts.details.append(str(error))
            return None
        finally:
            self._ranking.end(member)
        if isinstance(outcome, NotRun) and outcome.reason is NotRunReason.STOPPING:
            self._ranking.fail(member)
            return None
        self._ranking.succeed(member)
        return outcome

    async def _relay_with_probes(
        self, member: Member, request: QueryRequest, attempts: RelayAttempts, forwarded: bool
    ) -> Outcome:
        """Relay a query, and stop relying on its coordinator if that is no longer there.

        Only where that leaves time to ask another, and the query may run twice.

        :raises PeerLostError: also when it does not answer a probe; the relay then goes on.
        """
        remaining_s = request.deadline - self._timers.time()
        if remaining_s < MIN_PROBED_QUERY_S or not self._is_repeatable(request):
            return await self._relay.run(member.address, request, forwarded=forwarded)
        probe_delay_s = min(MAX_PROBE_DELAY_S, remaining_s * PROBE_DELAY_SHARE)
        relayed = asyncio.ensure_future(
            self._relay.run(member.address, request, forwarded=forwarded)
        )
        try:
            while True:
                await asyncio.wait((relayed,), timeout=probe_delay_s)
                if relayed.done():
                    return relayed.result()
                probed = self._watch.start_probe(member, remaining_s * PROBE_TIMEOUT_SHARE)
                await asyncio.wait((relayed, probed), return_when=asyncio.FIRST_COMPLETED)
                if not relayed.done() and probed.done() and not probed.result():
                    attempts.unanswered.append(relayed)
                    raise PeerLostError(f"{member.address}: does not answer a probe")
        finally:
            if relayed not in attempts.unanswered:
                relayed.cancel()

    def _is_repeatable(self, request: QueryRequest) -> bool:
        """Tell whether running the query twice does no harm."""
        rule = self._configuration().rules.get(request.rule)
        return rule is not None and rule.repeatable

    def _may_run_again(self, request: QueryRequest, attempts: RelayAttempts) -> bool:
        """Tell whether a query may be sent once more, should a relay have been lost."""
        if not attempts.lost:
            return True
        if not self._is_repeatable(request):
            return False
        has_time = self._timers.time() < request.deadline
        return has_time and attempts.lost < MAX_RELAYS_SENT
