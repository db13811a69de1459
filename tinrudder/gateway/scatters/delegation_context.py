"""The shared dependencies of scatters that are delegated to other gateways.

Owns the observed round-trip times to gateways in this zone and in others.
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
    """The components with which delegation chooses, calls and observes other gateways.

    :param zone_monitor: receives which gateways answered and which did not.
    :param configuration: returns the configuration in force.
    :param traffic: counts the messages sent.
    """

    client: PeerClient
    coordinators: Coordinators
    call_context: CallContext
    zone_monitor: ZoneMonitor
    configuration: Callable[[], AcceptedConfiguration | None]
    traffic: PeerTraffic
    # Round trips to gateways in this zone and in other zones.
    _same_zone_round_trip: PeerRoundTrip = field(default_factory=PeerRoundTrip)
    _other_zone_round_trip: PeerRoundTrip = field(default_factory=PeerRoundTrip)

    def round_trip(self, gateway: Address) -> PeerRoundTrip:
        """Return the round-trip estimate for a gateway: one for this zone, one for all others."""
        elsewhere = self.coordinators.peers.is_in_other_zone(gateway)
        return self._other_zone_round_trip if elsewhere else self._same_zone_round_trip
