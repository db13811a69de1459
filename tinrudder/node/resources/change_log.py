"""Owns the bounded log of changes to the accepted state, which serves resource watches."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

from tinrudder.node.resources.accepted import AcceptedState, ResourceKey

MAX_CHANGES = 1024
"""Changes kept; older ones are dropped."""


@dataclass(frozen=True, slots=True)
class Change:
    """The difference between two successive accepted states.

    :param base_revision: revision in force before.
    :param revision: revision in force after, possibly the same.
    """

    base_revision: int
    revision: int
    changed: tuple[ResourceKey, ...]
    deleted: tuple[ResourceKey, ...]


class ChangeLog:
    """The latest changes and, for every resource, the revision of its last change.

    Both cover only what this node observed: after a cold start, all resources change at once.
    """

    def __init__(self) -> None:
        """Start with an empty log."""
        self._changes: deque[Change] = deque(maxlen=MAX_CHANGES)
        self._changed_at: dict[ResourceKey, int] = {}

    @property
    def changed_at(self) -> Mapping[ResourceKey, int]:
        """Revision of the last change to each resource that this node observed."""
        return MappingProxyType(self._changed_at)

    def record(self, previous: AcceptedState, state: AcceptedState) -> None:
        """Append the difference between two successive states."""
        changed: list[ResourceKey] = []
        deleted: list[ResourceKey] = []
        for number, digest in enumerate(state.bucket_digests):
            if digest == previous.bucket_digests[number]:
                continue
            before = {resource.key: resource for resource in previous.buckets[number]}
            for resource in state.buckets[number]:
                old = before.pop(resource.key, None)
                if old is None or old.digest != resource.digest:
                    changed.append(resource.key)
            deleted.extend(before)
        revision = state.version.revision
        self._changed_at.update((key, revision) for key in changed)
        for key in deleted:
            del self._changed_at[key]
        keys = (tuple(sorted(changed)), tuple(sorted(deleted)))
        self._changes.append(Change(previous.version.revision, revision, *keys))

    def after_revision(self, revision: int) -> tuple[Change, ...] | None:
        """Return the changes since a revision, ``None`` if the log no longer covers it.

        Changes that resulted in the same revision are included: the client may have missed them.
        """
        if not self._changes or revision < self._changes[0].base_revision:
            return None
        return tuple(change for change in self._changes if change.revision >= revision)
