"""Encodes a client's request for back ends: unchanged except for the headers that the gateway sets.

Owns the bytes that are the same for all back ends; the headers that differ (remaining time,
expected back end) are added for each call.
"""

from __future__ import annotations

from tinrudder.gateway.clients.client_deadlines import Deadlines
from tinrudder.gateway.model.configuration import HeaderNames
from tinrudder.gateway.model.http_messages import CONNECTION_HEADERS, HttpRequest, without_headers
from tinrudder.gateway.runs.request_fingerprint import fingerprint_of, origin_of

MILLISECONDS = 1000.0
"""Milliseconds in a second."""
METHODS_WITH_BODY = frozenset((b"POST", b"PUT", b"PATCH"))


class RequestBytes:
    """Encodes one request for each back end that it is sent to."""

    def __init__(
        self, request: HttpRequest, request_id: bytes, deadlines: Deadlines, names: HeaderNames
    ) -> None:
        """Encode the part that is the same for all back ends."""
        self.request_id = request_id
        self._deadlines = deadlines
        self.body_expected = request.method != b"HEAD"
        self._request = request
        self._fingerprint: bytes | None = None
        self._origin: bytes | None = None
        self._names = names
        replaced = frozenset((names.deadline_ms, names.expected_backend))
        lines = [b"%b %b HTTP/1.1" % (request.method, request.target)]
        headers = without_headers(request.headers, CONNECTION_HEADERS | replaced)
        lines.extend(b"%b: %b" % header for header in headers)
        if request.body or request.method in METHODS_WITH_BODY:
            lines.append(b"Content-Length: %d" % len(request.body))
        self._head = b"\r\n".join(lines)
        self._body = request.body

    @property
    def deadline_at(self) -> float:
        """Return the monotonic time at which the request times out."""
        return self._deadlines.deadline_at

    @property
    def fingerprint(self) -> bytes:
        """Return the fingerprint shared by all tries of this request, computed on first use."""
        if self._fingerprint is None:
            self._fingerprint = fingerprint_of(self._request, self._names)
        return self._fingerprint

    @property
    def body_bytes(self) -> int:
        """Return the size of the body."""
        return len(self._body)

    def origin(self, route: str) -> bytes:
        """Return the digest shared by all requests of this caller on a route."""
        if self._origin is None:
            self._origin = origin_of(route, self._request, self._names)
        return self._origin

    def encode(self, backend_id: str, now: float) -> bytes:
        """Return the bytes for one back end, with the remaining time in the deadline header."""
        remaining_ms = max(1, int((self.deadline_at - now) * MILLISECONDS))
        names = self._names
        return b"%b\r\n%b: %d\r\n%b: %b\r\n\r\n%b" % (
            self._head,
            names.deadline_ms,
            remaining_ms,
            names.expected_backend,
            backend_id.encode(),
            self._body,
        )
