"""API keys: maps the key of a request to a tenant of the configuration in force.

Owns the digest secret of this process and, per configuration, the index of keys.

Keys are stored and compared as keyed digests under a random secret of this process, so neither the
time of a lookup nor a dump of the configuration in memory reveals anything about a key.
"""

from __future__ import annotations

import os
import re
from hashlib import blake2b

from msgspec import Struct
from msgspec.structs import replace

from tinrudder.gateway.model.configuration import GatewayConfiguration, HeaderNames, Tenant
from tinrudder.gateway.model.http_messages import HttpRequest

MAX_KEY_BYTES = 1024
"""Longest accepted key, bytes: fifty times as long as the keys seen, and far below the limit on
headers."""
DIGEST_BYTES = 16
"""Length of a key's digest, bytes: with a million keys, a collision occurs in one of 10^27
configurations."""
AUTHORIZATION = b"authorization"
AUTHORIZATION_SCHEME = b"token"
_OWN_CREDENTIALS = re.compile(
    rb"\s*" + AUTHORIZATION_SCHEME + rb"(?![!#$%&'*+.^_`|~0-9a-z-])", re.IGNORECASE
)
"""Credentials of the own scheme, well-formed or not: another character of a token (RFC 9110) would
make it a different scheme."""
_SECRET = os.urandom(32)


def key_digest(key: bytes) -> bytes:
    """Return the keyed digest that identifies a key in this process."""
    return blake2b(key, digest_size=DIGEST_BYTES, key=_SECRET).digest()


class Known(Struct, frozen=True):
    """The key belongs to a tenant."""

    tenant: Tenant


class Unknown(Struct, frozen=True):
    """The request has no key, or no tenant of the configuration in force has it."""

    detail: str


class Ambiguous(Struct, frozen=True):
    """The request carries more than one set of credentials."""


Identity = Known | Unknown | Ambiguous
NO_KEY = Unknown("no key")
MALFORMED_CREDENTIALS = Unknown("credentials of another form")
UNKNOWN_KEY = Unknown("a key that no tenant has")


class KeyIndex(Struct, frozen=True):
    """The keys of one configuration.

    :param tenants: by key digest.
    :param required: whether requests need a key, except on public routes.
    """

    tenants: dict[bytes, Tenant]
    required: bool

    @classmethod
    def of(cls, configuration: GatewayConfiguration) -> KeyIndex:
        """Index a configuration's keys."""
        tenants = {
            digest: tenant for tenant in configuration.tenants for digest in tenant.key_digests
        }
        return cls(tenants, bool(configuration.tenants))

    def identify(self, request: HttpRequest) -> Identity:
        """Return the tenant of a request by its only ``Authorization: Token KEY`` header."""
        credentials = [value for name, value in request.headers if name == AUTHORIZATION]
        if not credentials:
            return NO_KEY
        if len(credentials) > 1:
            return Ambiguous()
        scheme, _, key = credentials[0].strip().partition(b" ")
        key = key.strip()
        if scheme.lower() != AUTHORIZATION_SCHEME or not key or len(key) > MAX_KEY_BYTES:
            return MALFORMED_CREDENTIALS
        tenant = self.tenants.get(key_digest(key))
        return UNKNOWN_KEY if tenant is None else Known(tenant)


def carries_own_credentials(request: HttpRequest) -> bool:
    """Return whether a request carries credentials of the system's own scheme.

    >>> values = (b"Token k", b"token", b"Tokens k", b"Basic k")
    >>> requests = [HttpRequest(b"GET", b"/", ((AUTHORIZATION, one),), b"") for one in values]
    >>> [carries_own_credentials(one) for one in requests]
    [True, True, False, False]
    """
    return any(
        name == AUTHORIZATION and _OWN_CREDENTIALS.match(value) for name, value in request.headers
    )


def without_own_credentials(request: HttpRequest, names: HeaderNames) -> HttpRequest:
    """Return a request as it is forwarded where no tenants are configured.

    Credentials of other schemes are for the back end; the tenant's header is not the client's.
    """
    if all(name not in (AUTHORIZATION, names.tenant) for name, _ in request.headers):
        return request
    headers = tuple(
        (name, value)
        for name, value in request.headers
        if name != names.tenant and not (name == AUTHORIZATION and _OWN_CREDENTIALS.match(value))
    )
    return replace(request, headers=headers)


def without_credentials(
    request: HttpRequest, tenant: Tenant | None, names: HeaderNames
) -> HttpRequest:
    """Return a request as it is forwarded: with the tenant's name in place of the key.

    A tenant header that the client sent is dropped.
    """
    dropped = (AUTHORIZATION, names.tenant)
    headers = tuple(header for header in request.headers if header[0] not in dropped)
    if tenant is not None:
        headers = (*headers, (names.tenant, tenant.name.encode()))
    return replace(request, headers=headers)
