"""Validates the tenants of a configuration and builds them.

Owns no state.  Keys are not retained: a :class:`Tenant` has only their digests.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from msgspec import Struct

from tinrudder.gateway.model.configuration import Tenant
from tinrudder.gateway.requests.api_keys import MAX_KEY_BYTES, key_digest


class TenantsError(Exception):
    """The tenants are invalid; the text names the field and the rule, never a key."""


class TenantDocument(Struct, frozen=True):
    """A tenant as written by an operator, see :class:`Tenant`; limits are optional."""

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None
    rate_per_s: float | None = None
    burst: float | None = None


def build_tenants(documents: Iterable[TenantDocument]) -> tuple[Tenant, ...]:
    """Return the tenants.

    :raises TenantsError: a name is empty or a duplicate, two tenants share a key, a key is empty or
        too long, or a limit is negative or not finite.
    """
    owners: dict[bytes, str] = {}
    tenants: dict[str, Tenant] = {}
    for position, document in enumerate(documents):
        field = f"tenants[{position}]"
        if not document.name:
            raise TenantsError(f"{field}: the name must not be empty")
        if document.name in tenants:
            raise TenantsError(f"{field}: the name {document.name!r} stands twice")
        rate_per_s = _limit(f"{field}: the rate", document.rate_per_s)
        burst = _limit(f"{field}: the burst", document.burst)
        digests = [_digest(f"{field}: key {i}", key) for i, key in enumerate(document.keys)]
        for digest in digests:
            owner = owners.setdefault(digest, document.name)
            if owner != document.name:
                raise TenantsError(f"{field}: {owner!r} has one of its keys too")
        tenants[document.name] = Tenant(
            document.name, frozenset(digests), document.priority, rate_per_s, burst
        )
    return tuple(tenants.values())


def _limit(field: str, limit: float | None) -> float:
    """Return a valid limit, or 0 for one that is left out."""
    if limit is None:
        return 0.0
    if not math.isfinite(limit) or limit < 0.0:
        raise TenantsError(f"{field} must be finite and not below zero")
    return limit


def _digest(field: str, key: str) -> bytes:
    """Return a key's digest."""
    encoded = key.encode()
    if not 0 < len(encoded) <= MAX_KEY_BYTES:
        raise TenantsError(f"{field} must have 1 to {MAX_KEY_BYTES} bytes")
    return key_digest(encoded)
