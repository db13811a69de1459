"""Owns the immutable view of the accepted state that queries read."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from tinrudder.node.resources.accepted import AcceptedResource, ResourceKey
from tinrudder.node.resources.model import (
    AnySpec,
    BackendSpec,
    Credential,
    IndexSpec,
    Kind,
    QueryRuleSpec,
    ServiceSpec,
    TenantSpec,
)


@dataclass(frozen=True, slots=True)
class CredentialOwner:
    """A credential and the tenant to which it belongs."""

    tenant: str
    credential: Credential


@dataclass(frozen=True, slots=True)
class Configuration:
    """An immutable view of all resources in force at a revision.

    References may name resources that are not in force; readers treat these as absent.
    """

    revision: int = 0
    resources: Mapping[ResourceKey, AcceptedResource] = field(default_factory=dict)
    tenants: Mapping[str, TenantSpec] = field(default_factory=dict)
    services: Mapping[str, ServiceSpec] = field(default_factory=dict)
    backends: Mapping[str, BackendSpec] = field(default_factory=dict)
    indexes: Mapping[str, IndexSpec] = field(default_factory=dict)
    rules: Mapping[str, QueryRuleSpec] = field(default_factory=dict)
    credentials: Mapping[str, CredentialOwner] = field(default_factory=dict)


def build_configuration(
    revision: int, resources: Mapping[ResourceKey, AcceptedResource]
) -> Configuration:
    """Return a view of accepted resources, indexed by kind and name."""
    by_kind: dict[str, dict[str, AnySpec]] = {kind.value: {} for kind in Kind}
    for key in sorted(resources):
        spec = resources[key].spec
        if spec is not None:
            by_kind[key.kind][key.name] = spec
    return Configuration(
        revision=revision,
        resources=MappingProxyType(dict(resources)),
        tenants=by_kind[Kind.TENANT],  # type: ignore[arg-type]
        services=by_kind[Kind.SERVICE],  # type: ignore[arg-type]
        backends=by_kind[Kind.BACKEND],  # type: ignore[arg-type]
        indexes=by_kind[Kind.INDEX],  # type: ignore[arg-type]
        rules=by_kind[Kind.QUERY_RULE],  # type: ignore[arg-type]
        credentials=_credentials(resources.values()),
    )


def _credentials(resources: Iterable[AcceptedResource]) -> dict[str, CredentialOwner]:
    """Return the owner of each key id.

    Validation refuses a key id that one document gives to two tenants.  But a tenant whose newest
    generation was refused may keep a key id through its last good generation after another tenant
    was given the same key id: the more recent decision wins.
    """
    owners: dict[str, CredentialOwner] = {}
    tenants = [resource for resource in resources if resource.key.kind == Kind.TENANT]
    for resource in sorted(tenants, key=_decision_order):
        if isinstance(resource.spec, TenantSpec):
            for credential in resource.spec.credentials:
                owners[credential.key_id] = CredentialOwner(resource.key.name, credential)
    return owners


def _decision_order(resource: AcceptedResource) -> tuple[bool, int, bytes, str]:
    decided_version = resource.decided_version
    return (
        not resource.problem,
        decided_version.revision,
        decided_version.digest,
        resource.key.name,
    )
