"""Asks coordinators whether they are still there: a cut or a dead machine answers nothing.

Waiting out a deadline is the only other way to notice, and it costs every query in flight.
One question at a time goes to each coordinator, whoever wants to know.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from tinrudder.cluster.view import Member
from tinrudder.node.decisions.coordinator_ranking import CoordinatorRanking
from tinrudder.peers import PeerAddress, PeerLostError, PeerNotSentError
from tinrudder.timers import Timers

MAX_PROBE_TIMEOUT_S = 0.25
"""Seconds that a coordinator has to answer a probe.  With MAX_PROBE_DELAY_S of the entry it bounds
what a silent cut costs a query, 0.1 to 0.35 s (docs/COORDINATORS.md)."""
FORWARD_PROBE_TIMEOUT_S = 0.05
"""The same where a query of another node waits for it.  Chosen, not measured: fifty times the way
between zones."""
PROBE_RESULT_TTL_S = 0.5
"""Seconds for which an answer stands for the next question.  Chosen, not measured."""


class CoordinatorProbe(Protocol):
    """Asks one coordinator; see :class:`tinrudder.node.query.relay.RelayClient`."""

    async def probe(self, coordinator: PeerAddress, timeout_s: float) -> None:
        """Return when the coordinator has answered.

        :raises PeerNotSentError: it cannot be reached.
        :raises PeerLostError: it did not answer in time.
        """


class CoordinatorWatch:
    """Probes coordinators and tells the ranking what came of it."""

    def __init__(
        self, probe: CoordinatorProbe, ranking: CoordinatorRanking, timers: Timers
    ) -> None:
        """Ask nothing yet."""
        self._timers = timers
        self._last_answer_at: dict[str, float] = {}
        self._probe = probe
        self._ranking = ranking
        self._running_probes: dict[str, asyncio.Task[bool]] = {}

    def probe_due(self) -> None:
        """Probe, in the background, those that failed and were left alone long enough."""
        for member in self._ranking.due_for_probe():
            self.start_probe(member, MAX_PROBE_TIMEOUT_S)

    async def is_reachable(self, member: Member) -> bool:
        """Tell whether a member that another node cannot reach answers us."""
        answered_at = self._last_answer_at.get(member.name)
        if answered_at is not None and self._timers.time() - answered_at < PROBE_RESULT_TTL_S:
            return True
        return await asyncio.shield(self.start_probe(member, FORWARD_PROBE_TIMEOUT_S))

    def start_probe(self, member: Member, timeout_s: float) -> asyncio.Task[bool]:
        """Return the task that tells whether ``member`` answers; it may already run."""
        running = self._running_probes.get(member.name)
        if running is None:
            running = asyncio.create_task(
                self._probe_member(member, min(timeout_s, MAX_PROBE_TIMEOUT_S))
            )
            self._running_probes[member.name] = running
            running.add_done_callback(lambda _: self._running_probes.pop(member.name, None))
        return running

    async def _probe_member(self, member: Member, timeout_s: float) -> bool:
        try:
            await self._probe.probe(member.address, timeout_s)
        except (PeerNotSentError, PeerLostError):
            self._ranking.fail(member)
            return False
        self._last_answer_at[member.name] = self._timers.time()
        self._ranking.succeed(member)
        return True
