"""One node: wires the parts together and walks them through their lifecycle."""

from __future__ import annotations

import asyncio

from transitions import Machine

from tinrudder.environment import Environment
from tinrudder.logs import log_event, log_problem
from tinrudder.platform.messages import PlatformUnavailableError
from tinrudder.query.coordinator import Coordinator
from tinrudder.query.dispatcher import Dispatcher
from tinrudder.resources.configuration import Configuration, ConfigurationStore
from tinrudder.routing.backend_table import BackendTable
from tinrudder.routing.call_queue import FirstInFirstOutQueue
from tinrudder.routing.replica_choice import LeastLoadedReplica
from tinrudder.settings import NodeSettings

DRAIN_CHECK_S = 0.02


class NodeLifecycle:
    """States of a node: starting, serving, stopping, stopped."""

    state: str

    def __init__(self) -> None:
        """Begin in ``starting``."""
        Machine(
            model=self,
            states=["starting", "serving", "stopping", "stopped"],
            initial="starting",
            auto_transitions=False,
            transitions=[
                {"trigger": "serve", "source": "starting", "dest": "serving"},
                {"trigger": "begin_stop", "source": ["starting", "serving"], "dest": "stopping"},
                {"trigger": "finish_stop", "source": "stopping", "dest": "stopped"},
            ],
        )


class Node:
    """All parts of a node that do not listen for callers."""

    def __init__(self, settings: NodeSettings, environment: Environment) -> None:
        """Build the parts; nothing runs before :meth:`start`."""
        self.settings = settings
        self.lifecycle = NodeLifecycle()
        self.configuration_store = ConfigurationStore()
        self.backends = BackendTable()
        self._environment = environment
        self._dispatcher = Dispatcher(
            environment.timers,
            environment.backends,
            FirstInFirstOutQueue(),
            LeastLoadedReplica(),
        )
        self.coordinator = Coordinator(
            environment.timers, self._dispatcher, self.backends, self.configuration
        )
        self._tasks: list[asyncio.Task[None]] = []

    def configuration(self) -> Configuration:
        """Return the configuration in force."""
        return self.configuration_store.current

    async def start(self) -> None:
        """Read the configuration once if the platform answers, then keep following it."""
        await self._poll_platform()
        self._tasks.append(asyncio.create_task(self._follow_platform()))
        self.lifecycle.serve()  # type: ignore[attr-defined]
        log_event("serving", {"revision": self.configuration().revision})

    async def stop(self) -> None:
        """Finish what is in progress, then end."""
        self.lifecycle.begin_stop()  # type: ignore[attr-defined]
        log_event("stopping", {"in_progress": self.coordinator.in_progress})
        deadline = self._environment.timers.time() + self.settings.stop_timeout_s
        while self.coordinator.in_progress and self._environment.timers.time() < deadline:
            await asyncio.sleep(DRAIN_CHECK_S)
        for task in self._tasks:
            task.cancel()
        await self._environment.backends.close()
        await self._environment.peers.close()
        self.lifecycle.finish_stop()  # type: ignore[attr-defined]
        log_event("stopped", {"in_progress": self.coordinator.in_progress})

    async def _follow_platform(self) -> None:
        """Poll the platform until the node ends."""
        while True:
            await asyncio.sleep(self.settings.platform_poll_s)
            await self._poll_platform()

    async def _poll_platform(self) -> None:
        """Fetch the configuration; an unavailable platform changes nothing."""
        known = self.configuration().revision
        try:
            document = await self._environment.platform.fetch_resources(known)
        except PlatformUnavailableError as error:
            log_problem("platform unavailable", {"error": str(error)})
            return
        if document is not None and self.configuration_store.offer(document):
            self.backends.update(self.configuration().backends)
            log_event("configuration in force", {"revision": document.revision})
