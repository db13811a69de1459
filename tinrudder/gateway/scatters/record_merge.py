"""Merges parts of an answer: fixed-size records in descending byte order.

Owns nothing; pure functions on bytes.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable

RECORD_BYTES = 16
"""Size of one record, bytes: the platform's wire format."""


def records_of(body: bytes) -> list[bytes]:
    """Split a body into its records; an incomplete record at the end is dropped.

    >>> len(records_of(b"x" * 40))
    2
    """
    whole = len(body) - len(body) % RECORD_BYTES
    return [body[start : start + RECORD_BYTES] for start in range(0, whole, RECORD_BYTES)]


def merge_top_records(bodies: Iterable[bytes], count: int) -> bytes:
    """Return the ``count`` greatest records of all bodies, descending; duplicates are kept.

    >>> merge_top_records([b"a" * 16 + b"c" * 16, b"b" * 16 + b"c" * 16], 3)[::16]
    b'ccb'
    """
    records = (record for body in bodies for record in records_of(body))
    return b"".join(heapq.nlargest(count, records))
