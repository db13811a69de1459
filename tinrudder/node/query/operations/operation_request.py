"""A request that must run at most once, after authentication.

Values only.  The content digest shows whether a duplicate key belongs to the same request.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

import msgspec

CONTENT_BYTES = 16
"""Size in bytes of the digest that distinguishes two requests with the same key."""


@dataclass(frozen=True, slots=True)
class OperationRequest:
    """One submission of one tenant's operation.

    :param tenant: the authenticated tenant, never a field of the request body.
    :param request_key: the caller's key; every submission of one request has the same key and the
        same ``valid_until``.
    :param valid_until: wall-clock time in seconds after which the operation is not sent.
    :param deadline: this node's monotonic time by which the caller gets an outcome.
    :param resubmission: the caller sent this key before and does not know the outcome.
    """

    query_id: str
    tenant: str
    index: str
    rule: str
    operation: str
    request_key: str
    valid_until: float
    match: dict[str, str]
    deadline: float
    resubmission: bool = False

    def content(self) -> bytes:
        """Return a digest of the request, equal for all its submissions."""
        parts = (self.tenant, self.index, self.rule, self.operation, sorted(self.match.items()))
        encoded = msgspec.msgpack.encode(parts)
        return hashlib.blake2b(encoded, digest_size=CONTENT_BYTES).digest()
