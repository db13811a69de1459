"""Owns validation rules across the fields of one specification, which its type can't express."""

from __future__ import annotations

import ipaddress
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from tinrudder.node.resources.model import (
    AnySpec,
    BackendSpec,
    IndexSpec,
    QueryRuleSpec,
    ServiceSpec,
    TenantSpec,
)


@dataclass(frozen=True, slots=True)
class PolicyNames:
    """Policy names that a query rule may use, by role; an empty table accepts any name."""

    by_role: Mapping[str, frozenset[str]] = field(default_factory=dict)


def specification_problems(spec: AnySpec) -> Iterator[str]:
    """Yield the broken rules of one specification, without regard to other resources."""
    if isinstance(spec, BackendSpec):
        try:
            ipaddress.ip_address(spec.host)
        except ValueError:
            yield f"spec.host: must be an IP address, got {spec.host!r}"
    elif isinstance(spec, QueryRuleSpec):
        if spec.soft_deadline_ms > spec.hard_deadline_ms:
            yield "spec.soft_deadline_ms: must not exceed hard_deadline_ms"
    elif isinstance(spec, TenantSpec):
        key_ids = [credential.key_id for credential in spec.credentials]
        yield from _duplicates("spec.credentials.key_id", key_ids)
    elif isinstance(spec, ServiceSpec):
        yield from _duplicates("spec.tenants", list(spec.tenants))
    elif isinstance(spec, IndexSpec):
        yield from _duplicates("spec.versions.version", [str(v.version) for v in spec.versions])
        for version in spec.versions:
            field_name = f"spec.versions[{version.version}].shards.shard"
            yield from _duplicates(field_name, [shard.shard for shard in version.shards])


def _duplicates(field_name: str, values: Sequence[str]) -> Iterator[str]:
    if len(set(values)) != len(values):
        duplicate = min(value for value, count in Counter(values).items() if count > 1)
        yield f"{field_name}: {duplicate!r} is listed more than once"


def policy_problems(spec: QueryRuleSpec, policies: PolicyNames) -> Iterator[str]:
    """Yield problems for policies that this release doesn't have."""
    if not policies.by_role:
        return
    for role, name in sorted(spec.policies.items()):
        allowed = policies.by_role.get(role)
        if allowed is None:
            yield f"spec.policies: no role {role!r}, must be one of {sorted(policies.by_role)}"
        elif name not in allowed:
            yield f"spec.policies.{role}: no policy {name!r}, must be one of {sorted(allowed)}"
