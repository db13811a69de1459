"""Assembles the bytes of one client into complete requests, within the limits in force.

Owns the HTTP parser and the partly received request.  The derived class owns the socket; it gets
each complete request, the changes in bytes held, and the requests to refuse.

This is a base class instead of a member of the connection: the parser calls back many times a
request, and a member's reference to its connection would add a cycle that keeps bodies in memory
until the next garbage collection.
"""

from __future__ import annotations

from abc import abstractmethod
from typing import Protocol

import httptools

from tinrudder.gateway.model.body_parts import BodyParts
from tinrudder.gateway.model.configuration import ClientLimits
from tinrudder.gateway.model.http_messages import Header, Headers, HttpRequest, without_headers
from tinrudder.gateway.model.outcomes import (
    STATUS_BAD_REQUEST,
    STATUS_BODY_TOO_LARGE,
    STATUS_HEADER_TOO_LARGE,
)

CONNECT = b"CONNECT"
"""Method that asks for a tunnel, which a gateway never opens."""
UPGRADE = b"upgrade"
"""Header that offers to switch to another protocol on this connection."""
HTTP_1_1 = "1.1"
"""The version since which connections are persistent by default (RFC 9112)."""


class LimitSource(Protocol):
    """Provides the limits on clients."""

    @property
    def limits(self) -> ClientLimits:
        """The limits in force."""


class RequestReader:
    """Parses successive requests; refuses those that violate the protocol or a limit."""

    def __init__(self, limit_source: LimitSource) -> None:
        """Start parsing."""
        self._limit_source = limit_source
        self._parser = httptools.HttpRequestParser(self)
        self._refused = False
        self._target = b""
        self._headers: list[Header] = []
        # Bytes received since the last complete request or part of a body: a head, or the chunk
        # sizes, chunk extensions and trailers of a body.
        self._framing_bytes = 0
        self._has_advanced = False
        # Bytes of the complete head, as stored.
        self._stored_head_bytes = 0
        # Bytes counted as held while the head is incomplete.
        self._partial_head_bytes = 0
        self._head_complete = False
        self._body = BodyParts()

    @abstractmethod
    def refuse(self, status: int, headers: Headers = ()) -> None:
        """Answer a request that cannot be served with an error, and read nothing more."""

    @abstractmethod
    def _add_held(self, size: int) -> None:
        """Add to the bytes held for requests; negative to release."""

    @abstractmethod
    def _send_continue(self) -> None:
        """Send ``100 Continue``, so that the client sends the body."""

    @abstractmethod
    def _on_request(self, request: HttpRequest, size: int) -> None:
        """Handle a complete request, for which ``size`` bytes are counted as held."""

    def _feed(self, data: bytes) -> None:
        """Parse the bytes that arrived."""
        self._has_advanced = False
        rest = data
        try:
            while rest and not self._refused:
                rest = self._parse(rest)
        except httptools.HttpParserError:
            if not self._refused:
                self.refuse(STATUS_BAD_REQUEST)
        self._framing_bytes = 0 if self._has_advanced else self._framing_bytes + len(data)
        if not self._refused and self._framing_bytes > self._limit_source.limits.max_header_bytes:
            self.refuse(STATUS_HEADER_TOO_LARGE)

    def _parse(self, data: bytes) -> bytes:
        """Parse bytes; return those that have to be parsed after a head with an ``Upgrade``.

        The offer is declined, as HTTP allows.  The parser takes all bytes behind such a head for
        the other protocol, a body among them, so another one gets the head without the offer.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            (parsed_bytes,) = upgrade.args
            return self._restart_without_upgrade() + data[parsed_bytes:]
        return b""

    def _restart_without_upgrade(self) -> bytes:
        """Replace the parser; return the head that it has read, without the offer."""
        parser, self._parser = self._parser, httptools.HttpRequestParser(self)
        version = parser.get_http_version().encode()
        lines = [b"%b %b HTTP/%b" % (parser.get_method(), self._target, version)]
        headers = without_headers(tuple(self._headers), frozenset((UPGRADE,)))
        lines.extend(b"%b: %b" % header for header in headers)
        self._head_complete = False
        self._add_held(-self._stored_head_bytes)
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def _release_parser(self) -> None:
        """Drop the parser: the reference cycle with it would keep a body in memory until the next
        garbage collection.
        """
        del self._parser

    def _count_partial_head(self, size: int) -> None:
        """Count part of an incomplete head as held."""
        self._partial_head_bytes += size
        self._add_held(size)

    def on_message_begin(self) -> None:
        """Start a request (parser callback)."""
        self._target = b""
        self._headers = []
        self._body = BodyParts()

    def on_url(self, url: bytes) -> None:
        """Collect the target (parser callback)."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header, and discard a trailer (parser callback).

        A trailer could otherwise take effect as a header that the head lacks.
        """
        if not self._head_complete:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Validate the head (parser callback)."""
        head_bytes = len(self._target) + sum(
            len(name) + len(value) for name, value in self._headers
        )
        self._head_complete = self._has_advanced = True
        self._stored_head_bytes = head_bytes
        self._add_held(head_bytes - self._partial_head_bytes)
        self._partial_head_bytes = 0
        if head_bytes > self._limit_source.limits.max_header_bytes:
            self.refuse(STATUS_HEADER_TOO_LARGE)
            return
        names = [name for name, _ in self._headers]
        if b"expect" in names:
            self._send_continue()
        # Two lengths, or a length and chunks: proxies may disagree on where the request ends
        # (request smuggling).
        if names.count(b"content-length") > 1 or (
            b"content-length" in names and b"transfer-encoding" in names
        ):
            self.refuse(STATUS_BAD_REQUEST)

    def on_body(self, body: bytes) -> None:
        """Collect part of the body (parser callback)."""
        if self._refused:
            return
        self._body.add(body)
        self._has_advanced = True
        self._add_held(len(body))
        if self._body.size > self._limit_source.limits.max_body_bytes:
            self.refuse(STATUS_BODY_TOO_LARGE)
        elif self._body.is_fragmented:
            self.refuse(STATUS_BAD_REQUEST)

    def on_message_complete(self) -> None:
        """Pass on a complete request (parser callback)."""
        if self._refused:
            return
        if self._parser.get_method() == CONNECT:
            self.refuse(STATUS_BAD_REQUEST)
            return
        if self._parser.should_upgrade():
            return
        self._has_advanced = True
        self._head_complete = False
        keep_alive = self._parser.should_keep_alive()
        keep_alive = keep_alive and self._parser.get_http_version() == HTTP_1_1
        request = HttpRequest(
            self._parser.get_method(),
            self._target,
            tuple(self._headers),
            self._body.join(),
            keep_alive,
        )
        size = self._stored_head_bytes + self._body.size
        self._body = BodyParts()
        self._on_request(request, size)
