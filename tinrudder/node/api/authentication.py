"""Owns the authentication of callers: the tenant is derived from the credential alone."""

from __future__ import annotations

import hashlib
import hmac

from tinrudder.node.resources.configuration import Configuration

BEARER = "Bearer "
_ABSENT_HASH = "0" * 64


def authenticate(authorization: str | None, configuration: Configuration) -> str | None:
    """Return the tenant of a ``Bearer KEY_ID.SECRET`` header, ``None`` if it is not valid.

    Hashes are compared in constant time, and also for an unknown key id, so that response times
    don't reveal which key ids exist.
    """
    if authorization is None or not authorization.startswith(BEARER):
        return None
    key_id, _, secret = authorization.removeprefix(BEARER).rpartition(".")
    owner = configuration.credentials.get(key_id)
    expected = owner.credential.secret_sha256 if owner else _ABSENT_HASH
    actual = hashlib.sha256(secret.encode()).hexdigest()
    matches = hmac.compare_digest(actual, expected)
    return owner.tenant if owner and matches else None
