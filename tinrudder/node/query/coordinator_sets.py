"""Computes each service's coordinator set from the members and the configuration.

Owns the cached sets, which are dropped when members or configuration change.  The selection rule
is in ``decisions.coordinator_set``.
"""

from __future__ import annotations

from tinrudder.cluster.view import Member, MemberView
from tinrudder.node.decisions.coordinator_set import (
    FALLBACK_LIMIT,
    CoordinatorSet,
    calls_allowed,
    coordinator_count,
    members_of_region,
    rank_members,
    select_reachable,
)
from tinrudder.node.resources.configuration import Configuration
from tinrudder.node.resources.model import BackendSpec, ServiceSpec


class CoordinatorSets:
    """Computes a service's set on first use and caches it until its inputs change."""

    def __init__(self, node_name: str) -> None:
        """Start without members and without configuration."""
        self._node_name = node_name
        self._view = MemberView()
        self._configuration = Configuration()
        self._slots: dict[str, list[int]] = {}
        self._ranked: dict[str, tuple[Member, ...]] = {}
        self._unreachable: frozenset[str] = frozenset()
        self._sets: dict[str, CoordinatorSet] = {}

    def update(self, view: MemberView, configuration: Configuration) -> None:
        """Replace members and configuration, and drop the cached sets."""
        if configuration is not self._configuration:
            self._slots = _slots_by_service(configuration)
        self._view = view
        self._configuration = configuration
        self._ranked = {}
        self._sets = {}

    def set_unreachable(self, unreachable: frozenset[str]) -> None:
        """Replace the members that this node cannot reach by the next in rank."""
        self._unreachable = unreachable
        self._sets = {}

    def of(self, service: str) -> CoordinatorSet:
        """Return a service's coordinators; empty if the service or its members are unknown."""
        cached = self._sets.get(service)
        if cached is None:
            cached = self._compute(service)
            self._sets[service] = cached
        return cached

    def share(self, backend: str, spec: BackendSpec) -> float:
        """Return the number of calls that this node may have in flight at a back end."""
        service = self._configuration.services.get(spec.service)
        if service is None:
            return FALLBACK_LIMIT
        calls = calls_allowed(spec.slots, service.max_connections_per_backend)
        return self.of(spec.service).share(self._node_name, backend, calls)

    def connections(self, backend: str, spec: BackendSpec) -> int:
        """Return the number of connections that this node may hold to a back end."""
        service = self._configuration.services.get(spec.service)
        if service is None:
            return FALLBACK_LIMIT
        coordinator_set = self.of(spec.service)
        return coordinator_set.share(self._node_name, backend, service.max_connections_per_backend)

    def _compute(self, service: str) -> CoordinatorSet:
        """Compute a service's set."""
        spec = self._configuration.services.get(service)
        if spec is None:
            return CoordinatorSet(service)
        ranked = self._ranked.get(service)
        if ranked is None:
            ranked = rank_members(service, members_of_region(self._view.members, spec.region))
            self._ranked[service] = ranked
        return select_reachable(service, ranked, self._count(service, spec), self._unreachable)

    def _count(self, service: str, spec: ServiceSpec) -> int:
        """Return the service's number of coordinators: configured, or derived from its slots."""
        if spec.coordinators is not None:
            return spec.coordinators
        return coordinator_count(self._slots.get(service, []))


def _slots_by_service(configuration: Configuration) -> dict[str, list[int]]:
    """Return the slot counts of each service's back ends."""
    slots: dict[str, list[int]] = {}
    for spec in configuration.backends.values():
        slots.setdefault(spec.service, []).append(spec.slots)
    return slots
