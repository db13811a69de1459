"""Answers that never end, in each form that HTTP/1.1 allows a faulty server."""

from __future__ import annotations

import enum

BLOCK_BYTES = 64 * 1024
_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n\r\n"
_FILLER = b"x" * BLOCK_BYTES
_HEADERS = b"X-Filler: filler\r\n" * (BLOCK_BYTES // 18)
_INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n" * (BLOCK_BYTES // 25)


class EndlessAnswer(enum.Enum):
    """The first bytes of an answer, and the block that follows again and again."""

    STATUS_LINE = (b"HTTP/1.1 200 ", _FILLER)
    HEADER_LINE = (_OK + b"X-Filler: ", _FILLER)
    HEADERS = (_OK, _HEADERS)
    INTERIM = (b"", _INTERIM)
    SIZED_BODY = (_OK + b"Content-Length: 99999999999\r\n\r\n", _FILLER)
    BODY = (_OK + b"\r\n", _FILLER)
    CHUNKS = (_CHUNKED, b"%x\r\n%b\r\n" % (BLOCK_BYTES, _FILLER))
    TINY_CHUNKS = (_CHUNKED, b"1\r\nx\r\n" * (BLOCK_BYTES // 6))
    CHUNK_SIZE = (_CHUNKED, b"0" * BLOCK_BYTES)
    CHUNK_EXTENSION = (_CHUNKED + b"1;", _FILLER)
    TRAILER_LINE = (_CHUNKED + b"0\r\nX-Filler: ", _FILLER)
    TRAILERS = (_CHUNKED + b"0\r\n", _HEADERS)

    @property
    def first(self) -> bytes:
        """Return the first bytes."""
        return self.value[0]

    @property
    def block(self) -> bytes:
        """Return the bytes that are repeated."""
        return self.value[1]
