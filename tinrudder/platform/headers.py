"""The platform's header names, and what each holds where its name misleads.

Owns the one table of them; the gateway gets it as a value.
"""

from __future__ import annotations

from tinrudder.gateway.model.configuration import HeaderNames

STORE_EPOCH = b"store-era"
"""In every answer of the store: rises by one whenever it comes back from an older copy."""

HEADERS = HeaderNames(
    request_id=b"tinrudder-request-id",
    # A time that is left, not a moment.
    deadline_ms=b"tinrudder-deadline-ms",
    # A back end's signature of its answer.
    stamp=b"tinrudder-server-stamp",
    # The id of the only back end that may run the request.
    expected_backend=b"tinrudder-expect-instance",
    load=b"tinrudder-backend-load",
    not_run=b"tinrudder-not-run",
    # The signatures of the parts that a merged answer holds, not the parts.
    parts=b"tinrudder-parts",
    # How many parts it lacks, not which.
    missing_parts=b"tinrudder-missing-parts",
    tenant=b"tinrudder-tenant",
)
