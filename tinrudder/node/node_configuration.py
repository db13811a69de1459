"""Reads a node's configuration from the platform, exchanges it with peers and puts it in force.

Owns the node's configuration store and its exchange with peers.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tinrudder.cluster.replication.state_exchange import StateExchange
from tinrudder.cluster.view import MemberStatus, MemberView
from tinrudder.common.logs import log_event, log_problem
from tinrudder.node.configuration_service.messages import PlatformUnavailableError
from tinrudder.node.configuration_service.poll_interval import poll_delay_s
from tinrudder.node.decisions.registry import policy_names_by_role
from tinrudder.node.environment import Environment
from tinrudder.node.resources.accepted import AcceptedState
from tinrudder.node.resources.exchange import ReplicatedConfiguration
from tinrudder.node.resources.rules import PolicyNames
from tinrudder.node.resources.store import ConfigurationStore
from tinrudder.node.settings import NodeSettings, parse_seed_peers
from tinrudder.node.wire.channels import Channel, ChannelRouter
from tinrudder.peers import PeerAddress

PEER_LEARN_TIMEOUT_S = 3.0
"""Seconds that a starting node waits for its peers' configuration; after that it starts with the
platform's document."""
FULL_READ_INTERVAL_S = 900.0
"""Mean seconds between full reads, which send no known revision.

Only a full read shows that a restored platform has reused a revision for different content.
"""


class NodeConfiguration:
    """Keeps the store synchronized with the platform and the other nodes."""

    def __init__(
        self,
        settings: NodeSettings,
        environment: Environment,
        channels: ChannelRouter,
        view: Callable[[], MemberView],
        on_change: Callable[[], None],
    ) -> None:
        """Build the store and the exchange; nothing runs before :meth:`start`.

        :param on_change: called after every change of the configuration in force.
        """
        self.store = ConfigurationStore(PolicyNames(policy_names_by_role()))
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
        self._refresh_task: asyncio.Task[None] | None = None
        self._seeds = parse_seed_peers(settings.seed_peers)
        self._next_full_read = 0.0
        self.store.subscribe(self._on_state_changed)

    async def start(self) -> None:
        """Read the platform and ask peers, since either may be down or behind the other."""
        await self.poll()
        try:
            async with asyncio.timeout(PEER_LEARN_TIMEOUT_S):
                await self.exchange.learn_from_peers()
        except TimeoutError:
            log_problem("no peer stated its configuration in time")
        self.exchange.start()

    def stop(self) -> None:
        """Stop the exchange and any refresh in progress."""
        self.exchange.stop()
        if self._refresh_task is not None:
            self._refresh_task.cancel()

    def poll_delay_s(self) -> float:
        """Return the seconds until the next read of the platform."""
        reachable = len(self._view().usable())
        return poll_delay_s(reachable, self._settings.platform_poll_s, self._environment.random)

    async def poll(self) -> None:
        """Read the platform once; keep the configuration in force while it is unavailable."""
        known = self._known_revision()
        try:
            document = await self._environment.platform.fetch_resources(known)
        except PlatformUnavailableError as error:
            self.store.record_platform_unavailable(str(error))
            log_problem("platform unavailable", {"error": str(error)})
            return
        if document is None:
            self.store.record_platform_unchanged()
            return
        self.store.merge_document(document)
        self._log_platform()

    def _known_revision(self) -> int:
        """Return the revision in force, or 0 when a full read is due."""
        now = self._environment.timers.time()
        if now < self._next_full_read:
            return self.store.current.revision
        self._next_full_read = now + FULL_READ_INTERVAL_S * self._environment.random.uniform(
            0.5, 1.5
        )
        return 0

    def refresh_soon(self) -> None:
        """Start an exchange with peers and a read of the platform at once, e.g. after a pause.

        The current configuration stays in force meanwhile: revisions are ordered, so it can only be
        behind.
        """
        self.exchange.refresh_now()
        self._refresh_task = asyncio.ensure_future(self.poll())

    def _peers(self) -> list[PeerAddress]:
        """Return the addresses of the peers to exchange with.

        A node that sees every other member as dead is more likely partitioned itself, so it keeps
        asking them.  A node that knows no other member asks the seeds.
        """
        own = self._settings.name
        others = [member for member in self._view().members if member.name != own]
        not_dead = [member for member in others if member.status is not MemberStatus.DEAD]
        return [member.address for member in not_dead or others] or list(self._seeds)

    def _on_state_changed(self, state: AcceptedState) -> None:
        """Log a changed state, apply it and announce it to peers."""
        problems = sum(1 for resource in state.resources.values() if resource.problem)
        fields = {"revision": state.version.revision, "refused_resources": problems}
        log_event("configuration in force", dict(fields))
        self._on_change()
        self.exchange.announce()

    def _log_platform(self) -> None:
        """Log any problem with the document just read."""
        seen = self.store.platform
        if seen.refused:
            log_problem("document refused", {"revision": seen.revision, "rule": seen.refused})
        elif seen.behind:
            in_force = self.store.current.revision
            log_problem("platform behind", {"revision": seen.revision, "in_force": in_force})
        elif seen.reused:
            log_problem("revision reused", {"revision": seen.revision})
