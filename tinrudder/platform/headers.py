"""The platform's header names."""

from __future__ import annotations

from tinrudder.gateway.model.configuration import HeaderNames

HEADERS = HeaderNames(
    request_id=b"tinrudder-request-id",
    deadline_ms=b"tinrudder-deadline-ms",
    stamp=b"tinrudder-server-stamp",
    expected_backend=b"tinrudder-expect-instance",
    load=b"tinrudder-backend-load",
    not_run=b"tinrudder-not-run",
    parts=b"tinrudder-parts",
    missing_parts=b"tinrudder-missing-parts",
    tenant=b"tinrudder-tenant",
)
