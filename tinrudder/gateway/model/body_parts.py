"""The parts of a message body as they arrive, in little more memory than their bytes.

Owns the parts of one body; readers of requests and of answers own the limits on its size.
"""

from __future__ import annotations

MIN_PART_BYTES = 64 * 1024
"""Parts are joined up to this size, bytes: a list of tiny parts would use many times the memory of
their bytes, and repeated copies of a large one fragment the heap."""


class BodyParts:
    """Collects the parts of a body.

    :ivar size: bytes collected.

    >>> parts = BodyParts()
    >>> parts.add(b"ab")
    >>> parts.add(b"c")
    >>> parts.size, parts.join()
    (3, b'abc')
    """

    __slots__ = ("_parts", "size")

    def __init__(self) -> None:
        """Start with an empty body."""
        self.size = 0
        self._parts: list[bytes | bytearray] = []

    def add(self, part: bytes) -> None:
        """Append a part."""
        self.size += len(part)
        last = self._parts[-1] if self._parts else None
        if last is None or len(last) >= MIN_PART_BYTES:
            self._parts.append(part)
        elif isinstance(last, bytearray):
            last += part
        else:
            self._parts[-1] = bytearray(last) + part

    def join(self) -> bytes:
        """Return the body."""
        return b"".join(self._parts)
