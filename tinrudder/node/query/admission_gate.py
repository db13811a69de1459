"""Where a planned query is let in or refused, before anything of it is sent.

Owns nothing; relies on ``tenant_usage`` for a tenant's caps and on the admission policy for the
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
"""Seconds after which a tenant at its cap is asked back, spread up to twice that.  Chosen, not
measured: about as long as a query takes."""
ROUNDING_TOLERANCE = 1e-9
"""Keeps a coverage of exactly so many shards from being rounded up to one more."""


class AdmissionGate:
    """Applies tenants' caps, then the admission policy; answers at once in either case."""

    def __init__(
        self,
        timers: Timers,
        admission: AdmissionPolicy,
        usage: TenantUsageTable,
        configuration: Callable[[], Configuration],
        source: random.Random,
    ) -> None:
        """Read the tenants' caps through ``configuration`` at every query."""
        self._timers = timers
        self._admission = admission
        self._usage = usage
        self._configuration = configuration
        self._random = source

    def enter(self, plan: QueryPlan) -> QueryPermit | NotRun:
        """Return the query's permit, to be closed when the query ends, or why it is refused."""
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
    """Return a tenant's caps as its resource states them."""
    return TenantCaps(spec.max_concurrent_queries, spec.max_queued_calls, spec.max_buffered_bytes)


def _demand_of(plan: QueryPlan) -> QueryDemand:
    """Describe a plan to the admission policy."""
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
