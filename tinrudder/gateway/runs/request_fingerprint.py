"""Tells whether two requests ask the same thing for the same caller.

Owns no state.  Gateways tell each other of requests by these bytes, so all must make the same.
"""

from __future__ import annotations

from hashlib import blake2b

from tinrudder.gateway.model.configuration import HeaderNames
from tinrudder.gateway.model.http_messages import HttpRequest, header_value

FINGERPRINT_BYTES = 16
"""Length of a fingerprint, bytes.  Chosen, not measured: with 16 nobody finds a second request with
the fingerprint of another's, which would let one caller have another's request taken for its own.
"""
_LENGTH_BYTES = 4
"""Length of the number that stands before each field, bytes: fields are shorter than 4 GB."""


def origin_of(route: str, request: HttpRequest, names: HeaderNames) -> bytes:
    """Return the same bytes for all requests of one caller on one route."""
    return _digest(route.encode(), _caller(request, names))


def fingerprint_of(request: HttpRequest, names: HeaderNames) -> bytes:
    """Return the same bytes for requests of one caller with the same path, query and body.

    The caller is the tenant, where the entry has found one by its key, else the credentials that
    the client sent.  Ids, deadlines and connections differ between the tries of one client, so
    they do not count.

    >>> from tinrudder.gateway.model.http_messages import HttpRequest
    >>> from tinrudder.platform.headers import HEADERS
    >>> first = HttpRequest(b"GET", b"/a", ((b"host", b"h"), (b"x-id", b"1")), b"")
    >>> again = HttpRequest(b"GET", b"/a", ((b"host", b"h"), (b"x-id", b"2")), b"")
    >>> other = HttpRequest(b"GET", b"/a", ((b"host", b"h"),), b"body")
    >>> fingerprint_of(first, HEADERS) == fingerprint_of(again, HEADERS)
    True
    >>> fingerprint_of(first, HEADERS) == fingerprint_of(other, HEADERS)
    False
    """
    host = header_value(request.headers, b"host") or b""
    caller = _caller(request, names)
    return _digest(request.method, host, caller, request.target, request.body)


def _caller(request: HttpRequest, names: HeaderNames) -> bytes:
    """Return who asks, as far as a request says; empty where it says nothing."""
    headers = request.headers
    return header_value(headers, names.tenant) or header_value(headers, b"authorization") or b""


def _digest(*fields: bytes) -> bytes:
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for field in fields:
        # With its length, so that no two different requests write the same bytes.
        digest.update(len(field).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(field)
    return digest.digest()
