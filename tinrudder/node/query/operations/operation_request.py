"""A request that must run at most once, as the core sees it.

Immutable; its content digest tells whether a duplicate is the same request.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

import msgspec

CONTENT_BYTES = 16
"""Bytes of the digest that tells two requests under one key apart."""


@dataclass(frozen=True, slots=True)
class OperationRequest:
    """One submission of one tenant's operation.

    :param tenant: the authenticated tenant, never a field of the caller's body.
    :param request_key: the caller's key; every submission of one request repeats it together
        with ``valid_until``.
    :param valid_until: wall-clock seconds; nothing is sent from then on.
    :param deadline: monotonic time of this node by which the caller is told an outcome.
    :param resubmission: the caller sent this key before and does not know what became of it.
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
        """Return a digest of what is asked; equal for all submissions of one request."""
        parts = (self.tenant, self.index, self.rule, self.operation, sorted(self.match.items()))
        encoded = msgspec.msgpack.encode(parts)
        return hashlib.blake2b(encoded, digest_size=CONTENT_BYTES).digest()
