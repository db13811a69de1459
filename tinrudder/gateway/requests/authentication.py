"""Decides on whose behalf a request runs, before anything behind the entry sees it.

Owns no state.  Relies on the keys of the configuration in force
(:mod:`tinrudder.gateway.requests.api_keys`) and on how old this gateway's knowledge of them may be.
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
)
from tinrudder.gateway.requests.api_keys import Ambiguous, Known, Unknown, without_credentials
from tinrudder.gateway.requests.routes_in_force import RoutesInForce

RETRY_STALE_S = 0.5
"""When to come back to a gateway whose knowledge is too old, seconds.  Chosen, not measured: a
round trip to a peer or the store makes it fresh again, and several fit into this time."""
RETRY_SPREAD = 0.5
"""Part of :data:`RETRY_STALE_S` by which clients come back later at most, so that not all come at
one time.  Chosen, not measured."""


@dataclass(frozen=True, slots=True)
class AuthenticatedRequest:
    """A request as everybody behind the entry sees it.

    :param tenant: on whose behalf; ``None`` where no key is asked for.
    """

    request: HttpRequest
    tenant: Tenant | None

    @property
    def tenant_name(self) -> str:
        """Return the tenant's name, empty for none."""
        return self.tenant.name if self.tenant is not None else ""

    def priority(self, route: Route) -> int:
        """Return the tenant's priority, or else the route's."""
        if self.tenant is None or self.tenant.priority is None:
            return route.priority
        return self.tenant.priority


class Authentication:
    """Looks keys up, and refuses what they do not allow.

    A status that ends a client's tries is given only where a newer key would be known here.
    """

    def __init__(
        self,
        names: HeaderNames,
        is_stale: Callable[[], bool],
        is_fresh: Callable[[], bool],
        random_source: random.Random,
    ) -> None:
        """Judge by the age of what is known here.

        :param is_stale: tells whether a key that ended long ago may still be believed here.
        :param is_fresh: tells whether a newer configuration would be known here.
        """
        self._names = names
        self._is_stale = is_stale
        self._is_fresh = is_fresh
        self._random = random_source

    def authenticate(
        self, routes: RoutesInForce, route: Route, request: HttpRequest
    ) -> AuthenticatedRequest | RequestOutcome:
        """Return the request without its key, or why it may not run.

        Two sets of credentials are refused whatever is known: no newer configuration allows them.
        """
        if not routes.keys.required:
            return AuthenticatedRequest(without_tenant(request, self._names), None)
        identity = routes.keys.identify(request)
        if isinstance(identity, Ambiguous):
            return Invalid(STATUS_BAD_REQUEST, "authorization: must stand at most once")
        if not route.public:
            if self._is_stale():
                return self._not_run("what the operator asked for lately may not be known here")
            if isinstance(identity, Unknown):
                return self._unknown(identity)
        tenant = identity.tenant if isinstance(identity, Known) else None
        return AuthenticatedRequest(without_credentials(request, tenant, self._names), tenant)

    def _unknown(self, identity: Unknown) -> RequestOutcome:
        """Refuse a key for good, or until it is certain that it is not new."""
        if self._is_fresh():
            return Unauthorized(identity.detail)
        return self._not_run(f"{identity.detail}, and no word from store or peers lately")

    def _not_run(self, detail: str) -> NotRun:
        spread = self._random.uniform(1.0, 1.0 + RETRY_SPREAD)
        return NotRun(detail, RETRY_STALE_S * spread)


def without_tenant(request: HttpRequest, names: HeaderNames) -> HttpRequest:
    """Drop what a client says of its tenant where there are none; most say nothing."""
    if all(name != names.tenant for name, _ in request.headers):
        return request
    headers = tuple(header for header in request.headers if header[0] != names.tenant)
    return HttpRequest(request.method, request.target, headers, request.body, request.keep_alive)
