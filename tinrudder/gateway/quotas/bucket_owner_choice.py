"""Chooses the gateway that owns a tenant's token bucket, from this gateway's view of the fleet.

Owns a short-lived cache of choices and the owners that did not answer; relies on the peer list, and
on the lifecycle for whether this gateway may own buckets.
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
SETTLING_S = 1.0
"""How long a gateway owns no bucket in its own view after it has heard the first other one,
seconds: two digests of the others, which ask it as soon as they know it."""


class _Choice(Struct, frozen=True):
    """The chosen owner of a tenant's bucket, and when it was chosen.

    :param first: the owner that would be chosen if none were avoided.
    """

    owner: Address
    first: Address
    chosen_at: float


class BucketOwnerChoice(Struct):
    """Ranks the live gateways by rendezvous hashing of the tenant's name.

    The views of two gateways may differ.  A gateway that is asked although another one ranks higher
    in its view redirects to that one, unless the sender insists since it got no answer there.

    :param is_leaving: returns whether this gateway stops.
    """

    own: Address
    peers: PeerList
    zone_monitor: ZoneMonitor
    clock: Callable[[], float]
    is_leaving: Callable[[], bool]
    _chosen: dict[str, _Choice] = field(default_factory=dict)
    _avoided: dict[Address, float] = field(default_factory=dict)
    _asked_at: float = float("-inf")

    def owner_of(self, tenant: str) -> Address:
        """Return the gateway that owns a tenant's bucket."""
        return self._current(tenant).owner

    def insists(self, tenant: str) -> bool:
        """Return whether the chosen owner stands in for one that did not answer."""
        choice = self._current(tenant)
        return choice.owner != choice.first

    def note_failure(self, owner: Address) -> None:
        """Avoid an owner that did not answer, or that leaves, for :data:`AVOID_OWNER_S`."""
        self._avoided[owner] = self.clock() + AVOID_OWNER_S
        self._chosen = {
            name: choice for name, choice in self._chosen.items() if choice.owner != owner
        }

    def note_acting(self, tenant: str, owner: Address) -> None:
        """Use a gateway that is heard to act as an owner, if it ranks above the chosen one."""
        if self._avoided.pop(owner, None) is not None:
            self._chosen.clear()
        if _rank(tenant, owner) > _rank(tenant, self.owner_of(tenant)):
            self.adopt(tenant, owner)

    def note_asked(self) -> None:
        """Own buckets from now on: another gateway takes this one for an owner."""
        if not self.is_settled():
            self._asked_at = self.clock()
            self._chosen.clear()

    def discard(self) -> None:
        """Discard all choices: this gateway leaves."""
        self._chosen.clear()

    def adopt(self, tenant: str, owner: Address) -> None:
        """Use an owner that another gateway has named, until the next choice."""
        self._chosen[tenant] = _Choice(owner, owner, self.clock())

    def redirection(self, tenant: str) -> Address | None:
        """Return the gateway to ask in place of this one; ``None``: this one is the owner."""
        owner = self.owner_of(tenant)
        if owner == self.own:
            return None
        is_above = _rank(tenant, owner) > _rank(tenant, self.own)
        return owner if is_above or self.is_leaving() else None

    def forget_unused(self, tenants: Set[str]) -> None:
        """Drop the state of tenants that are no longer configured."""
        self._chosen = {name: choice for name, choice in self._chosen.items() if name in tenants}

    def _current(self, tenant: str) -> _Choice:
        """Return the cached choice, or a new one if it has expired."""
        now = self.clock()
        choice = self._chosen.get(tenant)
        if choice is None or now - choice.chosen_at >= CHOICE_LIFETIME_S:
            choice = self._choose(tenant, now)
            self._chosen[tenant] = choice
        return choice

    def may_own(self) -> bool:
        """Return whether this gateway may own buckets; if not, it owns one only without others."""
        return self.is_settled() and not self.is_leaving()

    def is_settled(self) -> bool:
        """Return whether this gateway can tell which buckets it owns.

        Settings that name no other gateway are evidence enough; otherwise another one must ask it
        as an owner, or have been known for a while.
        """
        if self.peers.fleet_size.is_alone:
            return True
        joined_at = self.peers.fleet_size.joined_at
        if joined_at is None:
            return self._asked_at > float("-inf")
        return self._asked_at >= joined_at or self.clock() - joined_at >= SETTLING_S

    def _choose(self, tenant: str, now: float) -> _Choice:
        """Choose the highest-ranked live gateway that can be reached, this one included."""
        members = [
            member.address
            for member in self.peers.candidates(now)
            if not self.zone_monitor.is_closed(member.zone)
        ]
        if self.may_own() or not members:
            members.append(self.own)
        answering = [one for one in members if now >= self._avoided.get(one, 0.0)] or [self.own]
        return _Choice(
            max(answering, key=lambda one: _rank(tenant, one)),
            max(members, key=lambda one: _rank(tenant, one)),
            now,
        )


def _rank(tenant: str, address: Address) -> int:
    return rendezvous_score(tenant, str(address))
