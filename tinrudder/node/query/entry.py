"""The entry: runs a caller's query here or relays it to a coordinator of its service.

Owns the relays of a query, including the choice of another coordinator after a failure.  At most
``MAX_RELAYS_SENT`` coordinators receive one query.  Shard calls are retried by the coordinator.
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
from tinrudder.node.query.coordinator_prober import CoordinatorProber
from tinrudder.node.query.relay_attempts import RelayAttempts
from tinrudder.node.query.request import QueryRequest
from tinrudder.node.resources.configuration import Configuration
from tinrudder.peers import PeerAddress, PeerLostError, PeerNotSentError
from tinrudder.timers import Timers

MAX_RELAYS_SENT = 2
"""Maximum number of coordinators that may have received one query.  Bounds the extra load when
relays are lost."""
MAX_COORDINATORS_TRIED = 4
"""Maximum number of coordinators tried for one query, including those that refuse a connection."""
MIN_PROBED_QUERY_S = 0.15
"""Seconds that a query must have left for its coordinator to be probed: with less there is no time
to try another one (docs/COORDINATORS.md)."""
MAX_PROBE_DELAY_S = 0.1
"""Maximum time in seconds without an outcome before the coordinator is probed.  When a zone is cut
off, probes reduce the queries that end as ``may_have_run`` from 13 and 8 to 1 and 2 (two seeds,
docs/COORDINATORS.md)."""
PROBE_DELAY_SHARE = 0.4
"""The same limit as a fraction of the query's remaining time: the rest must suffice for a probe and
another coordinator."""
PROBE_TIMEOUT_SHARE = 0.2
"""Timeout of a probe, as a fraction of the query's remaining time."""


class QueryRelay(Protocol):
    """Relays a query to another node; see :class:`tinrudder.node.query.relay.RelayClient`."""

    async def run(
        self, coordinator: PeerAddress, request: QueryRequest, *, forwarded: bool = False
    ) -> Outcome:
        """Return the outcome that the coordinator reports."""


@dataclass(slots=True)
class EntryCounters:
    """Totals over this entry's queries and relays since it started.

    :param local: callers' queries run here without a relay: this node coordinates the service,
        the coordinator set is empty, or the index is unknown.
    :param relayed: relays attempted.
    :param lost: relays that may have run and returned no outcome.
    :param fallback: callers' queries run here after no coordinator returned an outcome.
    """

    local: int = 0
    relayed: int = 0
    lost: int = 0
    fallback: int = 0


class Entry:
    """Runs a query on this node if it coordinates the service, else relays it."""

    def __init__(
        self,
        node_name: str,
        timers: Timers,
        coordinator: QueryRunner,
        relay: QueryRelay,
        ranking: CoordinatorRanking,
        prober: CoordinatorProber,
        coordinators: Callable[[str], CoordinatorSet],
        configuration: Callable[[], Configuration],
    ) -> None:
        """Create an entry that reads coordinator sets and configuration for every query."""
        self._node_name = node_name
        self._timers = timers
        self._coordinator = coordinator
        self._relay = relay
        self._ranking = ranking
        self._prober = prober
        self._coordinators = coordinators
        self._configuration = configuration
        self.counters = EntryCounters()

    async def run(self, request: QueryRequest) -> Outcome:
        """Return the query's outcome.  Cancelling the task also cancels its work on other nodes."""
        service = self._service_of(request)
        if service is None or self._is_local(self._coordinators(service)):
            self.counters.local += 1
            return await self._coordinator.run(request)
        return await self._relay_to_one_of(service, request)

    async def run_relayed(self, request: QueryRequest, forwarded: bool) -> Outcome:
        """Run a query that another node relayed to this one.

        If another node coordinates the service, the sender could not reach it.  The query is then
        forwarded, once, if this node can reach that coordinator; otherwise this node replaces it
        and runs the query.
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
        """Return another node that coordinates and answers, ``None`` if there is no such node."""
        for _ in range(MAX_COORDINATORS_TRIED):
            member = self._next_coordinator(service, set())
            if member is None or await self._prober.is_reachable(member):
                return member
        return None

    def _is_local(self, coordinator_set: CoordinatorSet) -> bool:
        """Return whether this node is a coordinator, or the set is empty."""
        return not coordinator_set.members or self._node_name in coordinator_set.names

    def _service_of(self, request: QueryRequest) -> str | None:
        """Return the service of the query's index, ``None`` if the index is unknown."""
        index = self._configuration().indexes.get(request.index)
        return index.service if index is not None else None

    async def _relay_to_one_of(self, service: str, request: QueryRequest) -> Outcome:
        """Try the coordinators in turn, then this node, until one returns an outcome."""
        attempts = RelayAttempts()
        try:
            return await attempts.conclude(await self._try_coordinators(service, request, attempts))
        finally:
            attempts.cancel_unanswered()

    async def _try_coordinators(
        self, service: str, request: QueryRequest, attempts: RelayAttempts
    ) -> Outcome | None:
        """Return the first outcome, ``None`` if the query must not be sent again."""
        self._prober.probe_due()
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
        """Return the next coordinator to try, ``None`` if none is left or this node is one.

        The set is read again for each attempt because failures change it.
        """
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
        """Relay once and return the outcome, ``None`` if the relay failed or was refused."""
        self.counters.relayed += 1
        self._ranking.begin(member)
        try:
            outcome = await self._relay_with_probes(member, request, attempts, forwarded)
        except PeerNotSentError as error:
            self._ranking.record_failure(member)
            attempts.details.append(str(error))
            return None
        except PeerLostError as error:
            self.counters.lost += 1
            self._ranking.record_failure(member)
            attempts.lost += 1
            attempts.details.append(str(error))
            return None
        finally:
            self._ranking.end(member)
        if isinstance(outcome, NotRun) and outcome.reason is NotRunReason.STOPPING:
            self._ranking.record_failure(member)
            return None
        self._ranking.record_success(member)
        return outcome

    async def _relay_with_probes(
        self, member: Member, request: QueryRequest, attempts: RelayAttempts, forwarded: bool
    ) -> Outcome:
        """Relay a query, probing the coordinator while no outcome arrives.

        Probes only if the query is repeatable and has enough time left for another coordinator.

        :raises PeerLostError: the relay was lost, or the coordinator did not answer a probe; in
            the latter case the relay continues in ``attempts.unanswered``.
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
                probed = self._prober.start_probe(member, remaining_s * PROBE_TIMEOUT_SHARE)
                await asyncio.wait((relayed, probed), return_when=asyncio.FIRST_COMPLETED)
                if not relayed.done() and probed.done() and not probed.result():
                    attempts.unanswered.append(relayed)
                    raise PeerLostError(f"{member.address}: does not answer a probe")
        finally:
            if relayed not in attempts.unanswered:
                relayed.cancel()

    def _is_repeatable(self, request: QueryRequest) -> bool:
        """Return whether the query's rule allows running it more than once."""
        rule = self._configuration().rules.get(request.rule)
        return rule is not None and rule.repeatable

    def _may_run_again(self, request: QueryRequest, attempts: RelayAttempts) -> bool:
        """Return whether the query may still be run, given the relays that were lost."""
        if not attempts.lost:
            return True
        if not self._is_repeatable(request):
            return False
        has_time = self._timers.time() < request.deadline
        return has_time and attempts.lost < MAX_RELAYS_SENT
