"""What gateways tell each other."""

from __future__ import annotations

from dataclasses import dataclass

from tinrudder.gateway.model import Address
from tinrudder.gateway.stored_values import StoredValue


@dataclass(frozen=True, slots=True)
class Digest:
    """How far a gateway's knowledge of the store goes; sent by datagram.

    :param known_peers: some addresses of other gateways.
    :param starting: the sender knows nothing yet and would like to hear soon.
    """

    sender: Address
    configuration_revision: int
    backends_revision: int
    known_peers: tuple[Address, ...] = ()
    starting: bool = False


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Asks for a peer's state; the configuration is wanted only if it is newer than this."""

    configuration_revision: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A gateway's state.

    :param backends_read: the sender has had a complete list of back ends.
    """

    configuration: StoredValue | None
    backends: tuple[StoredValue, ...]
    backends_read: bool
