"""What a node needs from outside, as typed interfaces.

The same node code runs on real sockets and in the lab's virtual time: only the
implementations passed in differ.
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
    """Carries one call to one back end."""

    def start(self, call: BackendCall, listener: ReplyListener) -> None:
        """Send a call; ``listener`` is called exactly once, never from inside ``start``.

        A cancelled call's listener is not called.
        """

    def cancel(self, call: BackendCall) -> None:
        """Tell the back end to stop and drop whatever it still answers."""

    async def close(self) -> None:
        """Close every connection."""


class PlatformSource(Protocol):
    """Reads the platform's configuration and membership; raises ``PlatformUnavailableError``."""

    async def fetch_resources(self, known_revision: int) -> ResourceDocument | None:
        """Return the platform's current document, ``None`` when it equals ``known_revision``."""

    async def fetch_members(self) -> MemberList:
        """Return the platform's current, possibly lagging, list of machines."""


@dataclass(frozen=True, slots=True)
class Environment:
    """Everything a node takes from outside.

    :param cluster_keys: authenticate datagrams between nodes; the first seals, all open.
    """

    timers: Timers
    wall_clock: WallClock
    random: random.Random
    backends: BackendTransport
    peers: PeerTransport
    platform: PlatformSource
    cluster_keys: tuple[bytes, ...] = DEVELOPMENT_CLUSTER_KEYS
