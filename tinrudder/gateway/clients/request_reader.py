"""Puts the bytes of one client together to whole requests, within the limits in force.

Owns the HTTP parser and the request that is read in part.  Whoever derives from it owns the socket:
it is told of each whole request, of bytes to account for, and of what must be refused.

A base class rather than a part of the connection: the parser calls it back many times a request,
and a reference from a part back to its connection would be one more cycle that keeps bodies in
memory until the collector's next run.
"""

from __future__ import annotations

from abc import abstractmethod
from typing import Protocol

import httptools

from tinrudder.gateway.model.configuration import ClientLimits
from tinrudder.gateway.model.http_messages import Header, Headers, HttpRequest
from tinrudder.gateway.model.outcomes import (
    STATUS_BAD_REQUEST,
    STATUS_BODY_TOO_LARGE,
    STATUS_HEADER_TOO_LARGE,
)

HTTP_1_1 = "1.1"
"""The version from which on connections stay open unless either side says otherwise (RFC 9112)."""


class LimitSource(Protocol):
    """Knows the limits on clients."""

    @property
    def limits(self) -> ClientLimits:
        """Return the limits in force."""


class RequestReader:
    """Reads requests one after another; breaking the protocol or a limit is refused."""

    def __init__(self, limit_source: LimitSource) -> None:
        """Begin to read."""
        self._limit_source = limit_source
        self._parser = httptools.HttpRequestParser(self)
        self._refused = False
        self._target = b""
        self._headers: list[Header] = []
        # Bytes of the head as they came, counted until it is whole.
        self._header_bytes = 0
        # Bytes of the head as they are kept.
        self._head_bytes = 0
        # Bytes that are accounted for while the head is not whole.
        self._part_of_head = 0
        self._head_complete = False
        self._body: list[bytes] = []
        self._body_bytes = 0

    @abstractmethod
    def refuse(self, status: int, headers: Headers = ()) -> None:
        """Answer what cannot be served, and read nothing more."""

    @abstractmethod
    def _hold(self, size: int) -> None:
        """Account for bytes that are held, or are not any more if below zero."""

    @abstractmethod
    def _send_continue(self) -> None:
        """Tell a client that waits with its body to go on."""

    @abstractmethod
    def _on_request(self, request: HttpRequest, size: int) -> None:
        """Take a whole request, for which ``size`` bytes are accounted for."""

    def _feed(self, data: bytes) -> None:
        """Read what arrived."""
        if not self._head_complete:
            self._header_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.refuse(STATUS_BAD_REQUEST)
        except httptools.HttpParserError:
            if not self._refused:
                self.refuse(STATUS_BAD_REQUEST)

    def _stop_reading(self) -> None:
        """Let go of the parser: the cycle of the two would keep a body until the collector runs."""
        del self._parser

    def _take_part_of_head(self, size: int) -> None:
        """Count a head that has not come whole, and refuse one that is too large."""
        self._part_of_head += size
        self._hold(size)
        if self._header_bytes > self._limit_source.limits.max_header_bytes:
            self.refuse(STATUS_HEADER_TOO_LARGE)

    def on_message_begin(self) -> None:
        """Begin a request (called by the parser)."""
        self._target = b""
        self._headers = []
        self._body = []
        self._body_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Collect the target (called by the parser)."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header (called by the parser)."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check what the head alone tells (called by the parser)."""
        head_bytes = len(self._target) + sum(
            len(name) + len(value) for name, value in self._headers
        )
        self._head_complete = True
        self._head_bytes = head_bytes
        self._hold(head_bytes - self._part_of_head)
        self._part_of_head = 0
        if head_bytes > self._limit_source.limits.max_header_bytes:
            self.refuse(STATUS_HEADER_TOO_LARGE)
            return
        names = [name for name, _ in self._headers]
        if b"expect" in names:
            self._send_continue()
        # Two lengths, or a length and chunks: others on the way may see another end of the request.
        if names.count(b"content-length") > 1 or (
            b"content-length" in names and b"transfer-encoding" in names
        ):
            self.refuse(STATUS_BAD_REQUEST)

    def on_body(self, body: bytes) -> None:
        """Collect the body (called by the parser)."""
        if self._refused:
            return
        self._body.append(body)
        self._body_bytes += len(body)
        self._hold(len(body))
        if self._body_bytes > self._limit_source.limits.max_body_bytes:
            self.refuse(STATUS_BODY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """Hand a whole request on (called by the parser)."""
        if self._refused:
            return
        self._header_bytes = 0
        self._head_complete = False
        keep_alive = self._parser.should_keep_alive()
        keep_alive = keep_alive and self._parser.get_http_version() == HTTP_1_1
        request = HttpRequest(
            self._parser.get_method(),
            self._target,
            tuple(self._headers),
            b"".join(self._body),
            keep_alive,
        )
        self._body = []
        self._on_request(request, self._head_bytes + self._body_bytes)
