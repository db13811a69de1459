"""Probes coordinators to detect those that a network partition or a crash has made unreachable.

Without a probe the failure would show only when a query's deadline passes, for every query in
flight.  Owns the running probes: concurrent requests to probe one coordinator share one probe.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from tinrudder.cluster.view import Member
from tinrudder.node.decisions.coordinator_ranking import CoordinatorRanking
from tinrudder.peers import PeerAddress, PeerLostError, PeerNotSentError
from tinrudder.timers import Timers

MAX_PROBE_TIMEOUT_S = 0.25
"""Upper bound of a probe's timeout, seconds.  Together with ``MAX_PROBE_DELAY_S`` of the entry it
bounds the delay that a network partition adds to a query: 0.1 to 0.35 s (docs/COORDINATORS.md)."""
FORWARD_PROBE_TIMEOUT_S = 0.05
"""Probe timeout in seconds while a query relayed by another node waits for the result: fifty times
the network latency between zones."""
PROBE_RESULT_TTL_S = 0.5
"""Seconds for which the answer to a probe is reused instead of probing again."""


class CoordinatorProbe(Protocol):
    """Sends one probe; implemented by :class:`tinrudder.node.query.relay.RelayClient`."""

    async def probe(self, coordinator: PeerAddress, timeout_s: float) -> None:
        """Return when the coordinator has answered.

        :raises PeerNotSentError: the probe could not be sent.
        :raises PeerLostError: the coordinator did not answer within ``timeout_s``.
        """


class CoordinatorProber:
    """Probes coordinators and reports the results to the ranking."""

    def __init__(
        self, probe: CoordinatorProbe, ranking: CoordinatorRanking, timers: Timers
    ) -> None:
        """Start without running probes."""
        self._timers = timers
        self._last_answer_at: dict[str, float] = {}
        self._probe = probe
        self._ranking = ranking
        self._running_probes: dict[str, asyncio.Task[bool]] = {}

    def probe_due(self) -> None:
        """Probe, in the background, the failed coordinators whose next probe is due."""
        for member in self._ranking.due_for_probe():
            self.start_probe(member, MAX_PROBE_TIMEOUT_S)

    async def is_reachable(self, member: Member) -> bool:
        """Return whether this node can reach a member that another node cannot."""
        answered_at = self._last_answer_at.get(member.name)
        if answered_at is not None and self._timers.time() - answered_at < PROBE_RESULT_TTL_S:
            return True
        return await asyncio.shield(self.start_probe(member, FORWARD_PROBE_TIMEOUT_S))

    def start_probe(self, member: Member, timeout_s: float) -> asyncio.Task[bool]:
        """Return the task that probes ``member``; joins a probe that is already running."""
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
            self._ranking.record_failure(member)
            return False
        self._last_answer_at[member.name] = self._timers.time()
        self._ranking.record_success(member)
        return True
