"""Authenticates requests: determines the tenant of each before it is forwarded.

Owns no state.  Depends on the keys of the configuration in force
(:mod:`tinrudder.gateway.requests.api_keys`) and on how stale that configuration may be.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from tinrudder.gateway.model.configuration import HeaderNames, Route, Tenant
from tinrudder.gateway.model.http_messages import HttpRequest
from tinrudder.gateway.model.outcomes import (
    STATUS_BAD_REQUEST,
    Invalid,
    NotRun,
    RequestOutcome,
    Unauthorized,
    Unconfirmed,
)
from tinrudder.gateway.requests.api_keys import (
    UNKNOWN_KEY,
    Ambiguous,
    Known,
    Unknown,
    carries_own_credentials,
    without_credentials,
    without_own_credentials,
)
from tinrudder.gateway.requests.routes_in_force import RoutesInForce

STALE_RETRY_AFTER_S = 0.5
"""Shortest ``Retry-After`` of a gateway whose configuration may be stale, seconds.  One round trip
to a peer or the store confirms the configuration, and several fit into this time."""
RETRY_AFTER_SPREAD = 0.5
"""Largest random increase of :data:`STALE_RETRY_AFTER_S`, as a fraction of it, so that clients do
not all retry at the same time."""


@dataclass(frozen=True, slots=True)
class AuthenticatedRequest:
    """A request as it is forwarded, without its credentials.

    :param tenant: the tenant that sent it; ``None`` for a request without a key, where none is
        required.
    """

    request: HttpRequest
    tenant: Tenant | None

    @property
    def tenant_name(self) -> str:
        """Return the tenant's name; empty without a tenant."""
        return self.tenant.name if self.tenant is not None else ""

    def priority(self, route: Route) -> int:
        """Return the tenant's priority, or else the route's."""
        if self.tenant is None or self.tenant.priority is None:
            return route.priority
        return self.tenant.priority


class Authentication:
    """Looks up keys, and refuses requests without a valid one.

    An unknown key is refused finally, so that clients do not retry, only if this gateway would
    already know a newly added key.  A request with a key that would run without a tenant runs only
    if no newer configuration can give that key to one.
    """

    def __init__(
        self,
        names: HeaderNames,
        is_stale: Callable[[], bool],
        is_fresh: Callable[[], bool],
        is_known_as_of: Callable[[float], bool],
        random_source: random.Random,
    ) -> None:
        """Depend on the staleness of the configuration.

        :param is_stale: returns whether a key revoked long ago may still be in the configuration.
        :param is_fresh: returns whether this gateway would know of a newer configuration.
        :param is_known_as_of: returns whether it knows every change acknowledged before a moment.
        """
        self._names = names
        self._is_stale = is_stale
        self._is_fresh = is_fresh
        self._is_known_as_of = is_known_as_of
        self._random = random_source

    def authenticate(
        self, routes: RoutesInForce, route: Route, request: HttpRequest, arrived_at: float
    ) -> AuthenticatedRequest | RequestOutcome:
        """Return the request without its key, or its refusal.

        Two sets of credentials are refused even if the configuration is stale: no newer one would
        allow them.
        """
        if not routes.keys.required:
            if carries_own_credentials(request) and not self._is_known_as_of(arrived_at):
                return self._await_confirmation("a key, and no tenants are known here")
            return AuthenticatedRequest(without_own_credentials(request, self._names), None)
        identity = routes.keys.identify(request)
        if isinstance(identity, Ambiguous):
            return Invalid(STATUS_BAD_REQUEST, "authorization: must stand at most once")
        if not route.public:
            if self._is_stale():
                return self._retry_later("what the operator asked for lately may not be known here")
            if isinstance(identity, Unknown):
                return self._refuse_unknown_key(identity)
        elif identity == UNKNOWN_KEY and not self._is_known_as_of(arrived_at):
            return self._await_confirmation(UNKNOWN_KEY.detail)
        tenant = identity.tenant if isinstance(identity, Known) else None
        return AuthenticatedRequest(without_credentials(request, tenant, self._names), tenant)

    def _refuse_unknown_key(self, identity: Unknown) -> RequestOutcome:
        """Refuse an unknown key; a retry is allowed if a newer configuration may have it."""
        if self._is_fresh():
            return Unauthorized(identity.detail)
        return self._retry_later(f"{identity.detail}, and no word from store or peers lately")

    def _retry_later(self, detail: str) -> NotRun:
        return NotRun(detail, self._retry_after_s())

    def _await_confirmation(self, detail: str) -> Unconfirmed:
        """Refuse a key that a newer configuration may have, unless that can be ruled out."""
        return Unconfirmed(
            f"{detail}, and the store has not confirmed that yet", self._retry_after_s()
        )

    def _retry_after_s(self) -> float:
        return STALE_RETRY_AFTER_S * self._random.uniform(1.0, 1.0 + RETRY_AFTER_SPREAD)
