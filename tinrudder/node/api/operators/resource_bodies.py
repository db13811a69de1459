"""Owns the JSON bodies of the resource API, and which fields of a resource a viewer may see."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from tinrudder.node.api.operators.operator_authentication import Viewer
from tinrudder.node.resources.accepted import AcceptedResource
from tinrudder.node.resources.model import Kind, TenantSpec
from tinrudder.node.resources.status import Condition, ConditionType, Enforcement, StatusReporter
from tinrudder.node.resources.store import ConfigurationStore

REFUSED_MESSAGE_FOR_TENANTS = "the newest generation was refused; operators see why"
NO_SPEC = msgspec.Raw(b"null")


class ConditionBody(msgspec.Struct, frozen=True):
    """A condition; ``status`` is ``True`` if healthy."""

    type: str
    status: bool
    reason: str
    message: str


class ResourceBody(msgspec.Struct, frozen=True):
    """A resource: the spec in force and its status.

    :param changed_at: revision of the last change that this node observed.
    """

    kind: str
    name: str
    observed_generation: int
    accepted_generation: int
    changed_at: int
    spec: msgspec.Raw
    conditions: tuple[ConditionBody, ...]


class ResourceListBody(msgspec.Struct, frozen=True):
    """The resources visible to a viewer at one revision."""

    revision: int
    resources: tuple[ResourceBody, ...]


class NodeBody(msgspec.Struct, frozen=True):
    """A member and the newest revision that it is known to enforce."""

    name: str
    zone: str
    status: str
    revision: int


class EnforcementBody(msgspec.Struct, frozen=True):
    """How many nodes enforce a revision or a newer one, and names of lagging nodes."""

    revision: int
    enforcing: int
    nodes: int
    lagging: tuple[str, ...]


class NodesBody(msgspec.Struct, frozen=True):
    """All members, and the platform's conditions as observed by the node that answers."""

    answered_by: str
    revision: int
    digest: str
    enforcement: EnforcementBody
    nodes: tuple[NodeBody, ...]
    platform: tuple[ConditionBody, ...]


class ProblemBody(msgspec.Struct, frozen=True):
    """A validation problem of one resource."""

    kind: str
    name: str
    problem: str


class ValidationBody(msgspec.Struct, frozen=True):
    """The result of a validation."""

    valid: bool
    problems: tuple[ProblemBody, ...]


class ErrorBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """An error response.

    :param write_url: URL that accepts writes, if configured and the viewer is an operator.
    """

    error: str
    detail: str
    write_url: str = ""


def condition_bodies(conditions: Sequence[Condition]) -> tuple[ConditionBody, ...]:
    """Return conditions as JSON bodies."""
    return tuple(
        ConditionBody(condition.type.value, condition.holds, condition.reason, condition.message)
        for condition in conditions
    )


def enforcement_body(enforcement: Enforcement) -> EnforcementBody:
    """Return an enforcement as a JSON body."""
    return EnforcementBody(
        enforcement.revision, enforcement.enforcing, enforcement.nodes, enforcement.lagging
    )


class ResourceRenderer:
    """Renders resources for one viewer; node revisions are read once and reused."""

    def __init__(self, viewer: Viewer, store: ConfigurationStore, reporter: StatusReporter) -> None:
        """Read the nodes' current revisions."""
        self._viewer = viewer
        self._store = store
        self._reporter = reporter
        self._count = reporter.count()

    def body(self, resource: AcceptedResource) -> ResourceBody:
        """Return the fields visible to the viewer, who must be allowed to see the resource."""
        conditions = condition_bodies(self._reporter.conditions_of(resource, self._count))
        spec = msgspec.Raw(resource.raw_spec) if resource.raw_spec else NO_SPEC
        if self._viewer.tenant is not None:
            conditions = tuple(map(_without_other_names, conditions))
            spec = _spec_for_tenant(self._viewer.tenant, resource)
        changed_at = self._store.changes.changed_at.get(resource.key, self._store.current.revision)
        return ResourceBody(
            resource.key.kind,
            resource.key.name,
            resource.observed_generation,
            resource.accepted_generation,
            changed_at,
            spec,
            conditions,
        )


def _without_other_names(condition: ConditionBody) -> ConditionBody:
    """Remove message text that may name other tenants or machines."""
    message = condition.message.partition(";")[0]
    if condition.type == ConditionType.ACCEPTED and not condition.status:
        message = REFUSED_MESSAGE_FOR_TENANTS
    return msgspec.structs.replace(condition, message=message)


def _spec_for_tenant(tenant: str, resource: AcceptedResource) -> msgspec.Raw:
    """Return the spec in force without hashes of secrets and without other tenants' names."""
    spec = resource.spec
    if spec is None:
        return NO_SPEC
    fields = msgspec.to_builtins(spec)
    if isinstance(spec, TenantSpec):
        fields["credentials"] = [{"key_id": credential.key_id} for credential in spec.credentials]
    elif resource.key.kind == Kind.SERVICE:
        fields["tenants"] = [tenant]
    return msgspec.Raw(msgspec.json.encode(fields))
