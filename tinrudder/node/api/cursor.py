"""Owns page cursors: an index version and a position, authenticated for one tenant and query.

The authentication code is an HMAC with a key derived from the cluster key, which all nodes share:
any node can serve the next page, and callers can't use a cursor for another tenant, index or
version.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

MAC_BYTES = 16
"""Length in bytes of the truncated HMAC-SHA-256."""
KEY_PURPOSE = b"tinrudder page cursor"
"""Separates the derived key from other uses of the cluster key."""


class CursorError(Exception):
    """The cursor was not issued to this tenant for this query, or was modified."""

    RULE = "not one given to this tenant for this query"

    def __init__(self) -> None:
        """Use the same message for every cause."""
        super().__init__(f"cursor: {self.RULE}")


@dataclass(frozen=True, slots=True)
class PagePosition:
    """The index version of a page, and the order value and id of the row that precedes it."""

    version: int
    after: tuple[float, str]


class CursorScope(msgspec.Struct, frozen=True, array_like=True):
    """The tenant and query to which a cursor is bound: pages of different queries don't combine."""

    tenant: str
    index: str
    order_by: str = "time"
    descending: bool = False
    match: dict[str, str] = {}


class _SignedPosition(msgspec.Struct, frozen=True, array_like=True):
    version: int
    after: tuple[float, str]


_scope_encoder = msgspec.msgpack.Encoder(order="sorted")


class CursorCodec:
    """Encodes and decodes cursors; the first key signs, and all keys verify.

    >>> codec = CursorCodec([b"key"])
    >>> text = codec.encode(PagePosition(7, (1.5, "r")), CursorScope("acme", "stock"))
    >>> codec.decode(text, CursorScope("acme", "stock"))
    PagePosition(version=7, after=(1.5, 'r'))
    >>> codec.decode(text, CursorScope("acme", "ledger"))
    Traceback (most recent call last):
    tinrudder.node.api.cursor.CursorError: cursor: not one given to this tenant for this query
    """

    def __init__(self, cluster_keys: Sequence[bytes]) -> None:
        """Derive the cursor keys from the cluster keys."""
        self._keys = tuple(
            hmac.new(key, KEY_PURPOSE, hashlib.sha256).digest() for key in cluster_keys
        )

    def encode(self, position: PagePosition, scope: CursorScope) -> str:
        """Return the cursor for a position."""
        body = msgspec.msgpack.encode(_SignedPosition(position.version, position.after))
        return base64.urlsafe_b64encode(_compute_mac(self._keys[0], body, scope) + body).decode()

    def decode(self, text: str, scope: CursorScope) -> PagePosition:
        """Return the position of a cursor.

        :raises CursorError: if it was issued for another scope or was modified.
        """
        try:
            raw = base64.b64decode(text.encode(), altchars=b"-_", validate=True)
            mac, body = raw[:MAC_BYTES], raw[MAC_BYTES:]
            if not any(
                [hmac.compare_digest(mac, _compute_mac(k, body, scope)) for k in self._keys]
            ):
                raise CursorError
            signed_position = msgspec.msgpack.decode(body, type=_SignedPosition)
        except (binascii.Error, ValueError, msgspec.MsgspecError) as error:
            raise CursorError from error
        return PagePosition(signed_position.version, signed_position.after)


def _compute_mac(key: bytes, body: bytes, scope: CursorScope) -> bytes:
    message = _scope_encoder.encode((scope, body))
    return hmac.new(key, message, hashlib.sha256).digest()[:MAC_BYTES]
