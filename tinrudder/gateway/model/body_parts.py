"""The parts of a message body as they arrive, in little more memory than their bytes.

Owns the parts of one body; readers of requests and of answers own the limits on its size.
"""

from __future__ import annotations

MIN_PART_BYTES = 64 * 1024
"""Parts are joined up to this size, bytes: a list of tiny parts would use many times the memory of
their bytes, and repeated copies of a large one fragment the heap."""


MAX_SMALL_PARTS = 1024
"""Parts that a body may have whatever their size: small messages are often written in pieces."""
MIN_MEAN_PART_BYTES = 8
"""Smallest mean size of further parts, bytes.  Each part is a chunk with a header of some bytes, so
smaller ones are mostly headers, and parsing them keeps the process from all other work."""


class BodyParts:
    """Collects the parts of a body.

    :ivar size: bytes collected.

    >>> parts = BodyParts()
    >>> parts.add(b"ab")
    >>> parts.add(b"c")
    >>> parts.size, parts.join()
    (3, b'abc')
    """

    __slots__ = ("_added", "_parts", "size")

    def __init__(self) -> None:
        """Start with an empty body."""
        self.size = 0
        self._added = 0
        self._parts: list[bytes | bytearray] = []

    def add(self, part: bytes) -> None:
        """Append a part."""
        self.size += len(part)
        self._added += 1
        last = self._parts[-1] if self._parts else None
        if last is None or len(last) >= MIN_PART_BYTES:
            self._parts.append(part)
        elif isinstance(last, bytearray):
            last += part
        else:
            self._parts[-1] = bytearray(last) + part

    @property
    def is_fragmented(self) -> bool:
        """Whether the body has arrived in more parts than any sound sender makes."""
        return self._added > MAX_SMALL_PARTS + self.size // MIN_MEAN_PART_BYTES

    def join(self) -> bytes:
        """Return the body."""
        return b"".join(self._parts)
