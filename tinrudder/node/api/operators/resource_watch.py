"""Watching resources: newline-delimited JSON events, resumed by revision, memory bounded.

A watcher holds the snapshot it was last told of and no queue of its own, so a slow one costs
nothing and skips what came and went meanwhile.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable, Iterator
from dataclasses import dataclass

import msgspec

from tinrudder.node.api.operators.operator_authentication import Viewer
from tinrudder.node.api.operators.resource_bodies import (
    EnforcementBody,
    ResourceBody,
    ResourceRenderer,
    enforcement_body,
)
from tinrudder.node.api.operators.resource_visibility import Snapshot, visible_changes, visible_keys
from tinrudder.node.resources.accepted import ResourceKey
from tinrudder.node.resources.status import StatusReporter
from tinrudder.node.resources.store import ConfigurationStore

CHECK_INTERVAL_S = 0.5
CHECKS_PER_BOOKMARK = 20
MAX_WATCHERS = 64
MAX_WATCHERS_PER_TENANT = 4


class WatchEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line of a watch.

    :param type: ``reset`` (forget everything, all resources follow), ``changed``, ``deleted``,
        ``enforcement`` or ``bookmark``.
    :param revision: resume from here; an event may come twice.
    """

    type: str
    revision: int
    resource: ResourceBody | None = None
    kind: str = ""
    name: str = ""
    enforcement: EnforcementBody | None = None


@dataclass(frozen=True, slots=True)
class WatchRequest:
    """What somebody watches: one kind, or all for an empty one, after a revision."""

    viewer: Viewer
    kind: str = ""
    from_revision: int = 0


class ResourceWatch:
    """Serves watchers of one node."""

    def __init__(
        self,
        store: ConfigurationStore,
        reporter: StatusReporter,
        is_stopping: Callable[[], bool],
    ) -> None:
        """End all watches soon after ``is_stopping`` holds."""
        self._store = store
        self._reporter = reporter
        self._is_stopping = is_stopping
        self._watchers: list[Viewer] = []

    def has_room(self, viewer: Viewer) -> bool:
        """Tell whether one more watch of this viewer fits."""
        limit = MAX_WATCHERS if viewer.is_operator else MAX_WATCHERS_PER_TENANT
        return len(self._watchers) < MAX_WATCHERS and self._watchers.count(viewer) < limit

    async def lines(self, request: WatchRequest) -> AsyncIterator[bytes]:
        """Yield events as lines until the node stops or the watcher goes away."""
        self._watchers.append(request.viewer)
        try:
            async for event in self._events(request):
                yield msgspec.json.encode(event) + b"\n"
                # A reset is thousands of events: queries run in between.
                await asyncio.sleep(0)
        finally:
            self._watchers.remove(request.viewer)

    async def _events(self, request: WatchRequest) -> AsyncIterator[WatchEvent]:
        told = self._snapshot()
        enforcement: EnforcementBody | None = None
        for event in self._first_events(request, told):
            yield event
        checks = 0
        while not self._is_stopping():
            now = self._snapshot()
            for event in self._events_between(request, told, now):
                yield event
            told = now
            if request.viewer.is_operator:
                newest = enforcement_body(self._reporter.count().of(now.configuration.revision))
                if newest != enforcement:
                    enforcement = newest
                    yield WatchEvent("enforcement", newest.revision, enforcement=newest)
            if checks % CHECKS_PER_BOOKMARK == 0:
                # Never lower than where the watcher came from: its former node was ahead.
                reached = max(now.configuration.revision, request.from_revision)
                yield WatchEvent("bookmark", reached)
            checks += 1
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _first_events(self, request: WatchRequest, now: Snapshot) -> Iterator[WatchEvent]:
        """Yield what a watcher missed since its revision, or a reset and everything."""
        revision = now.configuration.revision
        if request.from_revision > revision:
            return
        missed = self._store.changes.after_revision(request.from_revision)
        reaches_back = request.from_revision > 0 and missed is not None
        if reaches_back and all(
            change.revision <= request.from_revision for change in missed or ()
        ):
            return
        if not reaches_back or not request.viewer.is_operator:
            # What a tenant could see at an earlier revision is not kept, so it begins anew.
            yield WatchEvent("reset", revision)
            yield from self._changed(request, visible_keys(request.viewer, now), now)
            return
        changed = {key for change in missed or () for key in change.changed}
        deleted = {key for change in missed or () for key in change.deleted}
        yield from _deleted(request, sorted(deleted - now.state.resources.keys()), revision)
        yield from self._changed(request, sorted(changed & now.state.resources.keys()), now)

    def _events_between(
        self, request: WatchRequest, told: Snapshot, now: Snapshot
    ) -> Iterator[WatchEvent]:
        """Yield what changed since a snapshot."""
        if told.state is now.state:
            return
        changes = visible_changes(request.viewer, told, now)
        yield from _deleted(request, changes.deleted, now.configuration.revision)
        yield from self._changed(request, changes.changed, now)

    def _changed(
        self, request: WatchRequest, keys: Iterable[ResourceKey], now: Snapshot
    ) -> Iterator[WatchEvent]:
        revision = now.configuration.revision
        renderer = ResourceRenderer(request.viewer, self._store, self._reporter)
        for key in keys:
            if not request.kind or key.kind == request.kind:
                yield WatchEvent("changed", revision, renderer.body(now.state.resources[key]))

    def _snapshot(self) -> Snapshot:
        return Snapshot(self._store.state, self._store.current)


def _deleted(
    request: WatchRequest, keys: Iterable[ResourceKey], revision: int
) -> Iterator[WatchEvent]:
    for key in keys:
        if not request.kind or key.kind == request.kind:
            yield WatchEvent("deleted", revision, kind=key.kind, name=key.name)
