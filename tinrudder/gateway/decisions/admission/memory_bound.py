"""Is there memory for one more request?

Covers load that is not visible in any queue: clients that read slowly or not at all, large bodies,
answers that wait to be merged. A process that exceeds its memory limit is killed together with all
requests it has admitted, so less urgent requests are refused before that.

Inputs: the memory of the process (MB, from the settings), the number of priorities in use that are
more urgent than the request's, and for a back end its slots, its callers and the largest body
(bytes).

Answer: the bytes that may be buffered for others, the fill level from which a request is refused (0
to 1), and when to retry (seconds).

Owns: nothing; the account is kept by gateway/clients/memory_account.py, updated at every request
for clients and back ends, and each second for peers.

Shown by: metrics ``tinrudder_gateway_memory_refused``, ``tinrudder_gateway_clients_ended_unread``
and ``tinrudder_gateway_reading_paused``.

When an input is missing or old: without a configured memory size there is no bound.
"""

from __future__ import annotations

import math

BYTES_PER_MB = 1_000_000
"""Bytes in a megabyte, the unit of the memory setting."""
IDLE_PROCESS_BYTES = 44 * BYTES_PER_MB
"""Resident memory of a gateway that buffers nothing, bytes: peaks were 38.9 MB idle with 1,019 back
ends known and 42.3 MB after 250 requests; this adds a small reserve."""
USABLE_SHARE = 0.6
"""Fraction of the remaining memory that the account may use. A body is briefly copied each time it
is joined, merged, encoded or queued for a socket, and the allocator does not return all freed
memory: 43 MB accounted became 51 MB resident."""
MIN_ACCOUNT_BYTES = 8 * BYTES_PER_MB
"""Smallest account, regardless of the configured memory, bytes: the configured figure may mean
something else, and a gateway that refuses every request is useless. Has room for thirty of the
largest bodies."""
URGENT_FILL = 0.95
"""Fill level, 0 to 1, from which the most urgent requests are refused. Leaves room for the growth
of requests in progress."""
FILL_STEP = 0.1
"""How much lower this fill level is for each more urgent priority: reserves a tenth of the
account."""
READ_PAUSE_FILL = 0.65
"""Fill level from which request bodies are no longer read, and the lowest level at which any
request is refused. The requests in progress on a gateway at its normal load need a third of
that."""
ANSWERS_SHARE = 0.25
"""Fraction of the account that answers being received may take together: servers that send without
end must not use the memory that requests need, whose refusal begins at :data:`READ_PAUSE_FILL`."""
ANSWER_GROWTH = 8.0
"""Limit of one answer, as a multiple of the room that answers leave.  A lone answer may take eight
ninths of their share, and the limit falls as more arrive, so that there is room for a small one
beside any number of endless ones."""
MIN_ANSWER_BYTES = 64 * 1024
"""Size that any answer may reach, bytes: that of the largest head, and above all usual bodies."""
RETRY_AFTER_S = 0.3
"""Retry delay, seconds: most requests in progress end within this time, and it is within a third of
most deadlines seen, 0.8 to 8 s."""
RETRY_AFTER_STEP_S = 0.1
"""Additional retry delay for each more urgent priority, seconds: the more urgent ones are served
first."""
SMALL_BODY_BYTES = 16 * 1024
"""Bodies up to this size are not counted against a back end's memory, bytes; equals the limit for a
request's head."""
QUEUED_BODIES_PER_SLOT = 1
"""Whole bodies that may be in flight to a back end per slot, in addition to the one being
processed: the next one is already there when a slot becomes free."""


def account_bytes(memory_mb: float | None) -> float:
    """Return how many bytes may be buffered for others in a process with this much memory.

    >>> account_bytes(300), account_bytes(None)
    (153600000.0, inf)
    """
    if memory_mb is None:
        return math.inf
    usable = (memory_mb * BYTES_PER_MB - IDLE_PROCESS_BYTES) * USABLE_SHARE
    return max(MIN_ACCOUNT_BYTES, usable)


def largest_answer_bytes(account: float, receiving: float) -> float:
    """Return the size that an answer may reach while it is received.

    :param receiving: bytes of all answers being received, this one included.

    >>> largest_answer_bytes(72_000_000, 16_000_000), largest_answer_bytes(72_000_000, 18_000_000)
    (16000000.0, 65536)
    """
    room = account * ANSWERS_SHARE - receiving
    return max(MIN_ANSWER_BYTES, room * ANSWER_GROWTH)


def refusal_fill(priority_steps: int) -> float:
    """Return the fill level of the account from which a request is refused.

    :param priority_steps: number of priorities in use that are more urgent than the request's.

    >>> [round(refusal_fill(steps), 2) for steps in (0, 1, 2, 9)]
    [0.95, 0.85, 0.75, 0.65]
    """
    return max(READ_PAUSE_FILL, URGENT_FILL - FILL_STEP * priority_steps)


def retry_after_s(priority_steps: int) -> float:
    """Return after how many seconds a request refused for memory should be retried."""
    return RETRY_AFTER_S + RETRY_AFTER_STEP_S * priority_steps


def large_body_bytes(body_bytes: int) -> int:
    """Return the size of a body if it counts as large, else 0."""
    return body_bytes if body_bytes > SMALL_BODY_BYTES else 0


def max_body_bytes_in_flight(slots: int, callers: int, largest_body: int) -> int:
    """Return how many bytes of large bodies one gateway may have in flight to one back end.

    All gateways together stay within what the back end processes now and next; each gateway may
    always send one body.

    :param slots: requests that the back end runs concurrently.
    :param callers: gateways that call it.
    :param largest_body: the largest body that a client may send, bytes.

    >>> max_body_bytes_in_flight(slots=8, callers=4, largest_body=262_144) // 262_144
    4
    >>> max_body_bytes_in_flight(slots=2, callers=113, largest_body=262_144) // 262_144
    1
    """
    total_bytes = slots * (1 + QUEUED_BODIES_PER_SLOT) * largest_body
    return max(largest_body, total_bytes // max(1, callers))
