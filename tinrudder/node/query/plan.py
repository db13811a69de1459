"""Planning: check the request against the configuration and pin one index version.

Owns what is joined once for each configuration, and the latest choice among versions.  Relies on
the configuration in force and on the back-end table.
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
"""Seconds for which a choice among several versions stands: choosing looks at every replica of
every shard.  Chosen, not measured."""


@dataclass(frozen=True, slots=True)
class PlannedShard:
    """A shard and the back ends that hold it at the pinned version."""

    spec: ShardSpec
    candidates: tuple[BackendRecord, ...]


@dataclass(frozen=True, slots=True)
class QueryPlan:
    """Everything decided before the first call: one version, its shards, its rule.

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
        """Tell whether a call that may have run may be sent again."""
        return self.rule.repeatable and self.request.operation is None


Refusal = NotRun | Failed


@dataclass(slots=True, eq=False)
class _PlanTemplate:
    """What queries of one rule and index have in common under one configuration.

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
    """Plans queries; what does not depend on the request is kept until something changes."""

    def __init__(
        self,
        timers: Timers,
        configuration: Callable[[], Configuration],
        backends: BackendTable,
        routing: RoutingTable,
    ) -> None:
        """Read the configuration in force through ``configuration`` at every query."""
        self._timers = timers
        self._configuration = configuration
        self._backends = backends
        self._routing = routing
        self._templates: dict[tuple[str, str], _PlanTemplate] = {}
        self._hints = VersionHints(timers.time)
        self._built_from: Configuration | None = None
        self._built_at_generation = -1

    def plan(self, request: QueryRequest) -> QueryPlan | Refusal:
        """Plan a request, or say why it cannot run.

        A tenant that may not use a service gets the same answer as for one that does not exist.
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

        :returns: ``None`` for later pages, which stay on their version, for what must not be
            repeated, and where no other version reaches more.
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

    def note_version_gone(self, plan: QueryPlan, backend: BackendRecord) -> None:
        """Remember that a back end does not serve the plan's version."""
        self._hints.note_gone(backend, plan.request.index, plan.version)

    def _build_plan(
        self, request: QueryRequest, template: _PlanTemplate, weight: int, version: int
    ) -> QueryPlan | Refusal:
        """Build the plan for a version."""
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
        """Return what queries of this rule and index have in common."""
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
        """Join rule, index and service; ``None`` when they do not belong together."""
        rule = configuration.rules.get(request.rule)
        index = configuration.indexes.get(request.index)
        if rule is None or index is None or index.service != rule.service:
            return None
        service = configuration.services.get(index.service)
        if service is None:
            return None
        routing = self._routing.routing_of(index.service, rule.policies)
        records = self._backends.of_service(index.service)
        routing.ejection.follow(records, self._timers.time())
        versions = {spec.version: self._planned_shards(spec) for spec in index.versions}
        tenants = frozenset(service.tenants)
        return _PlanTemplate(rule, index.service, tenants, versions, routing)

    def _planned_shards(self, spec: IndexVersionSpec) -> tuple[PlannedShard, ...]:
        """Bind a version's shards to the records of their back ends."""
        return tuple(
            PlannedShard(shard, self._backends.records(shard.backends)) for shard in spec.shards
        )

    def _choose_version(self, template: _PlanTemplate, index: str) -> int:
        """Return the version with the best reachable coverage, the newest on a tie."""
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
        """Return the share of a version's shards that have a usable replica."""
        replicas = [shard.candidates for shard in versions[version]]
        return self._hints.reachable_share(replicas, index, version)


def _has_usable_backend(shard: PlannedShard) -> bool:
    """Tell whether one of a shard's back ends may get new work."""
    return any(not backend.leaving for backend in shard.candidates)


def _unknown_resource(request: QueryRequest) -> NotRun:
    """Answer alike for what is absent and for what the tenant may not see."""
    detail = f"index or rule: no {request.index!r} with rule {request.rule!r} for this tenant"
    return NotRun(NotRunReason.UNKNOWN_RESOURCE, detail)
