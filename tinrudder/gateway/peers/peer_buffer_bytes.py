"""Counts the bytes that a gateway buffers for its peers.

Owns the list of buffer holders: the connections that it opened, and those that it accepted.
"""

from __future__ import annotations

from typing import Protocol


class BufferHolder(Protocol):
    """A component that buffers bytes for peers."""

    @property
    def held_bytes(self) -> int:
        """Return the number of buffered bytes."""


class PeerBufferBytes:
    """Sums the bytes that all registered components buffer for peers."""

    def __init__(self) -> None:
        """Start without any holder."""
        self._holders: list[BufferHolder] = []

    def add(self, holder: BufferHolder) -> None:
        """Include ``holder`` in the total."""
        self._holders.append(holder)

    def total(self) -> int:
        """Return the bytes of frames that peers have not read and of their requests in progress."""
        return sum(holder.held_bytes for holder in self._holders)
