"""Interfaces between a node and its surroundings: clocks, transports and the platform.

Owns no implementation.  The same node code runs on real sockets and in the lab's virtual time with
different implementations of these interfaces.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from tinrudder.node.backends.messages import BackendCall, BackendReply
from tinrudder.node.configuration_service.messages import MemberList, ResourceDocument
from tinrudder.peers import PeerTransport
from tinrudder.timers import Timers, WallClock

DEVELOPMENT_CLUSTER_KEYS = (b"development",)

ReplyListener = Callable[[BackendCall, BackendReply], None]


class BackendTransport(Protocol):
    """Sends calls to back ends and reports their replies."""

    def start(self, call: BackendCall, listener: ReplyListener) -> None:
        """Send a call.

        ``listener`` is called exactly once and never from inside ``start``; after :meth:`cancel` it
        is not called.
        """

    def cancel(self, call: BackendCall) -> None:
        """Tell the back end to stop the call and discard any later answer."""

    async def close(self) -> None:
        """Close every connection."""


class PlatformSource(Protocol):
    """Reads the platform's configuration and membership; raises ``PlatformUnavailableError``."""

    async def fetch_resources(self, known_revision: int) -> ResourceDocument | None:
        """Return the platform's document, ``None`` if its revision is ``known_revision``."""

    async def fetch_members(self) -> MemberList:
        """Return the platform's current list of machines, which may be stale."""


@dataclass(frozen=True, slots=True)
class Environment:
    """External dependencies of a node.

    :param cluster_keys: keys that authenticate datagrams between nodes: the first seals outgoing
        datagrams, any of them opens incoming ones.
    """

    timers: Timers
    wall_clock: WallClock
    random: random.Random
    backends: BackendTransport
    peers: PeerTransport
    platform: PlatformSource
    cluster_keys: tuple[bytes, ...] = DEVELOPMENT_CLUSTER_KEYS
