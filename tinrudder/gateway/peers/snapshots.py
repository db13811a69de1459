"""Builds snapshot requests and snapshots from the shared state, and applies received snapshots.

Owns nothing: each function works on the shared state alone.  Gateways that exchange snapshots
converge to the same state, whatever the order of the exchanges.
"""

from __future__ import annotations

from tinrudder.gateway.peers.peer_messages import Digest, Snapshot, SnapshotRequest
from tinrudder.gateway.store.shared_state import SharedState
from tinrudder.gateway.store.store_revision import NO_REVISION, TopicPosition
from tinrudder.gateway.store.stored_values import Reading, StoredValue, Topic


def is_behind(state: SharedState, digest: Digest) -> bool:
    """Return whether a peer's digest shows state that this gateway lacks."""
    return (
        digest.configuration_version > state.configuration_version
        or not state.history(Topic.OPERATOR).covers_position(digest.operator)
        or not state.history(Topic.BACKENDS).covers_position(digest.backends)
    )


def apply_confirmations(state: SharedState, digest: Digest) -> None:
    """Adopt the store's confirmations to a peer if this gateway's state covers its position."""
    _apply_confirmation(state, Topic.OPERATOR, digest.operator, digest.operator_unconfirmed_s)
    _apply_confirmation(state, Topic.BACKENDS, digest.backends, digest.backends_unconfirmed_s)


def snapshot_request(state: SharedState, *, members_wanted: bool) -> SnapshotRequest:
    """Return a request for the state that this gateway lacks."""
    backends = state.history(Topic.BACKENDS).position()
    return SnapshotRequest(
        operator=state.history(Topic.OPERATOR).position(),
        backends=backends if state.backends_read else TopicPosition(),
        members_wanted=members_wanted,
        configuration_version=state.configuration_version,
    )


def snapshot_for(
    state: SharedState, request: SnapshotRequest, knowledge_age_s: float | None
) -> Snapshot:
    """Return the state that a requester may lack; all of it, if it follows another epoch."""
    requester = request.backends
    if requester.revision < state.forgotten_up_to:
        # Removals are forgotten after a while, so an older requester needs the complete list.
        requester = TopicPosition()
    is_same_epoch = requester.revision.epoch == state.revision(Topic.BACKENDS).epoch
    return Snapshot(
        configuration=_newer_configuration(state, request),
        backends=state.values_for(Topic.BACKENDS, requester),
        backends_read=state.backends_read,
        changes_only=is_same_epoch and requester.revision != NO_REVISION,
        evacuations=state.values_for(Topic.OPERATOR, request.operator),
        knowledge_age_s=knowledge_age_s,
        operator_position=state.history(Topic.OPERATOR).position(),
        backends_position=state.history(Topic.BACKENDS).position(),
    )


def apply_snapshot(state: SharedState, snapshot: Snapshot, source: str) -> None:
    """Apply the values of a snapshot that are newer than the shared state.

    :param source: the address of the peer that sent it.
    """
    configuration = () if snapshot.configuration is None else (snapshot.configuration,)
    _apply_operator_values(state, configuration + snapshot.evacuations, snapshot, source)
    _apply_backends(state, snapshot)


def _apply_confirmation(
    state: SharedState, topic: Topic, position: TopicPosition, age_s: float | None
) -> None:
    """Adopt the age of a peer's confirmation if its state is covered and its epoch current."""
    history = state.history(topic)
    is_same_epoch = position.revision.epoch == history.epoch
    if not is_same_epoch or not history.covers(position.revision):
        return
    state.show(topic, position.shown)
    if age_s is not None:
        state.confirm(topic, age_s)


def _newer_configuration(state: SharedState, request: SnapshotRequest) -> StoredValue | None:
    """Return the configuration in force if the requester may not have it."""
    accepted = state.accepted
    if accepted is None:
        return None
    is_newer = accepted.configuration.version > request.configuration_version
    is_later_revision = accepted.value.revision > request.operator.revision
    return accepted.value if is_newer or is_later_revision else None


def _apply_operator_values(
    state: SharedState, values: tuple[StoredValue, ...], snapshot: Snapshot, source: str
) -> None:
    """Apply the operator's settings; replace them all if the snapshot is of a later epoch."""
    history = state.history(Topic.OPERATOR)
    position = snapshot.operator_position
    if position is not None and position.revision.epoch > history.epoch:
        state.apply_complete(Topic.OPERATOR, Reading(values, position.revision), source)
    else:
        state.apply(Topic.OPERATOR, values, source)
    if position is not None:
        history.observe_position(position)


def _apply_backends(state: SharedState, snapshot: Snapshot) -> None:
    """Apply entries of back ends; a complete list also removes the entries that it lacks."""
    position = snapshot.backends_position
    if snapshot.backends_read and not snapshot.changes_only:
        newest = max((value.revision for value in snapshot.backends), default=NO_REVISION)
        reached = newest if position is None else position.revision
        state.apply_complete(Topic.BACKENDS, Reading(snapshot.backends, reached))
    else:
        state.apply(Topic.BACKENDS, snapshot.backends)
    if position is not None and snapshot.backends_read:
        state.history(Topic.BACKENDS).observe_position(position)
        state.show(Topic.BACKENDS, position.shown)
