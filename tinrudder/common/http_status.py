"""Which HTTP statuses may stand in an answer to a call (RFC 9110, section 15)."""

from __future__ import annotations

FINAL_STATUSES = range(200, 600)
"""Statuses of a final answer."""
INTERIM_STATUSES = range(100, 200)
"""Statuses of an interim answer, which a final one follows."""
SWITCHING_PROTOCOLS = 101
"""The interim status after which no HTTP answer follows; no call asks for it."""


def is_expected_status(status: int) -> bool:
    """Return whether a status is final, or interim and followed by a final one.

    >>> [is_expected_status(one) for one in (0, 99, 100, 101, 103, 200, 599, 600, 999)]
    [False, False, True, False, True, True, True, False, False]
    """
    return status in FINAL_STATUSES or (
        status in INTERIM_STATUSES and status != SWITCHING_PROTOCOLS
    )
