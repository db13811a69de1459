"""One pull of a peer's state: only the buckets that differ, in bounded chunks.

Owns nothing beyond the pull.  Relies on the state to join what arrived, and on digests to notice
that either side changed meanwhile.
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
"""Bytes of entries in one answer before compression, so that none holds up others for long.
Chosen, not measured."""
MAX_CHUNKS = 512
"""Chunks of one pull: a peer cannot keep a node fetching for ever."""
MAX_RESTARTS = 3
"""Times that a pull begins again because a state changed under it; then the next notice tries."""
REQUEST_TIMEOUT_S = 2.0
"""Seconds for one chunk.  Chosen, not measured: two thousand times the way between zones."""


class StateChangedError(Exception):
    """Either side's state changed during the pull, so that its chunks don't fit together."""


async def pull_state(
    state: ReplicatedState, transport: PeerTransport, peer: PeerAddress
) -> PullAnswer:
    """Fetch what differs at ``peer`` and join it; return the last answer.

    :raises MalformedUpdateError: the peer's answers make no state.
    :raises StateChangedError: states kept changing.
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
    raise StateChangedError(f"{peer}: states kept changing")


async def _fetch_chunks(
    state: ReplicatedState, transport: PeerTransport, peer: PeerAddress
) -> tuple[PullAnswer, list[bytes]]:
    """Return the last answer and the entries of all."""
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
    raise MalformedUpdateError(f"{peer}: more than {MAX_CHUNKS} chunks")


def answer_pull(state: ReplicatedState, payload: bytes) -> bytes:
    """Return the answer to a peer's request.

    :raises MalformedUpdateError: the payload is no request.
    """
    request = decode_request(payload)
    header = state.header()
    if request.state_digest and request.state_digest != header.state_digest:
        return encode_answer(PullAnswer(header, changed=True))
    held = short_digests(state.bucket_digests())
    theirs = request.bucket_digests
    differing = frozenset(
        number
        for number, digest in enumerate(held)
        if number >= len(theirs) or theirs[number] != digest
    )
    entries = state.encode_buckets(sorted(differing))[request.skip :]
    chunk = _first_chunk(entries)
    more = len(chunk) < len(entries)
    return encode_answer(PullAnswer(header, differing, chunk, more))


def _first_chunk(entries: list[bytes]) -> tuple[bytes, ...]:
    """Return the entries that fit one chunk; one that is larger travels alone."""
    size = 0
    for count, entry in enumerate(entries):
        size += len(entry)
        if count and size > CHUNK_BYTES:
            return tuple(entries[:count])
    return tuple(entries)
