"""Interface to a keyed state of which every node holds a full copy.

Owns no state: defines the exchanged values and the protocol that the state's owner implements.  The
exchange treats entries as opaque bytes; their owner encodes, checks and joins them.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol


class MalformedUpdateError(Exception):
    """A peer's update cannot be decoded, or its digest does not match its header."""


@dataclass(frozen=True, slots=True)
class StateHeader:
    """Identifies a state.

    :param revision: revision of the document that the state is based on.
    :param document_digest: digest of that document; orders documents of equal revision.
    :param state_digest: digest of the whole content; equal digests mean equal states.
    """

    revision: int
    document_digest: bytes
    state_digest: bytes

    @property
    def document(self) -> tuple[int, bytes]:
        """Return the key by which states are ordered."""
        return (self.revision, self.document_digest)


@dataclass(frozen=True, slots=True)
class StateUpdate:
    """A peer's content of the buckets that differ from ours.

    :param entries: every entry of those buckets, encoded.
    """

    header: StateHeader
    buckets: frozenset[int]
    entries: tuple[bytes, ...]


class ReplicatedState(Protocol):
    """Implemented by the owner of the state."""

    def header(self) -> StateHeader:
        """Return the header of the current state."""

    def bucket_digests(self) -> Sequence[bytes]:
        """Return one digest per bucket; the number of buckets is equal on every node."""

    def encode_buckets(self, buckets: Sequence[int]) -> list[bytes]:
        """Return all entries of ``buckets``, encoded, in an order that only content determines."""

    def merge(self, update: StateUpdate) -> bool:
        """Join a peer's update into this state; return whether this state changed.

        :raises MalformedUpdateError: if the update is invalid; this state is then unchanged.
        """
