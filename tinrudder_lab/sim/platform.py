"""The platform as simulated nodes see it: delayed, stale, down or restored."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from tinrudder.node.configuration_service.messages import (
    MemberList,
    PlatformUnavailableError,
    ResourceDocument,
)
from tinrudder_lab.platform_server import PlatformState
from tinrudder_lab.sim.loop import Machine
from tinrudder_lab.sim.network import ACROSS_ZONES_S, Network

DOWN_TIMEOUT_S = 2.0


@dataclass(eq=False)
class SimPlatformService:
    """The platform's service and its faults.

    :param down: names of zones that get no answer; ``down_everywhere`` affects all zones.
    :param stale: an older document served instead of the current one, by zone.
    :param member_lag_s: delay of the member list, seconds.
    """

    state: PlatformState
    down_everywhere: bool = False
    down: set[str] = field(default_factory=set)
    stale: dict[str, ResourceDocument] = field(default_factory=dict)
    member_lag_s: float = 2.0
    member_history: list[tuple[float, MemberList]] = field(default_factory=list)
    documents: dict[int, ResourceDocument] = field(default_factory=dict)

    def record_state(self, now: float) -> None:
        """Record the current state, so that it can be served late or restored."""
        self.documents[self.state.document.revision] = self.state.document
        self.member_history.append((now, self.state.members))

    def members_at(self, now: float) -> MemberList:
        """Return the member list of ``member_lag_s`` ago."""
        seen = [members for when, members in self.member_history if when <= now - self.member_lag_s]
        return seen[-1] if seen else self.member_history[0][1]


class SimPlatform:
    """One node's :class:`tinrudder.node.environment.PlatformSource`."""

    def __init__(self, service: SimPlatformService, machine: Machine, network: Network) -> None:
        """Read ``service`` from ``machine``."""
        self._service = service
        self._machine = machine
        self._network = network

    async def fetch_resources(self, known_revision: int) -> ResourceDocument | None:
        """Return the document served to this machine's zone, ``None`` if it is the known one."""
        await self._wait_round_trip()
        document = self._service.stale.get(self._machine.zone, self._service.state.document)
        return None if document.revision == known_revision else document

    async def fetch_members(self) -> MemberList:
        """Return the delayed member list."""
        await self._wait_round_trip()
        return self._service.members_at(asyncio.get_running_loop().time())

    async def _wait_round_trip(self) -> None:
        """Wait for the round trip, or fail as a client's timeout would."""
        if self._service.down_everywhere or self._machine.zone in self._service.down:
            await asyncio.sleep(DOWN_TIMEOUT_S)
            raise PlatformUnavailableError("no answer")
        await asyncio.sleep(2 * ACROSS_ZONES_S)
