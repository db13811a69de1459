"""The accepted configuration: one immutable view, and the store that only moves it forward.

A document is validated resource by resource.  A bad resource does not stop the others: its
last good specification stays in force and its condition names the field and the rule.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

import msgspec

from tinrudder.platform.messages import RawResource, ResourceDocument
from tinrudder.resources.model import (
    SPEC_TYPES,
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
class ResourceKey:
    """Kind and name of a resource."""

    kind: Kind
    name: str


@dataclass(frozen=True, slots=True)
class AcceptedResource:
    """A resource as it is in force.

    :param observed_generation: the newest generation seen, accepted or not.
    :param accepted_generation: the generation whose spec is in force, 0 if none ever was.
    :param problem: field and rule of a refused newer generation, else empty.
    """

    key: ResourceKey
    observed_generation: int
    accepted_generation: int
    spec: AnySpec | None
    problem: str = ""


@dataclass(frozen=True, slots=True)
class CredentialOwner:
    """A credential and the tenant it belongs to."""

    tenant: str
    credential: Credential


@dataclass(frozen=True, slots=True)
class Configuration:
    """One immutable view of everything in force at a revision."""

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
    """Index accepted resources by kind and name."""
    by_kind: dict[Kind, dict[str, AnySpec]] = {kind: {} for kind in Kind}
    for key, resource in resources.items():
        if resource.spec is not None:
            by_kind[key.kind][key.name] = resource.spec
    tenants: dict[str, TenantSpec] = by_kind[Kind.TENANT]  # type: ignore[assignment]
    credentials = {
        credential.key_id: CredentialOwner(tenant, credential)
        for tenant, spec in sorted(tenants.items())
        for credential in spec.credentials
    }
    return Configuration(
        revision=revision,
        resources=MappingProxyType(dict(resources)),
        tenants=tenants,
        services=by_kind[Kind.SERVICE],  # type: ignore[arg-type]
        backends=by_kind[Kind.BACKEND],  # type: ignore[arg-type]
        indexes=by_kind[Kind.INDEX],  # type: ignore[arg-type]
        rules=by_kind[Kind.QUERY_RULE],  # type: ignore[arg-type]
        credentials=credentials,
    )


class ConfigurationStore:
    """Holds the configuration in force; the highest revision wins and is never lowered."""

    def __init__(self) -> None:
        """Start with nothing in force, at revision 0."""
        self.current = Configuration()

    def offer(self, document: ResourceDocument) -> bool:
        """Take a document if it is newer than what is in force.

        :returns: whether the view changed.  A stale or restored platform changes nothing.
        """
        if document.revision <= self.current.revision:
            return False
        accepted: dict[ResourceKey, AcceptedResource] = {}
        for raw in document.resources:
            resource = self._accept(raw)
            if resource is not None:
                accepted[resource.key] = resource
        self.current = build_configuration(document.revision, accepted)
        return True

    def _accept(self, raw: RawResource) -> AcceptedResource | None:
        """Validate one resource, falling back to its last good specification."""
        try:
            kind = Kind(raw.kind)
        except ValueError:
            return None
        key = ResourceKey(kind, raw.name)
        last = self.current.resources.get(key)
        try:
            spec = msgspec.json.decode(raw.spec, type=SPEC_TYPES[kind])
        except msgspec.MsgspecError as error:
            good = last.spec if last else None
            good_generation = last.accepted_generation if last else 0
            return AcceptedResource(key, raw.generation, good_generation, good, str(error))
        return AcceptedResource(key, raw.generation, raw.generation, spec)
