"""Store revisions and positions for tests, and the values sent to a peer behind a revision."""

from __future__ import annotations

from tinrudder.gateway.store.shared_state import SharedState
from tinrudder.gateway.store.store_revision import NO_REVISION, StoreRevision, TopicPosition
from tinrudder.gateway.store.stored_values import StoredValue, Topic


def at(number: int, epoch: int = 0) -> StoreRevision:
    return StoreRevision(epoch, number)


def position(number: int, epoch: int = 0) -> TopicPosition:
    return TopicPosition(at(number, epoch))


def values_for_peer(
    state: SharedState, after: StoreRevision = NO_REVISION, topic: Topic = Topic.BACKENDS
) -> tuple[StoredValue, ...]:
    """Return the values sent to a peer that knows a topic up to a revision."""
    return state.values_for(topic, TopicPosition(after))
