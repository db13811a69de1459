"""Owns the authentication of viewers: operators by the node's settings, tenants by their keys."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Mapping
from dataclasses import dataclass

from tinrudder.node.api.authentication import BEARER, authenticate
from tinrudder.node.resources.configuration import Configuration

_ABSENT_HASH = "0" * 64


@dataclass(frozen=True, slots=True)
class Viewer:
    """An authenticated client of the resource or explain API.

    :param name: an operator's key id, or the tenant's name.
    :param tenant: the tenant, ``None`` for an operator, who sees all resources.
    """

    name: str
    tenant: str | None = None

    @property
    def is_operator(self) -> bool:
        """Whether the viewer is an operator and sees all resources."""
        return self.tenant is None


def authenticate_operator(authorization: str | None, credentials: Mapping[str, str]) -> str | None:
    """Return the key id of an operator's ``Bearer KEY_ID.SECRET`` header, ``None`` if invalid.

    Hashes are compared in constant time, and also for an unknown key id, so that response times
    don't reveal which key ids exist.
    """
    if authorization is None or not authorization.startswith(BEARER):
        return None
    key_id, _, secret = authorization.removeprefix(BEARER).rpartition(".")
    expected = credentials.get(key_id)
    actual = hashlib.sha256(secret.encode()).hexdigest()
    matches = hmac.compare_digest(actual, expected or _ABSENT_HASH)
    return key_id if expected and matches else None


def authenticate_viewer(
    authorization: str | None, operators: Mapping[str, str], configuration: Configuration
) -> Viewer | None:
    """Return the viewer, ``None`` if the credential is neither an operator's nor a tenant's."""
    operator = authenticate_operator(authorization, operators)
    if operator is not None:
        return Viewer(operator)
    tenant = authenticate(authorization, configuration)
    return None if tenant is None else Viewer(tenant, tenant)
