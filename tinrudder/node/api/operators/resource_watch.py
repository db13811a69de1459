"""Owns resource watches: newline-delimited JSON events that clients can resume by revision.

A watch keeps the last snapshot it sent and no event queue, so a slow client accumulates no
events.  It skips states that were replaced before its next comparison.
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
"""Seconds between two comparisons with the store."""
CHECKS_PER_BOOKMARK = 20
"""Comparisons per bookmark event: one event in 10 s."""
MAX_WATCHERS = 64
"""Open watches per node."""
MAX_WATCHERS_PER_TENANT = 4
"""Open watches per node for one tenant."""


class WatchEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line of a watch.

    :param type: ``reset`` (the client discards its copy; all resources follow), ``changed``,
        ``deleted``, ``enforcement`` or ``bookmark``.
    :param revision: pass it as ``from_revision`` to resume; events may be repeated.
    """

    type: str
    revision: int
    resource: ResourceBody | None = None
    kind: str = ""
    name: str = ""
    enforcement: EnforcementBody | None = None


@dataclass(frozen=True, slots=True)
class WatchRequest:
    """Parameters of a watch.

    :param kind: kind of the resources to watch; empty for all.
    :param from_revision: last revision that the client received, 0 for a new watch.
    """

    viewer: Viewer
    kind: str = ""
    from_revision: int = 0


class ResourceWatch:
    """Serves the watches of one node and limits their number."""

    def __init__(
        self,
        store: ConfigurationStore,
        reporter: StatusReporter,
        is_stopping: Callable[[], bool],
    ) -> None:
        """Watch ``store``; watches end at their next check once ``is_stopping()`` is true."""
        self._store = store
        self._reporter = reporter
        self._is_stopping = is_stopping
        self._watchers: list[Viewer] = []

    def can_open(self, viewer: Viewer) -> bool:
        """Return whether the viewer may open one more watch."""
        limit = MAX_WATCHERS if viewer.is_operator else MAX_WATCHERS_PER_TENANT
        return len(self._watchers) < MAX_WATCHERS and self._watchers.count(viewer) < limit

    async def lines(self, request: WatchRequest) -> AsyncIterator[bytes]:
        """Yield events as lines until the node stops or the client disconnects."""
        self._watchers.append(request.viewer)
        try:
            async for event in self._events(request):
                yield msgspec.json.encode(event) + b"\n"
                # A reset can be thousands of events; let queries run between them.
                await asyncio.sleep(0)
        finally:
            self._watchers.remove(request.viewer)

    async def _events(self, request: WatchRequest) -> AsyncIterator[WatchEvent]:
        last_sent = self._snapshot()
        enforcement: EnforcementBody | None = None
        for event in self._catch_up_events(request, last_sent):
            yield event
        checks = 0
        while not self._is_stopping():
            current = self._snapshot()
            for event in self._events_between(request, last_sent, current):
                yield event
            last_sent = current
            if request.viewer.is_operator:
                newest = enforcement_body(self._reporter.count().of(current.configuration.revision))
                if newest != enforcement:
                    enforcement = newest
                    yield WatchEvent("enforcement", newest.revision, enforcement=newest)
            if checks % CHECKS_PER_BOOKMARK == 0:
                # Not below the client's revision: the node that it watched before may be ahead.
                reached = max(current.configuration.revision, request.from_revision)
                yield WatchEvent("bookmark", reached)
            checks += 1
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _catch_up_events(self, request: WatchRequest, current: Snapshot) -> Iterator[WatchEvent]:
        """Yield the changes since the client's revision, or a reset and all visible resources.

        Yields nothing if the client has the newest state or comes from a node that is ahead.
        """
        revision = current.configuration.revision
        if request.from_revision > revision:
            return
        missed = self._store.changes.after_revision(request.from_revision)
        log_covers_revision = request.from_revision > 0 and missed is not None
        if log_covers_revision and all(
            change.revision <= request.from_revision for change in missed or ()
        ):
            return
        if not log_covers_revision or not request.viewer.is_operator:
            # Past visibility is not kept, so a tenant starts again with all its resources.
            yield WatchEvent("reset", revision)
            yield from self._changed(request, visible_keys(request.viewer, current), current)
            return
        changed = {key for change in missed or () for key in change.changed}
        deleted = {key for change in missed or () for key in change.deleted}
        yield from _deleted(request, sorted(deleted - current.state.resources.keys()), revision)
        yield from self._changed(request, sorted(changed & current.state.resources.keys()), current)

    def _events_between(
        self, request: WatchRequest, last_sent: Snapshot, current: Snapshot
    ) -> Iterator[WatchEvent]:
        """Yield the visible changes between two snapshots."""
        if last_sent.state is current.state:
            return
        changes = visible_changes(request.viewer, last_sent, current)
        yield from _deleted(request, changes.deleted, current.configuration.revision)
        yield from self._changed(request, changes.changed, current)

    def _changed(
        self, request: WatchRequest, keys: Iterable[ResourceKey], current: Snapshot
    ) -> Iterator[WatchEvent]:
        revision = current.configuration.revision
        renderer = ResourceRenderer(request.viewer, self._store, self._reporter)
        for key in keys:
            if not request.kind or key.kind == request.kind:
                yield WatchEvent("changed", revision, renderer.body(current.state.resources[key]))

    def _snapshot(self) -> Snapshot:
        return Snapshot(self._store.state, self._store.current)


def _deleted(
    request: WatchRequest, keys: Iterable[ResourceKey], revision: int
) -> Iterator[WatchEvent]:
    for key in keys:
        if not request.kind or key.kind == request.kind:
            yield WatchEvent("deleted", revision, kind=key.kind, name=key.name)
