"""Who calls the back ends of an index: every gateway, or a few coordinators for all.

Shards without a replica in a gateway's zone are asked by a gateway that has them beside it.
Owns the decision of each index for half a second, and whom it avoids. Relies on the members and
their zones, on the back ends of the configuration in force, and on
:mod:`tinrudder.gateway.decisions.placement.coordinator_choice`.
"""

from __future__ import annotations

import statistics
from collections.abc import Callable, Collection, Iterable

from msgspec import Struct, field
from msgspec.structs import replace

from tinrudder.common.address import Address
from tinrudder.gateway.decisions.placement.coordinator_choice import (
    Candidate,
    IndexDemand,
    choose_coordinators,
    coordinators_needed,
    preference,
    strong_ones,
)
from tinrudder.gateway.decisions.placement.shard_placement import ScatterSizes, group_by_place
from tinrudder.gateway.model.configuration import GatewayConfiguration, Route
from tinrudder.gateway.peers.peer_list import PeerList
from tinrudder.gateway.peers.peer_messages import Member
from tinrudder.gateway.scatters.coordination import Coordination, CoordinationKey, DelegatedGroup
from tinrudder.gateway.scatters.coordinator_backoff import CoordinatorBackoff
from tinrudder.gateway.store.shared_state import SharedState

KEPT_FOR_S = 0.5
"""How long a decision stands, seconds. Chosen, not measured: members come and go in seconds, and
every request of an index asks for its coordination."""
ASKED_AT_MOST = 3
"""Coordinators that one scatter is offered to before its entry runs it. Chosen, not measured: each
that stays silent costs up to 0.1 s of the time to the objective."""
COORDINATORS_PART = 0.75
"""Part of the fleet's hedges and retries that coordinators may spend, chosen, not measured; the
rest is for gateways that must run a scatter themselves."""


