"""Is there memory for one more request?

It answers load that no queue shows: clients that read slowly or not at all, large bodies, answers
that wait for their merge. A process that outgrows its memory is killed, with all that it has
admitted, so the less urgent is refused before.

Inputs: the memory of the process (MB, from the settings), how many priorities in use are more
urgent than the request's, and for a back end its slots, its callers and the largest body (bytes).

Answer: the bytes that may be held for others, the fill from which a request is refused (0 to 1),
and when to come back (seconds).

Owns: nothing; the account is kept by gateway/clients/memory_account.py, up to date at every
request for clients and back ends, and each second for peers.

Shown by: metrics ``tinrudder_gateway_memory_refused``, ``tinrudder_gateway_clients_ended_unread``
and ``tinrudder_gateway_reading_paused``.

When an input is missing or old: without a figure for the memory there is no bound.
"""

from __future__ import annotations

import math

BYTES_PER_MB = 1_000_000
"""Bytes in a megabyte, as the settings count memory: a unit."""
BARE_PROCESS_BYTES = 44 * BYTES_PER_MB
"""What a gateway takes that holds nothing for others: the most that was resident at once, 38.9 MB
idle with 1,019 back ends known, 42.3 MB after 250 requests, and a little."""
USABLE_SHARE = 0.6
"""Part of the rest that may be counted: a body is copied when it is joined, merged, encoded and
queued for a socket, each time for a moment, and the allocator does not return all of it: 43 MB
counted made 51 MB resident."""
LEAST_ACCOUNT_BYTES = 8 * BYTES_PER_MB
"""What may be held however little memory is left, a choice: the platform's figure may be meant
otherwise, and who refuses everything serves nobody.  Thirty of the largest bodies fit in."""
URGENT_FILL = 0.95
"""Fill, 0 to 1, from which the most urgent requests are refused. Chosen, not measured: what is in
progress grows on."""
FILL_STEP = 0.1
"""How much earlier a request is refused for each priority that is more urgent than its own: room
for a tenth of the account's requests, a choice."""
PAUSE_FILL = 0.65
"""Fill from which bodies are not read on, and the lowest at which anything is refused, a choice:
below it, all requests in progress at a gateway at its usual load fit three times over."""
LARGEST_ANSWER_SHARE = 0.25
"""Part of the account that one answer may take, a choice: four at once are the least with which
requests still go on beside each other."""
RETRY_AFTER_S = 0.3
"""When to come back, a choice: as long as most requests in progress take to end, and within a third
of most deadlines seen, 0.8 to 8 s."""
RETRY_AFTER_STEP_S = 0.1
"""How much later to come back for each priority that is more urgent, seconds. Chosen, not
measured: those are served again first."""
SMALL_BODY_BYTES = 16 * 1024
"""Bodies up to this size are no load on a back end's memory, bytes. Chosen, not measured: as much
as the head of a request may be."""
WAITING_PER_SLOT = 1
"""Whole bodies that may be on the way to a back end for each of its slots, beside the one that the
slot works on, a choice: the next is there when a slot becomes free."""


def account_bytes(memory_mb: float | None) -> float:
    """Return how many bytes may be held for others in a process of some memory.

    >>> account_bytes(300), account_bytes(None)
    (153600000.0, inf)
    """
    if memory_mb is None:
        return math.inf
    usable = (memory_mb * BYTES_PER_MB - BARE_PROCESS_BYTES) * USABLE_SHARE
    return max(LEAST_ACCOUNT_BYTES, usable)


def refused_from(priority_steps: int) -> float:
    """Return from which fill of the account on a request is refused.

    :param priority_steps: how many priorities in use are more urgent than the request's.

    >>> [round(refused_from(steps), 2) for steps in (0, 1, 2, 9)]
    [0.95, 0.85, 0.75, 0.65]
    """
    return max(PAUSE_FILL, URGENT_FILL - FILL_STEP * priority_steps)


def retry_after_s(priority_steps: int) -> float:
    """Return when a request that found no memory should come back."""
    return RETRY_AFTER_S + RETRY_AFTER_STEP_S * priority_steps


def large_body_bytes(body_bytes: int) -> int:
    """Return the size of a body if it counts as large, else 0."""
    return body_bytes if body_bytes > SMALL_BODY_BYTES else 0


def body_bytes_on_the_way(slots: int, callers: int, largest_body: int) -> int:
    """Return how many bytes of large bodies one gateway may have on the way to one back end.

    All gateways together keep to what the back end works on and has next; one body always may go.

    :param slots: requests that the back end works on at the same time.
    :param callers: gateways that call it.
    :param largest_body: the most that a client may send, bytes.

    >>> body_bytes_on_the_way(slots=8, callers=4, largest_body=262_144) // 262_144
    4
    >>> body_bytes_on_the_way(slots=2, callers=113, largest_body=262_144) // 262_144
    1
    """
    together = slots * (1 + WAITING_PER_SLOT) * largest_body
    return max(largest_body, together // max(1, callers))
