"""Resource usage of each tenant on this node, and its caps.

Owns the usage counts.  A query releases everything that it acquired by closing its permit when it
ends, for whatever reason.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Cap(enum.StrEnum):
    """Resource of which a tenant has reached its cap."""

    QUERIES = "concurrent queries"
    QUEUE_PLACES = "queue places"
    BUFFERED_BYTES = "buffered bytes"


@dataclass(frozen=True, slots=True)
class TenantCaps:
    """A tenant's caps on one node."""

    queries: int
    queue_places: int
    buffered_bytes: int


@dataclass(slots=True, eq=False)
class TenantUsage:
    """A tenant's current usage; each unit was within the caps when it was acquired.

    :param queries: queries in progress.
    :param queue_places: waiting calls.
    :param buffered_bytes: bytes of encoded answers held by queries in progress.
    """

    caps: TenantCaps
    queries: int = 0
    queue_places: int = 0
    buffered_bytes: int = 0

    def acquire_queue_place(self) -> bool:
        """Acquire one queue place; ``False`` if the cap is reached."""
        if self.queue_places >= self.caps.queue_places:
            return False
        self.queue_places += 1
        return True

    def release_queue_place(self) -> None:
        """Release one queue place."""
        self.queue_places -= 1

    def exceeded_cap(self, calls: int) -> Cap | None:
        """Return the cap that one more query with so many calls would exceed, if any."""
        if self.queries >= self.caps.queries:
            return Cap.QUERIES
        if self.queue_places + calls > self.caps.queue_places:
            return Cap.QUEUE_PLACES
        if self.buffered_bytes >= self.caps.buffered_bytes:
            return Cap.BUFFERED_BYTES
        return None


class QueryPermit:
    """One query's part of its tenant's usage, released by :meth:`close`."""

    __slots__ = ("_bytes", "_closed", "_table", "_tenant", "usage")

    def __init__(self, table: TenantUsageTable, tenant: str, usage: TenantUsage) -> None:
        """Count the query as in progress."""
        self._table = table
        self._tenant = tenant
        self._bytes = 0
        self._closed = False
        self.usage = usage
        usage.queries += 1

    def reserve_bytes(self, size: int) -> bool:
        """Count an answer that the query buffers; ``False`` if it would exceed the cap."""
        usage = self.usage
        if usage.buffered_bytes + size > usage.caps.buffered_bytes:
            return False
        usage.buffered_bytes += size
        self._bytes += size
        return True

    def release_bytes(self) -> None:
        """Release all buffered bytes, for example when the query restarts on another version."""
        self.usage.buffered_bytes -= self._bytes
        self._bytes = 0

    def close(self) -> None:
        """Release everything; no-op if already closed."""
        if self._closed:
            return
        self._closed = True
        self.release_bytes()
        self.usage.queries -= 1
        self._table.remove_if_idle(self._tenant)


class TenantUsageTable:
    """The usage of every tenant with a query in progress."""

    def __init__(self) -> None:
        """Start without tenants."""
        self._tenants: dict[str, TenantUsage] = {}

    def begin(self, tenant: str, caps: TenantCaps, calls: int) -> QueryPermit | Cap:
        """Admit a query, or return the cap that forbids it.

        :param calls: how many calls of the query may wait at the same time.
        """
        usage = self._tenants.get(tenant)
        if usage is None:
            usage = TenantUsage(caps)
        usage.caps = caps
        exceeded = usage.exceeded_cap(calls)
        if exceeded is not None:
            return exceeded
        self._tenants[tenant] = usage
        return QueryPermit(self, tenant, usage)

    def of(self, tenant: str) -> TenantUsage | None:
        """Return a tenant's usage, ``None`` when it has no query in progress."""
        return self._tenants.get(tenant)

    def remove_if_idle(self, tenant: str) -> None:
        """Remove a tenant without queries in progress."""
        usage = self._tenants.get(tenant)
        if usage is not None and usage.queries == 0:
            del self._tenants[tenant]

    def __len__(self) -> int:
        """Return the number of tenants with queries in progress."""
        return len(self._tenants)
