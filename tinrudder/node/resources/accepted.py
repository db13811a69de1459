"""Owns the accepted state: the resources in force, as a state that nodes can merge.

The state depends only on the *set* of documents that were seen, not on their order:

- The document with the highest :class:`DocumentVersion` determines which resources exist, their
  newest generation and whether it is valid.
- A resource whose newest generation is refused keeps its last good specification, that of the
  highest-versioned document in which it was valid, unless a document of a higher version than
  that did not contain the resource.

The join of two states is therefore commutative, associative and idempotent, and a node that
missed documents converges to the same state as one that received all of them.
"""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from tinrudder.node.resources.model import SPEC_TYPES, AnySpec

DIGEST_BYTES = 16
"""Length of a BLAKE2b digest in bytes."""
BUCKET_COUNT = 256
"""One bucket per value of a digest's first byte."""


@dataclass(frozen=True, slots=True, order=True)
class DocumentVersion:
    """Total order of documents: by revision, then by digest if a revision was reused.

    >>> DocumentVersion(2, b"a") < DocumentVersion(2, b"b") < DocumentVersion(3, b"a")
    True
    """

    revision: int = 0
    digest: bytes = b""


NO_VERSION = DocumentVersion()


class ResourceKey(NamedTuple):
    """Kind and name of a resource; ``kind`` may be one that this release doesn't know.

    A named tuple, because its hash and comparison run in C: each change hashes every key several
    times.
    """

    kind: str
    name: str


@dataclass(frozen=True)
class AcceptedResource:
    """A resource: the specification in force and the status of the newest generation.

    :param observed_generation: the newest generation seen, accepted or not.
    :param accepted_generation: the generation of the specification in force, 0 if there is none.
    :param raw_spec: the specification in force as JSON, empty if there is none.
    :param problem: field and broken rule of a refused newer generation, else empty.
    :param decided_version: only set if the newest generation is refused: version of the newest
        document in which the resource was valid or absent, which determines the specification
        in force.
    """

    key: ResourceKey
    observed_generation: int
    accepted_generation: int
    raw_spec: bytes
    problem: str = ""
    decided_version: DocumentVersion = NO_VERSION

    @functools.cached_property
    def spec(self) -> AnySpec | None:
        """The specification in force; ``None`` if there is none or this release can't decode it."""
        spec_type = SPEC_TYPES.get(self.key.kind)  # type: ignore[call-overload]
        if not self.raw_spec or spec_type is None:
            return None
        try:
            spec: AnySpec = msgspec.json.decode(self.raw_spec, type=spec_type)
        except msgspec.MsgspecError:
            return None
        return spec

    @functools.cached_property
    def bucket(self) -> int:
        """Number of the resource's bucket, the same on every node."""
        return digest_of(f"{self.key.kind}/{self.key.name}".encode())[0]

    @functools.cached_property
    def digest(self) -> bytes:
        """Digest of all fields."""
        parts = (
            self.key.kind.encode(),
            self.key.name.encode(),
            self.observed_generation,
            self.accepted_generation,
            self.raw_spec,
            self.problem.encode(),
            self.decided_version.revision,
            self.decided_version.digest,
        )
        return digest_of(msgspec.msgpack.encode(parts))


@dataclass(frozen=True)
class AcceptedState:
    """All resources in the newest document, and that document's version."""

    version: DocumentVersion
    resources: Mapping[ResourceKey, AcceptedResource]

    @functools.cached_property
    def buckets(self) -> tuple[tuple[AcceptedResource, ...], ...]:
        """Resources partitioned by key into ``BUCKET_COUNT`` buckets, sorted within each."""
        buckets: list[list[AcceptedResource]] = [[] for _ in range(BUCKET_COUNT)]
        for key in sorted(self.resources):
            resource = self.resources[key]
            buckets[resource.bucket].append(resource)
        return tuple(tuple(bucket) for bucket in buckets)

    @functools.cached_property
    def bucket_digests(self) -> tuple[bytes, ...]:
        """A digest per bucket; equal digests mean equal content."""
        return tuple(map(_bucket_digest, self.buckets))

    @functools.cached_property
    def digest(self) -> bytes:
        """Digest of the version and all resources."""
        revision = self.version.revision.to_bytes(8, "big")
        return digest_of(revision + self.version.digest + b"".join(self.bucket_digests))


