"""Chooses the gateway that owns a tenant's token bucket, from this gateway's view of the fleet.

Owns a short-lived cache of choices and the owners that did not answer; relies on the peer list.
"""

from __future__ import annotations

from collections.abc import Callable, Set

from msgspec import Struct, field

from tinrudder.common.address import Address
from tinrudder.common.rendezvous import rendezvous_score
from tinrudder.gateway.peers.peer_list import PeerList
from tinrudder.gateway.peers.zone_monitor import ZoneMonitor

AVOID_OWNER_S = 3.0
"""How long an owner that did not answer is avoided, seconds: a paused gateway does not delay each
request, and a recovered one is soon used again."""
CHOICE_LIFETIME_S = 0.5
"""How long a choice is cached, seconds: ranking 730 gateways takes 0.3 ms."""


class _Choice(Struct, frozen=True):
    """The chosen owner of a tenant's bucket, and when it was chosen."""

    owner: Address
    chosen_at: float


class BucketOwnerChoice(Struct):
    """Ranks the live gateways by rendezvous hashing of the tenant's name.

    The views of two gateways may differ: then a bucket has two owners until the lower one of them
    hears the other's broadcast.  The margin above the tenant's limit allows for that.
    """

    own: Address
    peers: PeerList
    zone_monitor: ZoneMonitor
    clock: Callable[[], float]
    _chosen: dict[str, _Choice] = field(default_factory=dict)
    _avoided: dict[Address, float] = field(default_factory=dict)

    def owner_of(self, tenant: str) -> Address:
        """Return the gateway that owns a tenant's bucket."""
        now = self.clock()
        choice = self._chosen.get(tenant)
        if choice is None or now - choice.chosen_at >= CHOICE_LIFETIME_S:
            choice = _Choice(self._choose(tenant, now), now)
            self._chosen[tenant] = choice
        return choice.owner

    def note_failure(self, owner: Address) -> None:
        """Avoid an owner that did not answer, for :data:`AVOID_OWNER_S`."""
        self._avoided[owner] = self.clock() + AVOID_OWNER_S
        self._chosen = {
            name: choice for name, choice in self._chosen.items() if choice.owner != owner
        }

    def note_acting(self, owner: Address) -> None:
        """Use a gateway again that is heard to act as an owner."""
        if self._avoided.pop(owner, None) is not None:
            self._chosen.clear()

    def forget_unused(self, tenants: Set[str]) -> None:
        """Drop the state of tenants that are no longer configured."""
        self._chosen = {name: choice for name, choice in self._chosen.items() if name in tenants}

    def _choose(self, tenant: str, now: float) -> Address:
        """Return the highest-ranked live gateway that can be reached, this one included."""
        reachable = [
            member.address
            for member in self.peers.candidates(now)
            if not self.zone_monitor.is_closed(member.zone)
            and now >= self._avoided.get(member.address, 0.0)
        ]
        return max(
            (*reachable, self.own), key=lambda address: rendezvous_score(tenant, str(address))
        )
