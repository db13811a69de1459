"""Encodes and decodes messages of the configuration exchange as protobuf, within size limits.

Owns no state.
"""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from dataclasses import dataclass

from google.protobuf.message import DecodeError

from tinrudder.cluster.replication.replicated_state import MalformedUpdateError, StateHeader
from tinrudder.cluster.wire import configuration_pb2

SHORT_DIGEST_BYTES = 8
"""Bytes of a bucket's digest in a request; a collision hides one difference until the next
change."""
MAX_HEADER_DIGEST_BYTES = 64
"""Bytes of the longest digest accepted in a state header."""
MAX_BUCKETS = 4096
"""Largest number of buckets accepted in a request or an answer."""
MAX_CHUNK_BYTES = 4 * 1024 * 1024
"""Bytes to which one chunk may decompress, so that a compressed answer cannot exhaust memory."""
COMPRESSION_LEVEL = 6
"""zlib's default level, set explicitly so that a change of the default changes no bytes."""


@dataclass(frozen=True, slots=True)
class PullRequest:
    """Requests the buckets that differ from the sender's.

    :param bucket_digests: digests of the sender's buckets, truncated to ``SHORT_DIGEST_BYTES``.
    :param state_digest: digest of the state that later chunks must come from; empty for the first.
    :param skip: number of entries that were already received.
    """

    bucket_digests: tuple[bytes, ...]
    state_digest: bytes = b""
    skip: int = 0


@dataclass(frozen=True, slots=True)
class PullAnswer:
    """One chunk of the entries in the buckets that differ.

    :param more: further entries follow.
    :param changed: the state has changed since the first chunk, so the pull must start anew.
    """

    header: StateHeader
    differing: frozenset[int] = frozenset()
    entries: tuple[bytes, ...] = ()
    more: bool = False
    changed: bool = False


def encode_notice(header: StateHeader) -> bytes:
    """Encode a notice."""
    return configuration_pb2.StateNotice(header=_header_message(header)).SerializeToString()


def decode_notice(payload: bytes) -> StateHeader:
    """Decode a notice to the header that it carries.

    :raises MalformedUpdateError: if the bytes are not a valid notice.
    """
    message = configuration_pb2.StateNotice()
    _parse(message, payload)
    return _header(message.header)


def encode_request(request: PullRequest) -> bytes:
    """Encode a request."""
    return configuration_pb2.PullRequest(
        bucket_digests=b"".join(request.bucket_digests),
        state_digest=request.state_digest,
        skip=request.skip,
    ).SerializeToString()


def decode_request(payload: bytes) -> PullRequest:
    """Decode a request.

    :raises MalformedUpdateError: if the bytes are not a valid request.
    """
    message = configuration_pb2.PullRequest()
    _parse(message, payload)
    digest_bytes = message.bucket_digests
    if (
        len(digest_bytes) % SHORT_DIGEST_BYTES
        or len(digest_bytes) > MAX_BUCKETS * SHORT_DIGEST_BYTES
    ):
        raise MalformedUpdateError("bucket_digests: partial last digest, or too many digests")
    starts = range(0, len(digest_bytes), SHORT_DIGEST_BYTES)
    digests = tuple(digest_bytes[start : start + SHORT_DIGEST_BYTES] for start in starts)
    return PullRequest(digests, message.state_digest, message.skip)


def encode_answer(answer: PullAnswer) -> bytes:
    """Encode an answer and compress its entries."""
    chunk = configuration_pb2.EntryChunk(entries=answer.entries).SerializeToString()
    return configuration_pb2.PullAnswer(
        header=_header_message(answer.header),
        differing=_encode_bitmap(answer.differing),
        chunk=zlib.compress(chunk, COMPRESSION_LEVEL),
        more=answer.more,
        changed=answer.changed,
    ).SerializeToString()


def decode_answer(payload: bytes) -> PullAnswer:
    """Decode an answer.

    :raises MalformedUpdateError: if the bytes are not a valid answer, or its chunk decompresses to
        more than ``MAX_CHUNK_BYTES``.
    """
    message = configuration_pb2.PullAnswer()
    _parse(message, payload)
    chunk = configuration_pb2.EntryChunk()
    _parse(chunk, _decompress(message.chunk))
    if len(message.differing) * 8 > MAX_BUCKETS:
        raise MalformedUpdateError("differing: too many buckets")
    return PullAnswer(
        _header(message.header),
        _decode_bitmap(message.differing),
        tuple(chunk.entries),
        message.more,
        message.changed,
    )


def short_digests(digests: Sequence[bytes]) -> tuple[bytes, ...]:
    """Truncate digests for a request; the whole state's digest still reveals a collision."""
    return tuple(digest[:SHORT_DIGEST_BYTES] for digest in digests)


def _decompress(compressed: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(compressed, MAX_CHUNK_BYTES)
    except zlib.error as error:
        raise MalformedUpdateError(f"chunk: {error}") from error
    if not decompressor.eof:
        raise MalformedUpdateError(f"chunk: truncated, or above {MAX_CHUNK_BYTES} bytes")
    return content


def _parse(
    message: configuration_pb2.StateNotice
    | configuration_pb2.PullRequest
    | configuration_pb2.PullAnswer
    | configuration_pb2.EntryChunk,
    payload: bytes,
) -> None:
    try:
        message.ParseFromString(payload)
    except DecodeError as error:
        raise MalformedUpdateError(str(error)) from error


def _header_message(header: StateHeader) -> configuration_pb2.StateHeader:
    return configuration_pb2.StateHeader(
        revision=header.revision,
        document_digest=header.document_digest,
        state_digest=header.state_digest,
    )


def _header(message: configuration_pb2.StateHeader) -> StateHeader:
    longest_digest = max(len(message.document_digest), len(message.state_digest))
    if longest_digest > MAX_HEADER_DIGEST_BYTES:
        raise MalformedUpdateError("header: digest too long")
    return StateHeader(message.revision, message.document_digest, message.state_digest)


def _encode_bitmap(positions: frozenset[int]) -> bytes:
    """Encode positions as a bitmap, lowest bit first.

    >>> _encode_bitmap(frozenset({0, 9})).hex(), sorted(_decode_bitmap(bytes.fromhex("0102")))
    ('0102', [0, 9])
    """
    value = sum(1 << position for position in positions)
    return value.to_bytes((value.bit_length() + 7) // 8, "little")


def _decode_bitmap(content: bytes) -> frozenset[int]:
    value = int.from_bytes(content, "little")
    return frozenset(position for position in range(value.bit_length()) if value >> position & 1)
