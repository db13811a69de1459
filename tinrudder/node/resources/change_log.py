"""A bounded log of what changed in the accepted state, for those who watch it."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

from tinrudder.node.resources.accepted import AcceptedState, ResourceKey

MAX_CHANGES = 1024


@dataclass(frozen=True, slots=True)
class Change:
    """One step of the accepted state.

    :param base_revision: in force before; :param revision: in force after, possibly the same.
    """

    base_revision: int
    revision: int
    changed: tuple[ResourceKey, ...]
    deleted: tuple[ResourceKey, ...]


class ChangeLog:
    """The latest changes and, for every resource, the revision at which it last changed.

    Both are what this node has seen: one that has just started saw everything change at once.
    """

    def __init__(self) -> None:
        """Start before the first change."""
        self._changes: deque[Change] = deque(maxlen=MAX_CHANGES)
        self._since: dict[ResourceKey, int] = {}

    @property
    def since(self) -> Mapping[ResourceKey, int]:
        """The revision at which each resource last changed, as far as this node has seen."""
        return MappingProxyType(self._since)

    def note(self, former: AcceptedState, state: AcceptedState) -> None:
        """Add the step from one state to the next."""
        changed: list[ResourceKey] = []
        deleted: list[ResourceKey] = []
        for number, digest in enumerate(state.bucket_digests):
            if digest == former.bucket_digests[number]:
                continue
            before = {resource.key: resource for resource in former.buckets[number]}
            for resource in state.buckets[number]:
                old = before.pop(resource.key, None)
                if old is None or old.digest != resource.digest:
                    changed.append(resource.key)
            deleted.extend(before)
        revision = state.version.revision
        self._since.update((key, revision) for key in changed)
        for key in deleted:
            del self._since[key]
        step = (tuple(sorted(changed)), tuple(sorted(deleted)))
        self._changes.append(Change(former.version.revision, revision, *step))

    def after_revision(self, revision: int) -> tuple[Change, ...] | None:
        """Return what changed after a revision, ``None`` if the log no longer reaches back.

        Steps that ended at that very revision are included: whoever asks may have missed them.
        """
        if not self._changes or revision < self._changes[0].base_revision:
            return None
        return tuple(change for change in self._changes if change.revision >= revision)
