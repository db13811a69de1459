"""Explanations of finished queries, kept in a bounded ring per tenant.

Owns the rings.  Nothing is recorded while a query runs.  When it ends, the state of its fan-out is
kept, and is converted to an explanation only on request.  A tenant sees its own queries only.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import Protocol

import msgspec

QUERIES_PER_TENANT = 16
"""Number of queries kept per tenant, the latest ones.  Bounds memory."""
MAX_TENANTS = 128
"""Number of tenants whose queries are kept, the most recently active ones.  Bounds memory."""


class CallExplanation(msgspec.Struct, frozen=True):
    """The calls for one shard of a query.

    :param backends: back ends that were sent a call, in order; several after a retry or hedge.
    :param hedges: number of calls that were hedges.
    :param waited_ms: time from the start of the query until the shard's first call was sent,
        ``None`` if none was sent.
    :param missing: why the shard is missing from the answer, empty if it is included.
    """

    shard: str
    owner: str
    candidates: tuple[str, ...]
    backends: tuple[str, ...] = ()
    hedges: int = 0
    waited_ms: float | None = None
    missing: str = ""


class QueryExplanation(msgspec.Struct, frozen=True):
    """One finished query from the point of view of its coordinator.

    :param choice: name of the replica choice policy.
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
        """Return itself, as :class:`RecordedQuery` requires."""
        return self


class RecordedQuery(Protocol):
    """The record that a ring keeps of one finished query."""

    @property
    def query_id(self) -> str:
        """Return the query's id."""

    @property
    def tenant(self) -> str:
        """Return the tenant of the query."""

    def explain(self) -> QueryExplanation:
        """Convert the record to an explanation."""


class ExplanationRing:
    """The latest queries of each tenant; evicts the least recently active tenant.

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
        """Create an empty ring."""
        self._queries_per_tenant = queries_per_tenant
        self._max_tenants = max_tenants
        self._rings: OrderedDict[str, deque[RecordedQuery]] = OrderedDict()

    def add(self, query: RecordedQuery) -> None:
        """Add one query, evicting the tenant's oldest one if the ring is full."""
        ring = self._rings.get(query.tenant)
        if ring is None:
            ring = deque(maxlen=self._queries_per_tenant)
            self._rings[query.tenant] = ring
            if len(self._rings) > self._max_tenants:
                self._rings.popitem(last=False)
        ring.append(query)
        self._rings.move_to_end(query.tenant)

    def find(self, query_id: str, tenant: str | None) -> QueryExplanation | None:
        """Return a query of ``tenant``; ``None`` searches all tenants, for an operator."""
        rings = self._rings.values() if tenant is None else [self._rings.get(tenant, deque())]
        for ring in rings:
            for query in ring:
                if query.query_id == query_id:
                    return query.explain()
        return None
