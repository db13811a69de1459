"""Decides which gateways call the back ends of an index: all of them, or only a few coordinators.

Shards without a replica in a gateway's zone are delegated to a gateway in a zone that has one.
Owns each index's decision, cached for half a second, and the back-off of gateways that failed.
Depends on the members and their zones, on the back ends of the configuration in force, and on
:mod:`tinrudder.gateway.decisions.placement.coordinator_choice`.
"""

from __future__ import annotations

import math
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
    order_coordinators,
    strong_candidates,
)
from tinrudder.gateway.decisions.placement.shard_placement import (
    ScatterSizes,
    group_shards_by_zones,
)
from tinrudder.gateway.model.configuration import GatewayConfiguration, Route
from tinrudder.gateway.peers.peer_list import PeerList
from tinrudder.gateway.peers.peer_messages import Member
from tinrudder.gateway.scatters.coordination import Coordination, CoordinationKey, DelegatedGroup
from tinrudder.gateway.scatters.coordinator_backoff import CoordinatorBackoff
from tinrudder.gateway.store.shared_state import SharedState

DECISION_LIFETIME_S = 0.5
"""How long a decision is cached, seconds: members join and leave within seconds, and every request
of an index reads its coordination."""
MAX_COORDINATORS_ASKED = 3
"""How many coordinators a gateway asks before it runs a scatter itself: each one that does not
answer costs up to 0.1 s of the time to the objective."""
COORDINATORS_BUDGET_SHARE = 0.75
"""Part of the fleet's hedges and retries that coordinators may send; the rest is for gateways that
must run a scatter themselves."""


