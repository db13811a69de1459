"""Correlation IDs that match answers to requests between gateways.

Owns nothing: each component that sends requests counts up from the number returned here.
"""

from __future__ import annotations

import os

FIRST_BYTES = 7
"""Bytes of the random start. It is below 2^56: that leaves room for 250 times as many requests
before an ID exceeds 64 bits."""


def first_correlation_id() -> int:
    """Return the random number, at least 2, from which a process numbers its requests.

    The operating system supplies the randomness, so that each process starts at another number and
    a late answer to an earlier process at this address matches no request of this one. Such an
    answer proves nothing about the time since that process ended.
    """
    return int.from_bytes(os.urandom(FIRST_BYTES)) + 2
