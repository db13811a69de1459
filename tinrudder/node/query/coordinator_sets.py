"""The coordinator sets of every service, kept in step with members and configuration.

Owns the sets until members or configuration change; relies on ``decisions.coordinator_set`` for
the rule.
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
    take_coordinators,
)
from tinrudder.node.resources.configuration import Configuration
from tinrudder.node.resources.model import BackendSpec, ServiceSpec


class CoordinatorSets:
    """Computes a service's set when it is first asked for and keeps it until something changes."""

    def __init__(self, node_name: str) -> None:
        """Start without members."""
        self._node_name = node_name
        self._view = MemberView()
        self._configuration = Configuration()
        self._slots: dict[str, list[int]] = {}
        self._ranked: dict[str, tuple[Member, ...]] = {}
        self._unreachable: frozenset[str] = frozenset()
        self._sets: dict[str, CoordinatorSet] = {}

    def update(self, view: MemberView, configuration: Configuration) -> None:
        """Take what is known now; sets are computed again on demand."""
        if configuration is not self._configuration:
            self._slots = _slots_by_service(configuration)
        self._view = view
        self._configuration = configuration
        self._ranked = {}
        self._sets = {}

    def pass_over(self, unreachable: frozenset[str]) -> None:
        """Let the next in rank take the places of members this node cannot reach."""
        self._unreachable = unreachable
        self._sets = {}

    def of(self, service: str) -> CoordinatorSet:
        """Return a service's coordinators; empty for an unknown service or without members."""
        cached = self._sets.get(service)
        if cached is None:
            cached = self._compute(service)
            self._sets[service] = cached
        return cached

    def share(self, backend: str, spec: BackendSpec) -> float:
        """Return how many calls this node may have in flight at a back end."""
        service = self._configuration.services.get(spec.service)
        if service is None:
            return FALLBACK_LIMIT
        calls = calls_allowed(spec.slots, service.max_connections_per_backend)
        return self.of(spec.service).share(self._node_name, backend, calls)

    def connections(self, backend: str, spec: BackendSpec) -> int:
        """Return how many connections to a back end this node may hold."""
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
        return take_coordinators(service, ranked, self._count(service, spec), self._unreachable)

    def _count(self, service: str, spec: ServiceSpec) -> int:
        """Return how many coordinators the service has."""
        if spec.coordinators is not None:
            return spec.coordinators
        return coordinator_count(self._slots.get(service, []))


def _slots_by_service(configuration: Configuration) -> dict[str, list[int]]:
    """Group the back ends' slots by service."""
    slots: dict[str, list[int]] = {}
    for spec in configuration.backends.values():
        slots.setdefault(spec.service, []).append(spec.slots)
    return slots
