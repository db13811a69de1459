"""What a gateway asks a peer for, tells one that asks, and takes from one that answered.

Owns nothing: each function works on the shared state alone.  However many gateways tell each other
what they know, in whatever order, all know the same afterwards.
"""

from __future__ import annotations

from tinrudder.gateway.peers.peer_messages import Digest, Snapshot, SnapshotRequest
from tinrudder.gateway.store.shared_state import SharedState
from tinrudder.gateway.store.store_revision import NO_REVISION, TopicPosition
from tinrudder.gateway.store.stored_values import Reading, StoredValue, Topic


def is_behind(state: SharedState, digest: Digest) -> bool:
    """Tell whether a peer knows something that was not heard of here."""
    return (
        digest.configuration_version > state.configuration_version
        or not state.history(Topic.OPERATOR).covers_position(digest.operator)
        or not state.history(Topic.BACKENDS).covers_position(digest.backends)
    )


def take_confirmations(state: SharedState, digest: Digest) -> None:
    """Learn that the store had nothing newer, where this gateway knows as much."""
    _take_confirmation(state, Topic.OPERATOR, digest.operator, digest.operator_unconfirmed_s)
    _take_confirmation(state, Topic.BACKENDS, digest.backends, digest.backends_unconfirmed_s)


def snapshot_request(state: SharedState, *, members_wanted: bool) -> SnapshotRequest:
    """Return what to ask a peer for."""
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
    """Return what an asker may not know; everything, where it follows another epoch."""
    asker = request.backends
    if asker.revision < state.forgotten_up_to:
        # Removals are forgotten after a while: what is older can be told only as a whole.
        asker = TopicPosition()
    is_same_epoch = asker.revision.epoch == state.revision(Topic.BACKENDS).epoch
    return Snapshot(
        configuration=_newer_configuration(state, request),
        backends=state.values_for(Topic.BACKENDS, asker),
        backends_read=state.backends_read,
        changes_only=is_same_epoch and asker.revision != NO_REVISION,
        evacuations=state.values_for(Topic.OPERATOR, request.operator),
        knowledge_age_s=knowledge_age_s,
        operator_position=state.history(Topic.OPERATOR).position(),
        backends_position=state.history(Topic.BACKENDS).position(),
    )


def take_snapshot(state: SharedState, snapshot: Snapshot, source: str) -> None:
    """Take what is newer.

    :param source: the address of the peer that told it.
    """
    configuration = () if snapshot.configuration is None else (snapshot.configuration,)
    _take_operators_values(state, configuration + snapshot.evacuations, snapshot, source)
    _take_backends(state, snapshot)


def _take_confirmation(
    state: SharedState, topic: Topic, position: TopicPosition, age_s: float | None
) -> None:
    """Take the age of a peer's word, unless it knows more or follows an epoch that is over."""
    history = state.history(topic)
    is_same_epoch = position.revision.epoch == history.epoch
    if age_s is not None and is_same_epoch and history.covers(position.revision):
        state.confirm(topic, age_s)


def _newer_configuration(state: SharedState, request: SnapshotRequest) -> StoredValue | None:
    """Return the configuration in force if the asker may not know it."""
    accepted = state.accepted
    if accepted is None:
        return None
    is_newer = accepted.configuration.version > request.configuration_version
    has_moved = accepted.value.revision > request.operator.revision
    return accepted.value if is_newer or has_moved else None


def _take_operators_values(
    state: SharedState, values: tuple[StoredValue, ...], snapshot: Snapshot, source: str
) -> None:
    """Take what the operator asks for; all of it, if it is of a later epoch."""
    history = state.history(Topic.OPERATOR)
    position = snapshot.operator_position
    if position is not None and position.revision.epoch > history.epoch:
        state.apply_complete(Topic.OPERATOR, Reading(values, position.revision), source)
    else:
        state.apply(Topic.OPERATOR, values, source)
    if position is not None:
        history.hear_position(position)


def _take_backends(state: SharedState, snapshot: Snapshot) -> None:
    """Take entries of back ends; what a whole list lacks is gone."""
    position = snapshot.backends_position
    if snapshot.backends_read and not snapshot.changes_only:
        newest = max((value.revision for value in snapshot.backends), default=NO_REVISION)
        reached = newest if position is None else position.revision
        state.apply_complete(Topic.BACKENDS, Reading(snapshot.backends, reached))
    else:
        state.apply(Topic.BACKENDS, snapshot.backends)
    if position is not None and snapshot.backends_read:
        state.history(Topic.BACKENDS).hear_position(position)
