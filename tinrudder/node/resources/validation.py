"""Owns the validation of documents, a deterministic function of the document alone.

The result doesn't depend on the accepted state, the time or the node: all nodes validate the same
document alike.  References are checked against the names in the same document, whether or not
the referenced resource is itself valid.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

import msgspec

from tinrudder.node.configuration_service.messages import RawResource, ResourceDocument
from tinrudder.node.resources.accepted import (
    AcceptedResource,
    AcceptedState,
    DocumentVersion,
    ResourceKey,
    digest_of,
    make_state,
)
from tinrudder.node.resources.model import (
    SPEC_TYPES,
    AnySpec,
    BackendSpec,
    IndexSpec,
    Kind,
    QueryRuleSpec,
    ServiceSpec,
    TenantSpec,
    is_valid_name,
)
from tinrudder.node.resources.rules import PolicyNames, policy_problems, specification_problems

MAX_RESOURCES = 20_000
MAX_SPEC_BYTES = 1024 * 1024
MAX_DOCUMENT_BYTES = 32 * 1024 * 1024
MAX_KEY_LENGTH = 253
"""Characters of a kind or a name."""
MAX_PROBLEM_LENGTH = 300
"""Characters of a problem's text; the rest is cut off."""
MAX_REVISION = 2**63 - 1


class DocumentRefusedError(Exception):
    """A document is refused as a whole; the configuration in force stays."""


@dataclass(frozen=True, slots=True)
class Problem:
    """A validation error of one resource: the field and the rule that it breaks."""

    key: ResourceKey
    generation: int
    text: str

    def __str__(self) -> str:
        """Return resource, field and rule as one line."""
        return f"{self.key.kind} {self.key.name}: {self.text}"


@dataclass(slots=True)
class _CheckedResource:
    """A resource during validation."""

    raw: RawResource
    key: ResourceKey
    spec: AnySpec | None = None
    problem: str = ""


def check_document(document: ResourceDocument) -> None:
    """Check the limits of a document as a whole.

    :raises DocumentRefusedError: naming the rule that it breaks.
    """
    count = len(document.resources)
    if not 1 <= document.revision <= MAX_REVISION:
        raise DocumentRefusedError(f"revision: must be from 1 to {MAX_REVISION}")
    if count > MAX_RESOURCES:
        raise DocumentRefusedError(f"resources: {count}, at most {MAX_RESOURCES}")
    if document.resource_count is not None and document.resource_count != count:
        stated = document.resource_count
        raise DocumentRefusedError(f"resources: {count} of {stated} arrived, must be whole")
    size = sum(len(raw.spec) for raw in document.resources)
    if size > MAX_DOCUMENT_BYTES:
        raise DocumentRefusedError(f"resources: {size} bytes, at most {MAX_DOCUMENT_BYTES}")
    for raw in document.resources:
        if len(raw.kind) > MAX_KEY_LENGTH or len(raw.name) > MAX_KEY_LENGTH:
            raise DocumentRefusedError(f"kind and name: at most {MAX_KEY_LENGTH} characters")
        if not 1 <= raw.generation <= MAX_REVISION:
            raise DocumentRefusedError(f"{raw.kind} {raw.name}: generation: must be 1 or more")


def version_of(document: ResourceDocument) -> DocumentVersion:
    """Return the version that orders a document among all documents."""
    lines = sorted((r.kind, r.name, r.generation, bytes(r.spec)) for r in document.resources)
    return DocumentVersion(document.revision, digest_of(msgspec.msgpack.encode(lines)))


def state_of_document(
    document: ResourceDocument,
    policies: PolicyNames | None = None,
    previous_state: AcceptedState | None = None,
) -> AcceptedState:
    """Return the state of a node that has seen only this document.

    :param previous_state: unchanged resources are reused from it without decoding them again.
    :raises DocumentRefusedError: if the document as a whole breaks a rule.
    """
    check_document(document)
    resources = []
    for checked in _check_resources(document, policies or PolicyNames(), previous_state):
        raw = checked.raw
        if checked.problem:
            text = checked.problem[:MAX_PROBLEM_LENGTH]
            resources.append(AcceptedResource(checked.key, raw.generation, 0, b"", text))
            continue
        resources.append(_accepted_resource(checked, previous_state))
    return make_state(version_of(document), resources)


def problems_of(
    document: ResourceDocument,
    policies: PolicyNames | None = None,
    previous_state: AcceptedState | None = None,
) -> list[Problem]:
    """Return the problems of a document's resources, sorted by kind and name.

    :param previous_state: see :func:`state_of_document`.
    :raises DocumentRefusedError: if the document as a whole breaks a rule.
    """
    state = state_of_document(document, policies, previous_state)
    return [
        Problem(key, state.resources[key].observed_generation, state.resources[key].problem)
        for key in sorted(state.resources)
        if state.resources[key].problem
    ]


def _accepted_resource(
    checked: _CheckedResource, previous_state: AcceptedState | None
) -> AcceptedResource:
    """Return the accepted resource; the previous object if nothing changed."""
    raw = checked.raw
    spec = bytes(raw.spec)
    previous = previous_state.resources.get(checked.key) if previous_state else None
    unchanged = (
        previous is not None
        and not previous.problem
        and previous.accepted_generation == raw.generation
        and previous.raw_spec == spec
    )
    if unchanged and previous is not None:
        return previous
    return AcceptedResource(checked.key, raw.generation, raw.generation, spec)


