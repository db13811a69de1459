"""Page cursors: an index version and a position, sealed to one tenant and one query.

The seal is an HMAC under a key derived from the cluster key, which all nodes share: any node can
continue any page, and no caller can move a cursor to another tenant, index or version.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

SEAL_BYTES = 16
KEY_PURPOSE = b"tinrudder page cursor"


class CursorError(Exception):
    """The cursor is not one that this tier gave to this tenant for this query."""

    RULE = "not one given to this tenant for this query"

    def __init__(self) -> None:
        """Say which rule is broken, never why."""
        super().__init__(f"cursor: {self.RULE}")


@dataclass(frozen=True, slots=True)
class PagePosition:
    """Where a page starts, on which index version."""

    version: int
    after: tuple[float, str]


class CursorScope(msgspec.Struct, frozen=True, array_like=True):
    """What a cursor is bound to: pages of another query would not fit together."""

    tenant: str
    index: str
    order_by: str = "time"
    descending: bool = False
    match: dict[str, str] = {}


class _Sealed(msgspec.Struct, frozen=True, array_like=True):
    version: int
    after: tuple[float, str]


_scope_encoder = msgspec.msgpack.Encoder(order="sorted")


class CursorCodec:
    """Seals and opens cursors; the first key seals, all of them open.

    >>> codec = CursorCodec([b"key"])
    >>> text = codec.encode(PagePosition(7, (1.5, "r")), CursorScope("acme", "stock"))
    >>> codec.decode(text, CursorScope("acme", "stock"))
    PagePosition(version=7, after=(1.5, 'r'))
    >>> codec.decode(text, CursorScope("acme", "ledger"))
    Traceback (most recent call last):
    tinrudder.node.api.cursor.CursorError: cursor: not one given to this tenant for this query
    """

    def __init__(self, cluster_keys: Sequence[bytes]) -> None:
        """Derive the cursor keys from the cluster's."""
        self._keys = tuple(
            hmac.new(key, KEY_PURPOSE, hashlib.sha256).digest() for key in cluster_keys
        )

    def encode(self, position: PagePosition, scope: CursorScope) -> str:
        """Return the cursor of a position."""
        body = msgspec.msgpack.encode(_Sealed(position.version, position.after))
        return base64.urlsafe_b64encode(_seal(self._keys[0], body, scope) + body).decode()

    def decode(self, text: str, scope: CursorScope) -> PagePosition:
        """Return the position.

        :raises CursorError: it was not given for this scope, or was changed.
        """
        try:
            raw = base64.b64decode(text.encode(), altchars=b"-_", validate=True)
            seal, body = raw[:SEAL_BYTES], raw[SEAL_BYTES:]
            if not any([hmac.compare_digest(seal, _seal(k, body, scope)) for k in self._keys]):
                raise CursorError
            sealed = msgspec.msgpack.decode(body, type=_Sealed)
        except (binascii.Error, ValueError, msgspec.MsgspecError) as error:
            raise CursorError from error
        return PagePosition(sealed.version, sealed.after)


def _seal(key: bytes, body: bytes, scope: CursorScope) -> bytes:
    message = _scope_encoder.encode((scope, body))
    return hmac.new(key, message, hashlib.sha256).digest()[:SEAL_BYTES]