class Coordinators(Struct):
    """Chooses coordinators by the view of this gateway, and remembers which of them failed.

    Views of two gateways may differ for seconds.  All that follows is that more gateways than
    planned open connections, since a coordinator serves whoever asks.

    :param describe_own: returns this gateway as it would describe itself now.
    :param on_change: is told of every change of an index's coordination.
    :param is_closed: tells whether a zone is out of reach; nobody there is asked.
    """

    peers: PeerList
    state: SharedState
    clock: Callable[[], float]
    describe_own: Callable[[], Member]
    on_change: Callable[[Coordination], None]
    is_closed: Callable[[str], bool]
    _replica_zones: Callable[[str], tuple[str, ...]] = lambda service: ()
    _sizes: Callable[[tuple[str, ...]], ScatterSizes] = lambda index: ScatterSizes()
    _by_index: dict[tuple[str, ...], Coordination] = field(default_factory=dict)
    _index_of: dict[str, tuple[str, ...]] = field(default_factory=dict)
    _backoff: CoordinatorBackoff = field(default_factory=CoordinatorBackoff)
    _reported: dict[tuple[str, ...], CoordinationKey] = field(default_factory=dict)
    _all: Coordination | None = None
    _indexed: GatewayConfiguration | None = None

    def connect(
        self,
        replica_zones: Callable[[str], tuple[str, ...]],
        sizes: Callable[[tuple[str, ...]], ScatterSizes],
    ) -> None:
        """Learn where back ends are and how large answers have been; both ask this in turn.

        :param replica_zones: returns the zone of each back end of a service that is not leaving.
        :param sizes: returns how large answers of an index have been.
        """
        self._replica_zones = replica_zones
        self._sizes = sizes

    def refresh(self) -> None:
        """Learn which services are shards of which index."""
        accepted = self.state.accepted
        if accepted is None:
            return
        if accepted.configuration is self._indexed:
            return
        self._indexed = accepted.configuration
        indexes = [route.shards for route in accepted.configuration.routes if route.shards]
        self._index_of = {service: index for index in indexes for service in index}
        self._by_index.clear()
        self._reported = {index: key for index, key in self._reported.items() if index in indexes}

    def of_route(self, route: Route) -> Coordination:
        """Return how a scatter's index is served."""
        return self._of_index(route.shards)

    def of_service(self, service: str) -> Coordination:
        """Return how a service is served: as its index, or by every gateway."""
        index = self._index_of.get(service)
        if index is not None:
            return self._of_index(index)
        now = self.clock()
        if self._all is None or now - self._all.decided_at >= KEPT_FOR_S:
            self._all = self._by_all(now)
        return self._all

    def failed(self, coordinator: Address) -> None:
        """Leave a coordinator alone for a while, longer after every failure in a row."""
        if self._backoff.failed(coordinator, self.clock()):
            self._by_index.clear()

    def succeeded(self, coordinator: Address) -> None:
        """Forget earlier failures."""
        self._backoff.succeeded(coordinator)

    def reconsider(self) -> None:
        """Decide anew: a zone has gone out of reach, or come back."""
        self._by_index.clear()

    def _of_index(self, index: tuple[str, ...]) -> Coordination:
        """Return what was decided lately, or decide anew."""
        now = self.clock()
        known = self._by_index.get(index)
        if known is None or now - known.decided_at >= KEPT_FOR_S:
            known = self._decide(index, now)
            self._by_index[index] = known
            self._report(index, known)
        return known

    def _report(self, index: tuple[str, ...], coordination: Coordination) -> None:
        """Report a decision unless it is what was reported before."""
        if self._reported.get(index) != coordination.key:
            self._reported[index] = coordination.key
            self.on_change(coordination)

    def _decide(self, index: tuple[str, ...], now: float) -> Coordination:
        """Choose who calls the back ends of one index."""
        zones = [self._replica_zones(service) for service in index]
        count = coordinators_needed(self._demand(index, zones), self.peers.nodes(now))
        others = [one for one in self.peers.candidates(now) if not self.is_closed(one.zone)]
        if count is None:
            delegated = self._delegated(index, zones, others, now)
            return replace(self._by_all(now), delegated=delegated)
        own = self.describe_own()
        members = [own, *others]
        by_name = {str(member.address): member for member in members}
        serving = [member for member in members if member.serves_others]
        candidates = [_candidate(member) for member in _near(serving, zones)]
        chosen = choose_coordinators("\n".join(index), candidates, count)
        callers = max(count, len(chosen))
        if any(one.name == str(own.address) for one in chosen):
            beside = [by_name[one.name] for one in chosen if one.name != str(own.address)]
            delegated = self._delegated(index, zones, beside, now)
            sharers = callers / COORDINATORS_PART
            names = frozenset(one.name for one in chosen)
            return Coordination(True, (), callers, sharers, now, delegated, names)
        order = preference(str(own.address), own.zone, chosen)
        addresses = [by_name[one.name].address for one in order]
        asked = tuple(one for one in addresses if not self._backoff.avoids(one, now))
        sharers = self.peers.nodes(now) / (1.0 - COORDINATORS_PART)
        return Coordination(False, asked[:ASKED_AT_MOST], callers, sharers, now)

    def _delegated(
        self,
        index: tuple[str, ...],
        zones: list[tuple[str, ...]],
        members: Iterable[Member],
        now: float,
    ) -> tuple[DelegatedGroup, ...]:
        """Return the shards that some of ``members`` ask for this gateway."""
        willing = [one for one in members if not self._backoff.avoids(one.address, now)]
        own_zone = self.describe_own().zone
        groups = group_by_place(
            own_zone,
            {member.zone for member in willing},
            dict(zip(index, zones, strict=True)),
            self._sizes(index),
        )
        return tuple(
            DelegatedGroup(group.shards, _strong_in(group.zones, willing)) for group in groups
        )

    def _by_all(self, now: float) -> Coordination:
        """Return what holds where every gateway calls the back ends itself."""
        nodes = self.peers.nodes(now)
        members = [self.describe_own(), *self.peers.candidates(now)]
        names = frozenset(str(member.address) for member in members)
        return Coordination(True, (), nodes, nodes, now, caller_names=names)

    def _demand(self, index: tuple[str, ...], zones: list[tuple[str, ...]]) -> IndexDemand:
        """Return what an index's back ends take, a typical shard for all of them."""
        accepted = self.state.accepted
        services = accepted.configuration.services if accepted is not None else {}
        limits = [services[name].max_connections for name in index if name in services]
        replicas = statistics.median_low([len(one) for one in zones])
        return IndexDemand(max(1, replicas), min(limits, default=1))


def _near(members: list[Member], zones: list[tuple[str, ...]]) -> list[Member]:
    """Return the members in zones that have back ends, all of them if there are none.

    From elsewhere every call would cross a zone, where a relayed scatter crosses once.
    """
    with_backends = {zone for of_shard in zones for zone in of_shard}
    return [member for member in members if member.zone in with_backends] or members


def _strong_in(zones: Collection[str], members: list[Member]) -> tuple[Address, ...]:
    """Return the addresses of the strong members in some zones."""
    there = {str(one.address): one for one in members if one.zone in zones}
    strong = strong_ones(_candidate(one) for one in there.values())
    return tuple(there[one.name].address for one in strong)


def _candidate(member: Member) -> Candidate:
    return Candidate(str(member.address), member.zone, member.capacity)
