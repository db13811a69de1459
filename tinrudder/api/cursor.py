"""Page cursors: an index version and a position, sealed to one tenant.

The seal is an HMAC under a key all nodes share, so any node can continue any page and no
caller can move a cursor to another tenant or version.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
from dataclasses import dataclass

import msgspec

SEAL_BYTES = 16


class CursorError(Exception):
    """The cursor is not one that this tier gave to this tenant."""


@dataclass(frozen=True, slots=True)
class PagePosition:
    """Where a page starts, on which index version."""

    version: int
    after: tuple[float, str]


class _Sealed(msgspec.Struct, frozen=True, array_like=True):
    version: int
    after: tuple[float, str]


class CursorCodec:
    """Seals and opens cursors.

    >>> codec = CursorCodec(b"key")
    >>> text = codec.encode(PagePosition(7, (1.5, "r")), "acme")
    >>> codec.decode(text, "acme", "stock")
    PagePosition(version=7, after=(1.5, 'r'))
    >>> codec.decode(text, "rival", "stock")
    Traceback (most recent call last):
    tinrudder.api.cursor.CursorError: cursor: not one given to this tenant
    """

    def __init__(self, key: bytes) -> None:
        """Seal with ``key``."""
        self._key = key

    def encode(self, position: PagePosition, tenant: str) -> str:
        """Return the cursor of a position for a tenant."""
        body = msgspec.msgpack.encode(_Sealed(position.version, position.after))
        return base64.urlsafe_b64encode(self._seal(body, tenant) + body).decode()

    def decode(self, text: str, tenant: str, index: str) -> PagePosition:
        """Return the position.

        :raises CursorError: it was not given to this tenant, or was changed.
        """
        try:
            raw = base64.urlsafe_b64decode(text.encode())
            seal, body = raw[:SEAL_BYTES], raw[SEAL_BYTES:]
            if not hmac.compare_digest(seal, self._seal(body, tenant)):
                raise CursorError("cursor: not one given to this tenant")
            sealed = msgspec.msgpack.decode(body, type=_Sealed)
        except (binascii.Error, ValueError, msgspec.MsgspecError) as error:
            raise CursorError("cursor: not one given to this tenant") from error
        return PagePosition(sealed.version, sealed.after)

    def _seal(self, body: bytes, tenant: str) -> bytes:
        message = tenant.encode() + b"\0" + body
        return hmac.new(self._key, message, hashlib.sha256).digest()[:SEAL_BYTES]