def _check_resources(
    document: ResourceDocument, policies: PolicyNames, previous_state: AcceptedState | None
) -> list[_CheckedResource]:
    """Validate each resource separately, then its references."""
    counts = Counter((raw.kind, raw.name) for raw in document.resources)
    checked: dict[ResourceKey, _CheckedResource] = {}
    for raw in document.resources:
        key = ResourceKey(raw.kind, raw.name)
        if counts[(raw.kind, raw.name)] > 1:
            # Which one is intended is unknown: refuse both, report the higher generation.
            if key not in checked or checked[key].raw.generation < raw.generation:
                checked[key] = _CheckedResource(raw, key, None, "name: listed more than once")
            continue
        checked[key] = _check_without_references(raw, key, previous_state)
    names = _DocumentNames.of(checked)
    for resource in checked.values():
        if resource.spec is not None:
            resource.problem = next(_reference_problems(resource, names, policies), "")
    return list(checked.values())


def _check_without_references(
    raw: RawResource, key: ResourceKey, previous_state: AcceptedState | None
) -> _CheckedResource:
    """Validate one resource without its references."""
    spec_type = SPEC_TYPES.get(raw.kind)  # type: ignore[call-overload]
    if spec_type is None:
        kinds = ", ".join(kind.value for kind in Kind)
        return _CheckedResource(raw, key, None, f"kind: must be one of {kinds}")
    if not is_valid_name(raw.name):
        return _CheckedResource(
            raw, key, None, "name: must be lower-case letters, digits, '.' and '-'"
        )
    if len(raw.spec) > MAX_SPEC_BYTES:
        return _CheckedResource(
            raw, key, None, f"spec: {len(raw.spec)} bytes, at most {MAX_SPEC_BYTES}"
        )
    previous = previous_state.resources.get(key) if previous_state else None
    was_accepted = previous is not None and not previous.problem and previous.spec is not None
    if previous is not None and was_accepted and previous.raw_spec == bytes(raw.spec):
        # Accepted before, so only its references are checked again.
        return _CheckedResource(raw, key, previous.spec)
    try:
        spec: AnySpec = msgspec.json.decode(raw.spec, type=spec_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return _CheckedResource(raw, key, None, f"spec: {error}")
    return _CheckedResource(raw, key, spec, next(specification_problems(spec), ""))


@dataclass(frozen=True, slots=True)
class _DocumentNames:
    """Names in a document, for checking references.

    :param backend_service: service of each back end whose specification was decoded.
    :param key_id_counts: number of tenants that have each key id.
    """

    by_kind: Mapping[str, frozenset[str]]
    backend_service: Mapping[str, str]
    key_id_counts: Mapping[str, int]

    @staticmethod
    def of(checked: Mapping[ResourceKey, _CheckedResource]) -> _DocumentNames:
        by_kind: dict[str, set[str]] = {kind.value: set() for kind in Kind}
        backend_service: dict[str, str] = {}
        key_ids: Counter[str] = Counter()
        for key, resource in checked.items():
            by_kind.setdefault(key.kind, set()).add(key.name)
            if isinstance(resource.spec, BackendSpec):
                backend_service[key.name] = resource.spec.service
            elif isinstance(resource.spec, TenantSpec):
                key_ids.update({credential.key_id for credential in resource.spec.credentials})
        frozen = {kind: frozenset(names) for kind, names in by_kind.items()}
        return _DocumentNames(frozen, backend_service, key_ids)

    def is_missing(self, kind: Kind, name: str) -> bool:
        return name not in self.by_kind[kind.value]


def _reference_problems(
    checked: _CheckedResource, names: _DocumentNames, policies: PolicyNames
) -> Iterator[str]:
    """Yield a resource's own problem, then its broken references and policies."""
    spec = checked.spec
    if checked.problem:
        yield checked.problem
    if isinstance(spec, TenantSpec):
        yield from _credential_problems(spec, names)
    elif isinstance(spec, ServiceSpec):
        for tenant in spec.tenants:
            if names.is_missing(Kind.TENANT, tenant):
                yield f"spec.tenants: no Tenant {tenant!r}"
    elif spec is not None and names.is_missing(Kind.SERVICE, spec.service):
        yield f"spec.service: no Service {spec.service!r}"
    elif isinstance(spec, QueryRuleSpec):
        yield from policy_problems(spec, policies)
    elif isinstance(spec, IndexSpec):
        yield from _shard_problems(spec, names)


def _credential_problems(spec: TenantSpec, names: _DocumentNames) -> Iterator[str]:
    """Yield key ids shared by tenants; all of them are refused, as the owner is ambiguous."""
    for credential in spec.credentials:
        if names.key_id_counts[credential.key_id] > 1:
            yield f"spec.credentials.key_id: {credential.key_id!r} belongs to two tenants"


def _shard_problems(spec: IndexSpec, names: _DocumentNames) -> Iterator[str]:
    """Yield shards whose back ends are not in the document or belong to another service."""
    for version in spec.versions:
        for shard in version.shards:
            field_path = f"spec.versions[{version.version}].shards[{shard.shard}].backends"
            for backend in shard.backends:
                if names.is_missing(Kind.BACKEND, backend):
                    yield f"{field_path}: no Backend {backend!r}"
                elif names.backend_service.get(backend, spec.service) != spec.service:
                    yield f"{field_path}: {backend!r} belongs to another service"
