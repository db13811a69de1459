"""Cost of one configuration change at a node, at the planned 4,620 back ends.

``python -m bench.configuration_cost`` prints one JSON object: the processor time to apply a first
document, a second document with one change, and the same change as a delta from a peer; and the
encoded sizes of that delta's request and answer.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from bench.state_slopes import build_document
from tinrudder.cluster.replication.replicated_state import StateUpdate
from tinrudder.cluster.replication.state_pull import answer_pull
from tinrudder.cluster.wire.configuration_codec import (
    PullAnswer,
    PullRequest,
    decode_answer,
    encode_request,
    short_digests,
)
from tinrudder.node.resources.exchange import ReplicatedConfiguration
from tinrudder.node.resources.store import ConfigurationStore

SERVICES = 35
"""Services of 132 back ends each."""
CHANGES = 5


@dataclass(frozen=True, slots=True)
class ConfigurationCost:
    """Processor times in milliseconds and sizes in bytes.

    Times of changes are medians over ``CHANGES``."""

    resources: int
    first_document_ms: float
    changed_document_ms: float
    delta_ms: float
    request_bytes: int
    answer_bytes: int
    whole_state_bytes: int


def measure() -> ConfigurationCost:
    """Apply changes at one node and replicate each to another node as a delta."""
    reader, follower = ConfigurationStore(), ConfigurationStore()
    first = build_document(SERVICES, 1, 5)
    first_ms = _processor_ms(lambda: reader.merge_document(first))
    follower_state, reader_state = (
        ReplicatedConfiguration(follower),
        ReplicatedConfiguration(reader),
    )
    follower.merge_document(first)
    document_ms, delta_ms, request, answer = [], [], b"", b""
    for revision in range(2, 2 + CHANGES):
        changed = build_document(SERVICES, revision, 4 + revision)
        document_ms.append(_processor_ms(lambda document=changed: reader.merge_document(document)))  # type: ignore[misc]
        request = encode_request(PullRequest(short_digests(follower_state.bucket_digests())))
        answer = answer_pull(reader_state, request)
        update = _update(decode_answer(answer))
        delta_ms.append(_processor_ms(lambda update=update: follower_state.merge(update)))  # type: ignore[misc]
    return ConfigurationCost(
        len(reader.state.resources),
        round(first_ms, 1),
        round(sorted(document_ms)[CHANGES // 2], 1),
        round(sorted(delta_ms)[CHANGES // 2], 1),
        len(request),
        len(answer),
        _whole_state_bytes(reader_state),
    )


def _whole_state_bytes(state: ReplicatedConfiguration) -> int:
    """Return the bytes that an empty node receives for the whole state, over all chunks."""
    received, entries, more = 0, 0, True
    while more:
        digest = state.header().state_digest if entries else b""
        content = answer_pull(state, encode_request(PullRequest((), digest, entries)))
        answer = decode_answer(content)
        received += len(content)
        entries += len(answer.entries)
        more = answer.more
    return received


def _update(answer: PullAnswer) -> StateUpdate:
    return StateUpdate(answer.header, answer.differing, answer.entries)


def _processor_ms(call: Callable[[], object]) -> float:
    started = time.process_time()
    call()
    return (time.process_time() - started) * 1000


def main() -> int:
    """Measure and print the result."""
    print(msgspec.json.encode(measure()).decode())
    return 0


if __name__ == "__main__":
    sys.exit(main())