class Coordinators(Struct):
    """Chooses coordinators from this gateway's view of the fleet, and tracks which of them failed.

    The views of two gateways may differ for seconds.  The only effect is that more gateways than
    planned open connections, since a coordinator serves every gateway that asks it.

    :param describe_own: returns this gateway's current member record.
    :param on_change: called with every change of an index's coordination.
    :param is_closed: returns whether a zone cannot be reached; its gateways are not asked.
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
    # The decision last passed to ``on_change``, for each index.
    _reported: dict[tuple[str, ...], CoordinationKey] = field(default_factory=dict)
    # The coordination of services without an index: every gateway calls them.
    _all_gateways: Coordination | None = None
    # The configuration from which ``_index_of`` was built.
    _indexed: GatewayConfiguration | None = None

    def connect(
        self,
        replica_zones: Callable[[str], tuple[str, ...]],
        sizes: Callable[[tuple[str, ...]], ScatterSizes],
    ) -> None:
        """Set two sources, which themselves depend on this object.

        :param replica_zones: returns the zone of each back end of a service that is not leaving.
        :param sizes: returns the observed answer sizes of an index.
        """
        self._replica_zones = replica_zones
        self._sizes = sizes

    def refresh(self) -> None:
        """Rebuild the index of each service after a change of the configuration."""
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
        """Return the coordination of a route's index."""
        return self._of_index(route.shards)

    def of_service(self, service: str) -> Coordination:
        """Return the coordination of a service's index; without an index, all gateways call it."""
        index = self._index_of.get(service)
        if index is not None:
            return self._of_index(index)
        now = self.clock()
        if self._all_gateways is None or now - self._all_gateways.decided_at >= DECISION_LIFETIME_S:
            self._all_gateways = self._bounded(self._called_by_all(now), now)
        return self._all_gateways

    def failed(self, coordinator: Address) -> None:
        """Start a coordinator's back-off, which grows with each consecutive failure."""
        if self._backoff.failed(coordinator, self.clock()):
            self._by_index.clear()

    def succeeded(self, coordinator: Address) -> None:
        """Reset a coordinator's back-off."""
        self._backoff.succeeded(coordinator)

    def discard_decisions(self) -> None:
        """Discard all decisions: a zone has become unreachable, or reachable again."""
        self._by_index.clear()

    def _of_index(self, index: tuple[str, ...]) -> Coordination:
        """Return an index's cached decision, or a new one if it has expired."""
        now = self.clock()
        decision = self._by_index.get(index)
        if decision is None or now - decision.decided_at >= DECISION_LIFETIME_S:
            decision = self._decide(index, now)
            self._by_index[index] = decision
            self._report(index, decision)
        return decision

    def _report(self, index: tuple[str, ...], coordination: Coordination) -> None:
        """Report a decision if it differs from the last one reported."""
        if self._reported.get(index) != coordination.key:
            self._reported[index] = coordination.key
            self.on_change(coordination)

    def _decide(self, index: tuple[str, ...], now: float) -> Coordination:
        """Choose who calls the back ends of one index, and bound their number."""
        return self._bounded(self._choose(index, now), now)

    def _bounded(self, coordination: Coordination, now: float) -> Coordination:
        """Divide shared limits by as many gateways as there may be.

        Gateways that this one cannot hear may call the back ends as well.
        """
        hidden = self.peers.most_nodes(now) / self.peers.nodes(now)
        return replace(
            coordination,
            budget_parts=coordination.budget_parts * hidden,
            most_callers=math.ceil(coordination.callers * hidden),
        )

    def _choose(self, index: tuple[str, ...], now: float) -> Coordination:
        """Choose who calls the back ends of one index, by the gateways that are counted."""
        zones = [self._replica_zones(service) for service in index]
        count = coordinators_needed(self._demand(index, zones), self.peers.nodes(now))
        others = [one for one in self.peers.candidates(now) if not self.is_closed(one.zone)]
        if count is None:
            delegated = self._delegated(index, zones, others, now)
            return replace(self._called_by_all(now), delegated=delegated)
        own = self.describe_own()
        members = [own, *others]
        by_name = {str(member.address): member for member in members}
        serving = [member for member in members if member.serves_others]
        candidates = [_candidate(member) for member in _members_near_backends(serving, zones)]
        chosen = choose_coordinators("\n".join(index), candidates, count)
        callers = max(count, len(chosen))
        if any(one.name == str(own.address) for one in chosen):
            others_chosen = [by_name[one.name] for one in chosen if one.name != str(own.address)]
            delegated = self._delegated(index, zones, others_chosen, now)
            budget_parts = callers / COORDINATORS_BUDGET_SHARE
            names = frozenset(one.name for one in chosen)
            return Coordination(True, (), callers, budget_parts, now, delegated, names)
        order = order_coordinators(str(own.address), own.zone, chosen)
        addresses = [by_name[one.name].address for one in order]
        asked = tuple(one for one in addresses if not self._backoff.avoids(one, now))
        budget_parts = self.peers.nodes(now) / (1.0 - COORDINATORS_BUDGET_SHARE)
        return Coordination(False, asked[:MAX_COORDINATORS_ASKED], callers, budget_parts, now)

    def _delegated(
        self,
        index: tuple[str, ...],
        zones: list[tuple[str, ...]],
        members: Iterable[Member],
        now: float,
    ) -> tuple[DelegatedGroup, ...]:
        """Return the shards that some of ``members`` should call for this gateway."""
        available = [one for one in members if not self._backoff.avoids(one.address, now)]
        own_zone = self.describe_own().zone
        groups = group_shards_by_zones(
            own_zone,
            {member.zone for member in available},
            dict(zip(index, zones, strict=True)),
            self._sizes(index),
        )
        return tuple(
            DelegatedGroup(group.shards, _strong_member_addresses(group.zones, available))
            for group in groups
        )

    def _called_by_all(self, now: float) -> Coordination:
        """Return the coordination in which every gateway calls the back ends itself."""
        nodes = self.peers.nodes(now)
        members = [self.describe_own(), *self.peers.candidates(now)]
        names = frozenset(str(member.address) for member in members)
        return Coordination(True, (), nodes, nodes, now, caller_names=names)

    def _demand(self, index: tuple[str, ...], zones: list[tuple[str, ...]]) -> IndexDemand:
        """Return the capacity of an index's back ends: median replicas, lowest connection limit."""
        accepted = self.state.accepted
        services = accepted.configuration.services if accepted is not None else {}
        limits = [services[name].max_connections for name in index if name in services]
        replicas = statistics.median_low([len(one) for one in zones])
        return IndexDemand(max(1, replicas), min(limits, default=1))


def _members_near_backends(members: list[Member], zones: list[tuple[str, ...]]) -> list[Member]:
    """Return the members in zones with back ends, or all members if there are none.

    From another zone every call would cross zones, while a delegated scatter crosses once.
    """
    backend_zones = {zone for of_shard in zones for zone in of_shard}
    return [member for member in members if member.zone in backend_zones] or members


def _strong_member_addresses(zones: Collection[str], members: list[Member]) -> tuple[Address, ...]:
    """Return the addresses of the members in ``zones`` with enough capacity."""
    in_zones = {str(one.address): one for one in members if one.zone in zones}
    strong = strong_candidates(_candidate(one) for one in in_zones.values())
    return tuple(in_zones[one.name].address for one in strong)


def _candidate(member: Member) -> Candidate:
    return Candidate(str(member.address), member.zone, member.capacity)