EMPTY_STATE = AcceptedState(NO_VERSION, {})


def digest_of(content: bytes) -> bytes:
    """Return the BLAKE2b digest of ``content``."""
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()


def _bucket_digest(bucket: tuple[AcceptedResource, ...]) -> bytes:
    return digest_of(b"".join(resource.digest for resource in bucket))


def make_state(version: DocumentVersion, resources: Iterable[AcceptedResource]) -> AcceptedState:
    """Return a state; the keys of ``resources`` must be distinct."""
    return AcceptedState(version, {resource.key: resource for resource in resources})


def replace_buckets(
    previous: AcceptedState,
    version: DocumentVersion,
    numbers: frozenset[int],
    resources: Iterable[AcceptedResource],
) -> AcceptedState:
    """Return ``previous`` with the content of the numbered buckets replaced by ``resources``.

    Each resource must belong to one of these buckets.  Digests and order of the other buckets are
    reused.
    """
    replaced: dict[int, dict[ResourceKey, AcceptedResource]] = {number: {} for number in numbers}
    for resource in resources:
        replaced[resource.bucket][resource.key] = resource
    joined = dict(previous.resources)
    buckets = list(previous.buckets)
    digests = list(previous.bucket_digests)
    for number in sorted(replaced):
        for resource in previous.buckets[number]:
            del joined[resource.key]
        joined.update(replaced[number])
        buckets[number] = tuple(replaced[number][key] for key in sorted(replaced[number]))
        digests[number] = _bucket_digest(buckets[number])
    state = AcceptedState(version, joined)
    # Presets the cached properties, which would otherwise process all resources.
    state.__dict__.update(buckets=tuple(buckets), bucket_digests=tuple(digests))
    return state


def join_states(first: AcceptedState, second: AcceptedState) -> AcceptedState:
    """Return the state of a node that has seen the documents of both states.

    Returns one of the arguments itself if the other adds nothing to it.
    """
    if first.version == second.version:
        return _join_equal_versions(first, second)
    older, newer = sorted((first, second), key=lambda state: state.version)
    joined = {key: _keep_last_good(newer.resources[key], older) for key in newer.resources}
    if all(joined[key] is newer.resources[key] for key in joined):
        return newer
    return AcceptedState(newer.version, joined)


def _join_equal_versions(first: AcceptedState, second: AcceptedState) -> AcceptedState:
    """Join two states of the same document with different last good specifications."""
    if first is second or first.digest == second.digest:
        return first
    keys = first.resources.keys() | second.resources.keys()
    joined = {}
    for key in sorted(keys):
        entries = (first.resources.get(key), second.resources.get(key))
        joined[key] = max((r for r in entries if r is not None), key=_precedence)
    return AcceptedState(first.version, joined)


def _precedence(resource: AcceptedResource) -> tuple[bool, DocumentVersion, bytes]:
    """Sort key for entries of one resource at one document version; the digest breaks ties.

    During a rolling upgrade, two releases may validate the same document differently: the entry
    of the release that accepts the newest generation wins.
    """
    return (not resource.problem, resource.decided_version, resource.digest)


def _keep_last_good(newer: AcceptedResource, older_state: AcceptedState) -> AcceptedResource:
    """Give a refused resource the last good specification of an older state, if more recent."""
    if not newer.problem:
        return newer
    older = older_state.resources.get(newer.key)
    decided_version = older.decided_version if older and older.problem else older_state.version
    if decided_version <= newer.decided_version:
        return newer
    return AcceptedResource(
        newer.key,
        newer.observed_generation,
        older.accepted_generation if older else 0,
        older.raw_spec if older else b"",
        newer.problem,
        decided_version,
    )
