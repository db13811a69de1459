"""Why a finished query went as it did, kept in a bounded ring per tenant.

Nothing is recorded while a query runs.  When it ends, what the fan-out knows anyway is kept as it
is, and only put into words when somebody asks.  A tenant sees its own queries only.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import Protocol

import msgspec

QUERIES_PER_TENANT = 16
"""Explanations kept for a tenant, the latest; bounds memory."""
MAX_TENANTS = 128
"""Tenants whose explanations are kept, those that asked last; bounds memory."""


class CallExplanation(msgspec.Struct, frozen=True):
    """One shard of a query.

    :param backends: back ends its calls were sent to, in order; several after a retry or hedge.
    :param hedges: how many of the calls were hedges.
    :param waited_ms: from the start of the query until its first call was sent, if it was.
    :param missing: why the shard is not in the answer, empty if it is.
    """

    shard: str
    owner: str
    candidates: tuple[str, ...]
    backends: tuple[str, ...] = ()
    hedges: int = 0
    waited_ms: float | None = None
    missing: str = ""


class QueryExplanation(msgspec.Struct, frozen=True):
    """One finished query, as its coordinator saw it.

    :param choice: the policy that chose among the replicas.
    """

    query_id: str
    tenant: str
    node: str
    service: str
    index: str
    rule: str
    version: int
    outcome: str
    reason: str
    elapsed_ms: float
    choice: str
    shards: tuple[CallExplanation, ...]

    def explain(self) -> QueryExplanation:
        """Return itself; see :class:`RecordedQuery`."""
        return self


class RecordedQuery(Protocol):
    """What a ring keeps of one finished query."""

    @property
    def query_id(self) -> str:
        """Return the query's id."""

    @property
    def tenant(self) -> str:
        """Return whose query it was."""

    def explain(self) -> QueryExplanation:
        """Put it into words."""


class ExplanationRing:
    """The last queries of each tenant; the tenant that was quiet the longest goes first.

    >>> ring = ExplanationRing(queries_per_tenant=1)
    >>> def explained(query_id, tenant):
    ...     return QueryExplanation(
    ...         query_id, tenant, "n", "s", "i", "r", 1, "complete", "", 1.0, "random", ())
    >>> ring.add(explained("q1", "acme"))
    >>> ring.find("q1", "acme").query_id, ring.find("q1", "rival")
    ('q1', None)
    >>> ring.add(explained("q2", "acme"))
    >>> ring.find("q1", "acme") is None
    True
    """

    def __init__(
        self, queries_per_tenant: int = QUERIES_PER_TENANT, max_tenants: int = MAX_TENANTS
    ) -> None:
        """Start empty."""
        self._queries_per_tenant = queries_per_tenant
        self._max_tenants = max_tenants
        self._rings: OrderedDict[str, deque[RecordedQuery]] = OrderedDict()

    def add(self, query: RecordedQuery) -> None:
        """Keep one query, at the expense of its tenant's oldest."""
        ring = self._rings.get(query.tenant)
        if ring is None:
            ring = deque(maxlen=self._queries_per_tenant)
            self._rings[query.tenant] = ring
            if len(self._rings) > self._max_tenants:
                self._rings.popitem(last=False)
        ring.append(query)
        self._rings.move_to_end(query.tenant)

    def find(self, query_id: str, tenant: str | None) -> QueryExplanation | None:
        """Return a query of a tenant, or of any tenant for an operator (``None``)."""
        rings = self._rings.values() if tenant is None else [self._rings.get(tenant, deque())]
        for ring in rings:
            for query in ring:
                if query.query_id == query_id:
                    return query.explain()
        return None
