"""A keyed state that every node holds whole, as the exchange between nodes sees it.

The exchange does not know what the entries mean: their owner encodes, checks and joins them.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol


class MalformedUpdateError(Exception):
    """A peer's update can't be decoded, or does not have the digest it states."""


@dataclass(frozen=True, slots=True)
class StateHeader:
    """Identifies a state.

    :param revision: of the document it follows; :param document_digest: settles ties.
    :param state_digest: over the whole content; equal digests mean equal states.
    """

    revision: int
    document_digest: bytes
    state_digest: bytes

    @property
    def document(self) -> tuple[int, bytes]:
        """What states are ordered by."""
        return (self.revision, self.document_digest)


@dataclass(frozen=True, slots=True)
class StateUpdate:
    """What a peer holds in the buckets in which it differs from us.

    :param entries: every entry of those buckets, encoded.
    """

    header: StateHeader
    buckets: frozenset[int]
    entries: tuple[bytes, ...]


class ReplicatedState(Protocol):
    """The owner of the state."""

    def header(self) -> StateHeader:
        """Return what is held now."""

    def bucket_digests(self) -> Sequence[bytes]:
        """Return one digest per bucket, the same number on every node."""

    def encode_buckets(self, buckets: Sequence[int]) -> list[bytes]:
        """Return all entries of some buckets, encoded, in an order that depends on nothing else."""

    def merge(self, update: StateUpdate) -> bool:
        """Join a peer's state into ours; return whether ours changed.

        :raises MalformedUpdateError: the update is unusable, ours stays as it was.
        """
