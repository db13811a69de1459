"""What each tenant uses of this node, and its caps.

Every unit taken is given back by the query that took it: a query's end, whatever ends it,
closes its permit.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Cap(enum.StrEnum):
    """What a tenant has too much of."""

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
    """A tenant's present use; never above ``caps`` as they were when it was taken.

    :param queries: queries in progress.
    :param queue_places: calls that wait.
    :param buffered_bytes: encoded answers held by queries in progress.
    """

    caps: TenantCaps
    queries: int = 0
    queue_places: int = 0
    buffered_bytes: int = 0

    def take_place(self) -> bool:
        """Take one queue place, if there is one."""
        if self.queue_places >= self.caps.queue_places:
            return False
        self.queue_places += 1
        return True

    def return_place(self) -> None:
        """Give one queue place back."""
        self.queue_places -= 1

    def cap_reached_by(self, calls: int) -> Cap | None:
        """Return the cap that one more query with so many calls breaks."""
        if self.queries >= self.caps.queries:
            return Cap.QUERIES
        if self.queue_places + calls > self.caps.queue_places:
            return Cap.QUEUE_PLACES
        if self.buffered_bytes >= self.caps.buffered_bytes:
            return Cap.BUFFERED_BYTES
        return None


class QueryPermit:
    """One query's part of its tenant's usage."""

    __slots__ = ("_bytes", "_closed", "_table", "_tenant", "usage")

    def __init__(self, table: TenantUsageTable, tenant: str, usage: TenantUsage) -> None:
        """Count the query."""
        self._table = table
        self._tenant = tenant
        self._bytes = 0
        self._closed = False
        self.usage = usage
        usage.queries += 1

    def hold_bytes(self, size: int) -> bool:
        """Count an answer that the query keeps; ``False`` when it must be dropped instead."""
        usage = self.usage
        if usage.buffered_bytes + size > usage.caps.buffered_bytes:
            return False
        usage.buffered_bytes += size
        self._bytes += size
        return True

    def drop_bytes(self) -> None:
        """Count out everything the query kept, as when it starts again on another version."""
        self.usage.buffered_bytes -= self._bytes
        self._bytes = 0

    def close(self) -> None:
        """Give everything back; a no-op the second time."""
        if self._closed:
            return
        self._closed = True
        self.drop_bytes()
        self.usage.queries -= 1
        self._table.forget_if_idle(self._tenant)


class TenantUsageTable:
    """The usage of every tenant with a query in progress."""

    def __init__(self) -> None:
        """Start without tenants."""
        self._tenants: dict[str, TenantUsage] = {}

    def begin(self, tenant: str, caps: TenantCaps, calls: int) -> QueryPermit | Cap:
        """Take a query in, or name the cap that forbids it.

        :param calls: how many calls the query may have waiting at once.
        """
        usage = self._tenants.get(tenant)
        if usage is None:
            usage = TenantUsage(caps)
        usage.caps = caps
        reached = usage.cap_reached_by(calls)
        if reached is not None:
            return reached
        self._tenants[tenant] = usage
        return QueryPermit(self, tenant, usage)

    def of(self, tenant: str) -> TenantUsage | None:
        """Return a tenant's usage, ``None`` when it has no query in progress."""
        return self._tenants.get(tenant)

    def forget_if_idle(self, tenant: str) -> None:
        """Drop a tenant without queries."""
        usage = self._tenants.get(tenant)
        if usage is not None and usage.queries == 0:
            del self._tenants[tenant]

    def __len__(self) -> int:
        """Return the number of tenants with queries in progress."""
        return len(self._tenants)
