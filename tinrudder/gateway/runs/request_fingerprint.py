"""Fingerprints that identify identical requests of the same caller.

Owns no state.  Gateways exchange fingerprints, so all of them must compute the same bytes.
"""

from __future__ import annotations

from hashlib import blake2b

from tinrudder.gateway.model.configuration import HeaderNames
from tinrudder.gateway.model.http_messages import HttpRequest, header_value

FINGERPRINT_BYTES = 16
"""Length of a fingerprint, bytes.  With 16 bytes it is infeasible to find a request whose
fingerprint equals that of another caller's request, which gateways would then confuse with it.
"""
_LENGTH_BYTES = 4
"""Size of the length prefix of each field, bytes: fields are shorter than 4 GB."""


def origin_of(route: str, request: HttpRequest, names: HeaderNames) -> bytes:
    """Return a digest of the caller and the route."""
    return _digest(route.encode(), _caller(request, names))


def fingerprint_of(request: HttpRequest, names: HeaderNames) -> bytes:
    """Return a digest of the caller, method, host, path, query and body.

    The caller is the tenant if the API key named one, else the credentials that the client sent.
    Request ids, deadlines and connections differ between the tries of one client, so they are not
    part of the digest.

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
    """Return the tenant, else the credentials of a request; empty if it has neither."""
    headers = request.headers
    return header_value(headers, names.tenant) or header_value(headers, b"authorization") or b""


def _digest(*fields: bytes) -> bytes:
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for field in fields:
        # The length prefix keeps two different requests from hashing the same bytes.
        digest.update(len(field).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(field)
    return digest.digest()
