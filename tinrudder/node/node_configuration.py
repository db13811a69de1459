"""The configuration of a node: read from the platform, exchanged with peers, put in force."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tinrudder.cluster.replication.state_exchange import StateExchange
from tinrudder.cluster.view import MemberStatus, MemberView
from tinrudder.common.logs import log_event, log_problem
from tinrudder.node.configuration_service.messages import PlatformUnavailableError
from tinrudder.node.configuration_service.poll_pace import poll_delay_s
from tinrudder.node.decisions.registry import names_by_role
from tinrudder.node.environment import Environment
from tinrudder.node.resources.accepted import AcceptedState
from tinrudder.node.resources.exchange import ReplicatedConfiguration
from tinrudder.node.resources.rules import PolicyNames
from tinrudder.node.resources.store import ConfigurationStore
from tinrudder.node.settings import NodeSettings, parse_seed_peers
from tinrudder.node.wire.channels import Channel, ChannelRouter
from tinrudder.peers import PeerAddress

LEARN_TIMEOUT_S = 3.0
"""Seconds that a starting node waits for peers to state their configuration; it then begins with
what the platform says.  Chosen, not measured."""
WHOLE_READ_S = 900.0
"""Mean time between reads that do not say which revision is known.

Only these show that a restored platform has used a revision again for other content.
"""


class NodeConfiguration:
    """Keeps the store in step with the platform and with the other nodes."""

    def __init__(
        self,
        settings: NodeSettings,
        environment: Environment,
        channels: ChannelRouter,
        view: Callable[[], MemberView],
        on_change: Callable[[], None],
    ) -> None:
        """Call ``on_change`` after every change; nothing runs before :meth:`start`."""
        self.store = ConfigurationStore(PolicyNames(names_by_role()))
        self.exchange = StateExchange(
            ReplicatedConfiguration(self.store),
            channels.channel(Channel.CONFIGURATION),
            environment.timers,
            environment.random,
            self._peers,
        )
        self._settings = settings
        self._environment = environment
        self._view = view
        self._on_change = on_change
        self._refreshing: asyncio.Task[None] | None = None
        self._seeds = parse_seed_peers(settings.seed_peers)
        self._next_whole_read = 0.0
        self.store.subscribe(self._on_state)

    async def start(self) -> None:
        """Read the platform and ask peers: either may be down, or behind the other."""
        await self.poll()
        try:
            async with asyncio.timeout(LEARN_TIMEOUT_S):
                await self.exchange.learn_from_peers()
        except TimeoutError:
            log_problem("no peer stated its configuration in time")
        self.exchange.start()

    def stop(self) -> None:
        """End the exchange."""
        self.exchange.stop()
        if self._refreshing is not None:
            self._refreshing.cancel()

    def poll_delay_s(self) -> float:
        """Return seconds until the platform is to be read again."""
        reachable = len(self._view().usable())
        return poll_delay_s(reachable, self._settings.platform_poll_s, self._environment.random)

    async def poll(self) -> None:
        """Read the platform once; an unavailable one changes nothing."""
        known = self._known_revision()
        try:
            document = await self._environment.platform.fetch_resources(known)
        except PlatformUnavailableError as error:
            self.store.note_platform_unavailable(str(error))
            log_problem("platform unavailable", {"error": str(error)})
            return
        if document is None:
            self.store.note_platform_unchanged()
            return
        self.store.offer(document)
        self._log_platform()

    def _known_revision(self) -> int:
        """Return the revision in force, or now and then none, so as to read the whole document."""
        now = self._environment.timers.time()
        if now < self._next_whole_read:
            return self.store.current.revision
        self._next_whole_read = now + WHOLE_READ_S * self._environment.random.uniform(0.5, 1.5)
        return 0

    def refresh_soon(self) -> None:
        """Compare with peers at once and read the platform, as after a pause.

        What is held stays in force meanwhile: it is ordered by revision, so it can only be behind.
        """
        self.exchange.refresh_now()
        self._refreshing = asyncio.ensure_future(self.poll())

    def _peers(self) -> list[PeerAddress]:
        """Return whom to exchange with.

        A node that holds everybody else for dead has more likely been cut off itself, so it goes
        on asking them; without any list of members it asks the seeds.
        """
        own = self._settings.name
        others = [member for member in self._view().members if member.name != own]
        living = [member for member in others if member.status is not MemberStatus.DEAD]
        return [member.address for member in living or others] or list(self._seeds)

    def _on_state(self, state: AcceptedState) -> None:
        """Put a changed state in force and tell the others."""
        problems = sum(1 for resource in state.resources.values() if resource.problem)
        fields = {"revision": state.version.revision, "refused_resources": problems}
        log_event("configuration in force", dict(fields))
        self._on_change()
        self.exchange.announce()

    def _log_platform(self) -> None:
        """Log what is odd about the document just read."""
        seen = self.store.platform
        if seen.refused:
            log_problem("document refused", {"revision": seen.revision, "rule": seen.refused})
        elif seen.behind:
            in_force = self.store.current.revision
            log_problem("platform behind", {"revision": seen.revision, "in_force": in_force})
        elif seen.reused:
            log_problem("revision reused", {"revision": seen.revision})
