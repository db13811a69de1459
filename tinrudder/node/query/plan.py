"""Plans a query: checks the request against the configuration and pins one index version.

Owns the plan templates cached for the current configuration and back-end table, and the latest
version choice of each.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from tinrudder.node.decisions.backend_record import BackendRecord
from tinrudder.node.decisions.backend_table import BackendTable
from tinrudder.node.decisions.service_routing import RoutingTable, ServiceRouting
from tinrudder.node.decisions.version_hints import VersionHints
from tinrudder.node.outcomes import Failed, FailedReason, NotRun, NotRunReason
from tinrudder.node.query.request import QueryRequest
from tinrudder.node.resources.configuration import Configuration
from tinrudder.node.resources.model import IndexVersionSpec, QueryRuleSpec, ShardSpec
from tinrudder.timers import Timers

VERSION_CHOICE_LIFETIME_S = 0.05
"""Seconds for which a choice among several versions is cached: choosing scans every replica of
every shard."""


@dataclass(frozen=True, slots=True)
class PlannedShard:
    """A shard and the back ends that serve it at the pinned version."""

    spec: ShardSpec
    candidates: tuple[BackendRecord, ...]


@dataclass(frozen=True, slots=True)
class QueryPlan:
    """What is decided before the first call: index version, shards, rule and routing.

    :param repeatable: whether a call that may have run may be sent again.
    """

    request: QueryRequest
    rule: QueryRuleSpec
    weight: int
    service: str
    version: int
    shards: tuple[PlannedShard, ...]
    routing: ServiceRouting

    @property
    def repeatable(self) -> bool:
        """Return whether a call that may have run may be sent again."""
        return self.rule.repeatable and self.request.operation is None


Refusal = NotRun | Failed


@dataclass(slots=True, eq=False)
class _PlanTemplate:
    """The parts of a plan shared by all queries of one rule and index under one configuration.

    :param best_version_until: monotonic time at which ``best_version`` expires.
    """

    rule: QueryRuleSpec
    service: str
    tenants: frozenset[str]
    versions: dict[int, tuple[PlannedShard, ...]]
    routing: ServiceRouting
    best_version: int = 0
    best_version_until: float = field(default=-1.0)


class Planner:
    """Plans queries; caches what does not depend on the request until its inputs change."""

    def __init__(
        self,
        timers: Timers,
        configuration: Callable[[], Configuration],
        backends: BackendTable,
        routing: RoutingTable,
    ) -> None:
        """Create a planner that reads ``configuration()`` for every query."""
        self._timers = timers
        self._configuration = configuration
        self._backends = backends
        self._routing = routing
        self._templates: dict[tuple[str, str], _PlanTemplate] = {}
        self._hints = VersionHints(timers.time)
        self._built_from: Configuration | None = None
        self._built_at_generation = -1

    def plan(self, request: QueryRequest) -> QueryPlan | Refusal:
        """Return a plan for a request, or the reason why it cannot run.

        A service that the tenant may not use is reported like one that does not exist.
        """
        configuration = self._configuration()
        template = self._template(configuration, request)
        tenant = configuration.tenants.get(request.tenant)
        if template is None or tenant is None or request.tenant not in template.tenants:
            return _unknown_resource(request)
        version = request.version or self._choose_version(template, request.index)
        return self._build_plan(request, template, tenant.weight, version)

    def replan(self, plan: QueryPlan) -> QueryPlan | None:
        """Plan a query again on another version that now reaches more shards.

        :returns: ``None`` for later pages, which keep their version, for queries that must not be
            repeated, and if no other version reaches more shards.
        """
        request = plan.request
        if request.version is not None or not plan.repeatable:
            return None
        template = self._template(self._configuration(), request)
        if template is None:
            return None
        template.best_version_until = -1.0
        version = self._choose_version(template, request.index)
        if version == plan.version:
            return None
        planned = self._build_plan(request, template, plan.weight, version)
        return planned if isinstance(planned, QueryPlan) else None

    def record_version_gone(self, plan: QueryPlan, backend: BackendRecord) -> None:
        """Record that a back end does not serve the plan's version."""
        self._hints.record_refusal(backend, plan.request.index, plan.version)

    def _build_plan(
        self, request: QueryRequest, template: _PlanTemplate, weight: int, version: int
    ) -> QueryPlan | Refusal:
        """Build the plan for one version, or return why the request cannot run on it."""
        shards = template.versions.get(version)
        if shards is None:
            return Failed(FailedReason.VERSION_GONE, f"version: {version} is no longer served")
        if request.shards:
            wanted = frozenset(request.shards)
            shards = tuple(shard for shard in shards if shard.spec.shard in wanted)
        if request.operation is not None and len(shards) != 1:
            return NotRun(NotRunReason.INVALID_REQUEST, "shards: an operation names exactly one")
        if not any(_has_usable_backend(shard) for shard in shards):
            return NotRun(NotRunReason.NO_BACKEND, "no back end is left for any shard")
        return QueryPlan(
            request, template.rule, weight, template.service, version, shards, template.routing
        )

    def _template(
        self, configuration: Configuration, request: QueryRequest
    ) -> _PlanTemplate | None:
        """Return the cached template of this rule and index, building it if necessary."""
        changed = configuration is not self._built_from
        if changed or self._backends.generation != self._built_at_generation:
            self._templates.clear()
            self._built_from = configuration
            self._built_at_generation = self._backends.generation
        key = (request.rule, request.index)
        template = self._templates.get(key)
        if template is None:
            template = self._build_template(configuration, request)
            if template is not None:
                self._templates[key] = template
        return template

    def _build_template(
        self, configuration: Configuration, request: QueryRequest
    ) -> _PlanTemplate | None:
        """Join rule, index and service; ``None`` if one is missing or the services differ."""
        rule = configuration.rules.get(request.rule)
        index = configuration.indexes.get(request.index)
        if rule is None or index is None or index.service != rule.service:
            return None
        service = configuration.services.get(index.service)
        if service is None:
            return None
        routing = self._routing.routing_of(index.service, rule.policies)
        records = self._backends.of_service(index.service)
        routing.ejection.set_backends(records, self._timers.time())
        versions = {spec.version: self._planned_shards(spec) for spec in index.versions}
        tenants = frozenset(service.tenants)
        return _PlanTemplate(rule, index.service, tenants, versions, routing)

    def _planned_shards(self, spec: IndexVersionSpec) -> tuple[PlannedShard, ...]:
        """Resolve a version's shards to the records of their back ends."""
        return tuple(
            PlannedShard(shard, self._backends.records(shard.backends)) for shard in spec.shards
        )

    def _choose_version(self, template: _PlanTemplate, index: str) -> int:
        """Return the version with the largest reachable share, the newest one on a tie."""
        versions = template.versions
        if len(versions) == 1:
            return next(iter(versions))
        now = self._timers.time()
        if now >= template.best_version_until:
            template.best_version = max(
                versions, key=lambda v: (self._reachable_share(versions, v, index), v)
            )
            template.best_version_until = now + VERSION_CHOICE_LIFETIME_S
        return template.best_version

    def _reachable_share(
        self, versions: dict[int, tuple[PlannedShard, ...]], version: int, index: str
    ) -> float:
        """Return the fraction of a version's shards that have a usable replica."""
        replicas = [shard.candidates for shard in versions[version]]
        return self._hints.reachable_share(replicas, index, version)


def _has_usable_backend(shard: PlannedShard) -> bool:
    """Return whether at least one of a shard's back ends accepts new calls."""
    return any(not backend.leaving for backend in shard.candidates)


def _unknown_resource(request: QueryRequest) -> NotRun:
    """Return the same refusal for a missing resource and for one hidden from the tenant."""
    detail = f"index or rule: no {request.index!r} with rule {request.rule!r} for this tenant"
    return NotRun(NotRunReason.UNKNOWN_RESOURCE, detail)
