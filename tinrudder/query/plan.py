"""Planning: check the request against the configuration and pin one index version."""

from __future__ import annotations

from dataclasses import dataclass

from tinrudder.outcomes import NotRun, NotRunReason
from tinrudder.query.request import QueryRequest
from tinrudder.resources.configuration import Configuration
from tinrudder.resources.model import IndexVersionSpec, QueryRuleSpec, ShardSpec
from tinrudder.routing.backend_record import BackendRecord
from tinrudder.routing.backend_table import BackendTable


@dataclass(frozen=True, slots=True)
class PlannedShard:
    """A shard and the back ends that may serve it at the pinned version."""

    spec: ShardSpec
    candidates: tuple[BackendRecord, ...]


@dataclass(frozen=True, slots=True)
class QueryPlan:
    """Everything decided before the first call: one version, its shards, its rule."""

    request: QueryRequest
    rule: QueryRuleSpec
    weight: int
    service: str
    version: int
    shards: tuple[PlannedShard, ...]


def make_query_plan(
    request: QueryRequest, configuration: Configuration, backends: BackendTable
) -> QueryPlan | NotRun:
    """Plan a request, or say why it cannot run.

    A tenant that may not use a service gets the same answer as for one that does not exist.
    """
    rule = configuration.rules.get(request.rule)
    index = configuration.indexes.get(request.index)
    if rule is None or index is None or index.service != rule.service:
        return _unknown(request)
    service = configuration.services.get(index.service)
    tenant = configuration.tenants.get(request.tenant)
    if service is None or tenant is None or request.tenant not in service.tenants:
        return _unknown(request)
    version = _choose_version(request, index.versions, backends)
    if version is None:
        return NotRun(NotRunReason.UNKNOWN_RESOURCE, "version: no longer served")
    wanted = frozenset(request.shards)
    shards = tuple(
        PlannedShard(shard, backends.candidates(shard.backends))
        for shard in version.shards
        if not wanted or shard.shard in wanted
    )
    if not any(shard.candidates for shard in shards):
        return NotRun(NotRunReason.NO_BACKEND, "no back end is left for any shard")
    return QueryPlan(request, rule, tenant.weight, index.service, version.version, shards)


def _unknown(request: QueryRequest) -> NotRun:
    """Answer alike for what is absent and for what the tenant may not see."""
    detail = f"index or rule: no {request.index!r} with rule {request.rule!r} for this tenant"
    return NotRun(NotRunReason.UNKNOWN_RESOURCE, detail)


def _choose_version(
    request: QueryRequest, versions: tuple[IndexVersionSpec, ...], backends: BackendTable
) -> IndexVersionSpec | None:
    """Return the pinned version, or the one with the best reachable coverage, newest on a tie."""
    if request.version is not None:
        pinned = (version for version in versions if version.version == request.version)
        return next(pinned, None)
    return max(versions, key=lambda version: (_reachable(version, backends), version.version))


def _reachable(version: IndexVersionSpec, backends: BackendTable) -> float:
    """Return the share of a version's shards that have a usable replica."""
    usable = sum(1 for shard in version.shards if backends.any_usable(shard.backends))
    return usable / len(version.shards)
