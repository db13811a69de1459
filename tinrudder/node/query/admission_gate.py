"""Admits or refuses a planned query before any of its calls is sent.

Owns no state: ``tenant_usage`` counts what each tenant uses, and the admission policy estimates the
wait.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable

from tinrudder.node.decisions.load.expected_wait_admission import AdmissionPolicy, QueryDemand
from tinrudder.node.decisions.load.tenant_usage import (
    Cap,
    QueryPermit,
    TenantCaps,
    TenantUsageTable,
)
from tinrudder.node.outcomes import NotRun, NotRunReason
from tinrudder.node.query.plan import QueryPlan
from tinrudder.node.resources.configuration import Configuration
from tinrudder.node.resources.model import TenantSpec
from tinrudder.timers import Timers

TENANT_RETRY_AFTER_S = 0.1
"""Lower bound in seconds of the ``Retry-After`` for a tenant at its cap: about the duration of one
query.  Jitter raises it to at most twice this value."""
ROUNDING_TOLERANCE = 1e-9
"""Tolerance, in shards, for floating-point error: without it a minimum coverage that equals a whole
number of shards could be rounded up by one."""


class AdmissionGate:
    """Applies the tenant's caps, then the admission policy.  Never waits."""

    def __init__(
        self,
        timers: Timers,
        admission: AdmissionPolicy,
        usage: TenantUsageTable,
        configuration: Callable[[], Configuration],
        source: random.Random,
    ) -> None:
        """Create a gate that reads the tenant's caps from ``configuration()`` for every query."""
        self._timers = timers
        self._admission = admission
        self._usage = usage
        self._configuration = configuration
        self._random = source

    def admit(self, plan: QueryPlan) -> QueryPermit | NotRun:
        """Return a permit, which the caller closes when the query ends, or the refusal."""
        tenant = plan.request.tenant
        spec = self._configuration().tenants.get(tenant, TenantSpec())
        permit = self._usage.begin(tenant, caps_of(spec), len(plan.shards))
        if isinstance(permit, Cap):
            retry_after_s = TENANT_RETRY_AFTER_S * (1.0 + self._random.random())
            detail = f"the tenant's cap on {permit.value} is reached"
            return NotRun(NotRunReason.TENANT_LIMIT, detail, retry_after_s)
        overload = self._admission.check(_demand_of(plan), self._timers.time())
        if overload is None:
            return permit
        permit.close()
        detail = "the answer would come after the deadline"
        return NotRun(NotRunReason.OVERLOADED, detail, overload.retry_after_s)


def caps_of(spec: TenantSpec) -> TenantCaps:
    """Return the caps configured in a tenant's resource."""
    return TenantCaps(spec.max_concurrent_queries, spec.max_queued_calls, spec.max_buffered_bytes)


def _demand_of(plan: QueryPlan) -> QueryDemand:
    """Convert a plan to the admission policy's input."""
    shards = plan.shards
    needed = math.ceil(plan.rule.minimum_coverage * len(shards) - ROUNDING_TOLERANCE)
    return QueryDemand(
        plan.request.tenant,
        plan.weight,
        plan.rule.priority,
        [shard.candidates for shard in shards],
        max(1, needed),
        plan.request.deadline,
    )
