"""Counts the bytes that a gateway holds for other gateways.

Owns only the list of who holds some: the connections that it opened, and those that it accepted.
"""

from __future__ import annotations

from typing import Protocol


class HoldsBytes(Protocol):
    """Holds bytes for other gateways."""

    @property
    def held_bytes(self) -> int:
        """Return how many bytes."""


class HeldForPeers:
    """The sum over all who hold bytes for other gateways."""

    def __init__(self) -> None:
        """Begin with nobody."""
        self._holders: list[HoldsBytes] = []

    def add(self, holder: HoldsBytes) -> None:
        """Count what ``holder`` holds from now on."""
        self._holders.append(holder)

    def total(self) -> int:
        """Return the bytes of frames not taken by peers, and of their requests at work."""
        return sum(holder.held_bytes for holder in self._holders)
