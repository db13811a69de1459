"""Pulls the buckets in which a peer's state differs, in bounded chunks, and answers such pulls.

Owns the progress of one pull.  Relies on the state to join the entries, and on digests to detect
that either side changed during the pull.
"""

from __future__ import annotations

from tinrudder.cluster.replication.replicated_state import (
    MalformedUpdateError,
    ReplicatedState,
    StateUpdate,
)
from tinrudder.cluster.wire.configuration_codec import (
    PullAnswer,
    PullRequest,
    decode_answer,
    decode_request,
    encode_answer,
    encode_request,
    short_digests,
)
from tinrudder.peers import PeerAddress, PeerTransport

CHUNK_BYTES = 256 * 1024
"""Bytes of entries in one answer before compression, so that no answer delays others for long."""
MAX_CHUNKS = 512
"""Largest number of chunks in one pull, so that a peer cannot keep a node fetching forever."""
MAX_RESTARTS = 3
"""Attempts at one pull, which starts over if a state changes meanwhile.  After the last one, the
next notice causes a new pull."""
REQUEST_TIMEOUT_S = 2.0
"""Seconds to wait for one chunk: two thousand times the one-way latency between zones."""


class StateChangedError(Exception):
    """Either state changed during every attempt of a pull, so that its chunks are inconsistent."""


async def pull_state(
    state: ReplicatedState, transport: PeerTransport, peer: PeerAddress
) -> PullAnswer:
    """Fetch the buckets that differ at ``peer``, join them, and return the last answer.

    :raises MalformedUpdateError: if the peer's answers are not a valid update.
    :raises StateChangedError: if a state changed during every attempt.
    :raises PeerNotSentError, PeerLostError: as the transport does.
    """
    for _ in range(MAX_RESTARTS):
        before = state.header()
        answer, entries = await _fetch_chunks(state, transport, peer)
        if answer.changed or state.header() != before:
            continue
        if answer.header != before:
            state.merge(StateUpdate(answer.header, answer.differing, tuple(entries)))
        return answer
    raise StateChangedError(f"{peer}: a state changed during each of {MAX_RESTARTS} pulls")


async def _fetch_chunks(
    state: ReplicatedState, transport: PeerTransport, peer: PeerAddress
) -> tuple[PullAnswer, list[bytes]]:
    """Return the last answer and the entries of all answers."""
    digests = short_digests(state.bucket_digests())
    entries: list[bytes] = []
    request = PullRequest(digests)
    for _ in range(MAX_CHUNKS):
        content = await transport.request(peer, encode_request(request), REQUEST_TIMEOUT_S)
        answer = decode_answer(content)
        entries.extend(answer.entries)
        if answer.changed or not answer.more:
            return answer, entries
        request = PullRequest(digests, answer.header.state_digest, len(entries))
    raise MalformedUpdateError(f"{peer}: pull exceeds {MAX_CHUNKS} chunks")


def answer_pull(state: ReplicatedState, payload: bytes) -> bytes:
    """Return the encoded answer to a peer's pull request.

    :raises MalformedUpdateError: if the payload is not a valid request.
    """
    request = decode_request(payload)
    header = state.header()
    if request.state_digest and request.state_digest != header.state_digest:
        return encode_answer(PullAnswer(header, changed=True))
    own_digests = short_digests(state.bucket_digests())
    peer_digests = request.bucket_digests
    differing = frozenset(
        number
        for number, digest in enumerate(own_digests)
        if number >= len(peer_digests) or peer_digests[number] != digest
    )
    entries = state.encode_buckets(sorted(differing))[request.skip :]
    chunk = _first_chunk(entries)
    more = len(chunk) < len(entries)
    return encode_answer(PullAnswer(header, differing, chunk, more))


def _first_chunk(entries: list[bytes]) -> tuple[bytes, ...]:
    """Return the leading entries that fit into one chunk; an oversized entry is sent alone."""
    size = 0
    for count, entry in enumerate(entries):
        size += len(entry)
        if count and size > CHUNK_BYTES:
            return tuple(entries[:count])
    return tuple(entries)
