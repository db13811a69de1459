"""What every scatter that is handed to another gateway needs."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from tinrudder.gateway.coordinators import Coordinators
from tinrudder.gateway.forwarding import Forwarding
from tinrudder.wire.peer_client import PeerClient


@dataclass(frozen=True, slots=True)
class Relaying:
    """The connections to other gateways, and who they are.

    :param configuration_revision: returns the revision in force.
    """

    client: PeerClient
    coordinators: Coordinators
    forwarding: Forwarding
    configuration_revision: Callable[[], int]
