"""What every scatter that is delegated to another gateway needs.

Owns the observed times to gateways in the own zone and elsewhere; the rest belongs to others.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct, field

from tinrudder.common.address import Address
from tinrudder.common.transport.peer_client import PeerClient
from tinrudder.gateway.decisions.attempts.peer_round_trip import PeerRoundTrip
from tinrudder.gateway.peers.peer_traffic import PeerTraffic
from tinrudder.gateway.peers.zone_monitor import ZoneMonitor
from tinrudder.gateway.runs.call_context import CallContext
from tinrudder.gateway.scatters.coordinators import Coordinators
from tinrudder.gateway.store.configuration_in_force import AcceptedConfiguration


class DelegationContext(Struct, frozen=True):
    """The connections to other gateways, and who they are.

    :param zone_monitor: learns which ways to other gateways are open.
    :param configuration: returns the one in force.
    :param traffic: counts what is sent.
    """

    client: PeerClient
    coordinators: Coordinators
    call_context: CallContext
    zone_monitor: ZoneMonitor
    configuration: Callable[[], AcceptedConfiguration | None]
    traffic: PeerTraffic
    _path_beside: PeerRoundTrip = field(default_factory=PeerRoundTrip)
    _path_elsewhere: PeerRoundTrip = field(default_factory=PeerRoundTrip)

    def path_time(self, gateway: Address) -> PeerRoundTrip:
        """Return how long requests to a gateway are under way: within the zone, or beyond it."""
        elsewhere = self.coordinators.peers.is_elsewhere(gateway)
        return self._path_elsewhere if elsewhere else self._path_beside
