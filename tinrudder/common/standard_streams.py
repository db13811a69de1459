"""Keeps the descriptors of standard streams that were closed at the start out of other use.

The next file or socket that the process opens would otherwise get the number of a closed stream,
and whatever is written to that stream would reach the peer of that socket.
"""

from __future__ import annotations

import os

STANDARD_STREAMS = range(3)
"""Descriptors of standard input, output and error."""


def open_missing_standard_streams() -> frozenset[int]:
    """Open the null device for each standard stream that is closed; return their descriptors."""
    missing = frozenset(number for number in STANDARD_STREAMS if not _is_open(number))
    for _ in missing:
        # The kernel gives out the lowest free descriptor, which is a missing one.
        os.open(os.devnull, os.O_RDWR)
    return missing


def _is_open(file_descriptor: int) -> bool:
    """Return whether a descriptor is open."""
    try:
        os.fstat(file_descriptor)
    except OSError:
        return False
    return True
