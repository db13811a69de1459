"""Owns the rules for which resources of the accepted state a viewer may see."""

from __future__ import annotations

from dataclasses import dataclass

from tinrudder.node.api.operators.operator_authentication import Viewer
from tinrudder.node.resources.accepted import AcceptedState, ResourceKey
from tinrudder.node.resources.configuration import Configuration
from tinrudder.node.resources.model import Kind


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The accepted state and the configuration built from it, at one moment."""

    state: AcceptedState
    configuration: Configuration


@dataclass(frozen=True, slots=True)
class VisibleChanges:
    """Changes between two snapshots that a viewer may see, sorted by key."""

    changed: tuple[ResourceKey, ...]
    deleted: tuple[ResourceKey, ...]


def may_see(viewer: Viewer, key: ResourceKey, configuration: Configuration) -> bool:
    """Return whether a viewer may learn that a resource exists.

    Operators see all resources.  A tenant sees itself, the services that it may use and their
    query rules.
    """
    if viewer.tenant is None:
        return True
    if key.kind == Kind.TENANT:
        return key.name == viewer.tenant
    if key.kind == Kind.QUERY_RULE:
        rule = configuration.rules.get(key.name)
        return rule is not None and _may_use(viewer.tenant, rule.service, configuration)
    return key.kind == Kind.SERVICE and _may_use(viewer.tenant, key.name, configuration)


def visible_keys(viewer: Viewer, snapshot: Snapshot) -> list[ResourceKey]:
    """Return the keys of all resources that a viewer may see, sorted."""
    keys = sorted(snapshot.state.resources)
    return [key for key in keys if may_see(viewer, key, snapshot.configuration)]


def visible_changes(viewer: Viewer, before: Snapshot, after: Snapshot) -> VisibleChanges:
    """Return the visible changes; a resource that is no longer visible counts as deleted."""
    changed: list[ResourceKey] = []
    deleted: list[ResourceKey] = []
    for key in _possibly_changed_keys(viewer, before, after):
        old = before.state.resources.get(key)
        new = after.state.resources.get(key)
        was_visible = old is not None and may_see(viewer, key, before.configuration)
        is_visible = new is not None and may_see(viewer, key, after.configuration)
        if was_visible and not is_visible:
            deleted.append(key)
        elif is_visible and not (was_visible and old and new and old.digest == new.digest):
            changed.append(key)
    return VisibleChanges(tuple(changed), tuple(deleted))


def _possibly_changed_keys(viewer: Viewer, before: Snapshot, after: Snapshot) -> list[ResourceKey]:
    """Return the keys of resources that may have changed for the viewer, sorted."""
    if viewer.tenant is not None:
        # Changing a service shows or hides its rules, so all visible keys are compared.
        return sorted({*visible_keys(viewer, before), *visible_keys(viewer, after)})
    keys: set[ResourceKey] = set()
    digests = zip(before.state.bucket_digests, after.state.bucket_digests, strict=True)
    for number, (old, new) in enumerate(digests):
        if old != new:
            for state in (before.state, after.state):
                keys.update(resource.key for resource in state.buckets[number])
    return sorted(keys)


def _may_use(tenant: str, service: str, configuration: Configuration) -> bool:
    spec = configuration.services.get(service)
    return spec is not None and tenant in spec.tenants
