"""Owns the encoding and merging of the accepted state for replication between nodes."""

from __future__ import annotations

from collections.abc import Sequence

from google.protobuf.message import DecodeError

from tinrudder.cluster.replication.replicated_state import (
    MalformedUpdateError,
    StateHeader,
    StateUpdate,
)
from tinrudder.cluster.wire import configuration_pb2
from tinrudder.node.resources.accepted import (
    BUCKET_COUNT,
    AcceptedResource,
    DocumentVersion,
    ResourceKey,
    replace_buckets,
)
from tinrudder.node.resources.store import ConfigurationStore
from tinrudder.node.resources.validation import (
    MAX_KEY_LENGTH,
    MAX_PROBLEM_LENGTH,
    MAX_RESOURCES,
    MAX_REVISION,
    MAX_SPEC_BYTES,
)


class ReplicatedConfiguration:
    """Adapts a store to :class:`tinrudder.cluster.replication.replicated_state.ReplicatedState`."""

    def __init__(self, store: ConfigurationStore) -> None:
        """Read from ``store`` and merge peers' updates into it."""
        self._store = store

    def header(self) -> StateHeader:
        """Return the revision and the digests of the accepted state."""
        state = self._store.state
        return StateHeader(state.version.revision, state.version.digest, state.digest)

    def bucket_digests(self) -> Sequence[bytes]:
        """Return a digest per bucket."""
        return self._store.state.bucket_digests

    def encode_buckets(self, buckets: Sequence[int]) -> list[bytes]:
        """Return the encoded resources of the given buckets; unknown bucket numbers are ignored."""
        local_buckets = self._store.state.buckets
        return [
            _encode(resource)
            for bucket in buckets
            if bucket < BUCKET_COUNT
            for resource in local_buckets[bucket]
        ]

    def merge(self, update: StateUpdate) -> bool:
        """Merge a peer's state, rebuilt from the local one and the buckets that differ.

        :returns: whether the accepted state changed.
        :raises MalformedUpdateError: if the update breaks a limit, contains resources of other
            buckets than it lists, or yields another digest than it states.
        """
        if len(update.entries) > MAX_RESOURCES or update.header.revision > MAX_REVISION:
            raise MalformedUpdateError("update: too many entries, or revision out of range")
        version = DocumentVersion(update.header.revision, update.header.document_digest)
        received = [_decode(entry) for entry in update.entries]
        if any(number >= BUCKET_COUNT for number in update.buckets) or any(
            resource.bucket not in update.buckets for resource in received
        ):
            raise MalformedUpdateError(
                "update: contains resources of buckets that it does not list, or an unknown bucket"
            )
        state = replace_buckets(self._store.state, version, update.buckets, received)
        if state.digest != update.header.state_digest:
            raise MalformedUpdateError("update: resulting state does not match the stated digest")
        return self._store.merge(state)


def _encode(resource: AcceptedResource) -> bytes:
    return configuration_pb2.ResourceEntry(
        kind=resource.key.kind,
        name=resource.key.name,
        observed_generation=resource.observed_generation,
        accepted_generation=resource.accepted_generation,
        raw_spec=resource.raw_spec,
        problem=resource.problem,
        decided_revision=resource.decided_version.revision,
        decided_digest=resource.decided_version.digest,
    ).SerializeToString()


def _decode(entry: bytes) -> AcceptedResource:
    """Decode a resource from a peer.

    :raises MalformedUpdateError: if it can't be decoded or breaks a limit.
    """
    message = configuration_pb2.ResourceEntry()
    try:
        message.ParseFromString(entry)
    except DecodeError as error:
        raise MalformedUpdateError(f"entry: {error}") from error
    within_limits = (
        len(message.kind) <= MAX_KEY_LENGTH
        and len(message.name) <= MAX_KEY_LENGTH
        and len(message.raw_spec) <= MAX_SPEC_BYTES
        and len(message.problem) <= MAX_PROBLEM_LENGTH
    )
    if not within_limits:
        raise MalformedUpdateError(f"entry {message.kind[:20]} {message.name[:20]}: too large")
    return AcceptedResource(
        ResourceKey(message.kind, message.name),
        message.observed_generation,
        message.accepted_generation,
        message.raw_spec,
        message.problem,
        DocumentVersion(message.decided_revision, message.decided_digest),
    )
