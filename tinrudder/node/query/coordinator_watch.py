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

LONGEST_PROBE_S = 0.25
"""Seconds that a coordinator has to answer a probe.  With LONGEST_SILENCE_S of the entry it bounds
what a silent cut costs a query, 0.1 to 0.35 s (docs/COORDINATORS.md)."""
SHORT_PROBE_S = 0.05
"""The same where a query of another node waits for it.  Chosen, not measured: fifty times the way
between zones."""
ANSWER_VALID_S = 0.5
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
        self._answered_at: dict[str, float] = {}
        self._probe = probe
        self._ranking = ranking
        self._running: dict[str, asyncio.Task[bool]] = {}

    def probe_due(self) -> None:
        """Probe, in the background, those that failed and were left alone long enough."""
        for member in self._ranking.due_for_probe():
            self.ask(member, LONGEST_PROBE_S)

    async def answers(self, member: Member) -> bool:
        """Tell whether a member that another node cannot reach answers us."""
        answered_at = self._answered_at.get(member.name)
        if answered_at is not None and self._timers.time() - answered_at < ANSWER_VALID_S:
            return True
        return await asyncio.shield(self.ask(member, SHORT_PROBE_S))

    def ask(self, member: Member, timeout_s: float) -> asyncio.Task[bool]:
        """Return the task that tells whether ``member`` answers; it may already run."""
        running = self._running.get(member.name)
        if running is None:
            running = asyncio.create_task(self._ask(member, min(timeout_s, LONGEST_PROBE_S)))
            self._running[member.name] = running
            running.add_done_callback(lambda _: self._running.pop(member.name, None))
        return running

    async def _ask(self, member: Member, timeout_s: float) -> bool:
        try:
            await self._probe.probe(member.address, timeout_s)
        except (PeerNotSentError, PeerLostError):
            self._ranking.fail(member)
            return False
        self._answered_at[member.name] = self._timers.time()
        self._ranking.succeed(member)
        return True
