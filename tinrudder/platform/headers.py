"""The platform's header names, with comments on misleading ones.

Owns their only table, which is passed to the gateway as a value.
"""

from __future__ import annotations

from tinrudder.gateway.model.configuration import HeaderNames

STORE_EPOCH = b"store-era"
"""In every answer of the store: rises by one whenever it is restored from an older copy."""

HEADERS = HeaderNames(
    request_id=b"tinrudder-request-id",
    # The remaining time.
    deadline_ms=b"tinrudder-deadline-ms",
    # A back end's signature of its answer.
    stamp=b"tinrudder-server-stamp",
    # The id of the only back end that may run the request.
    expected_backend=b"tinrudder-expect-instance",
    load=b"tinrudder-backend-load",
    not_run=b"tinrudder-not-run",
    # The signatures of the parts that a merged answer contains.
    parts=b"tinrudder-parts",
    # The number of missing parts.
    missing_parts=b"tinrudder-missing-parts",
    tenant=b"tinrudder-tenant",
)
