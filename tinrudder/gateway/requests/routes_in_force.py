"""The configuration in force, indexed by route, key and tenant.

Owns the index and each route's rotation over its services.  Both are rebuilt from every new
configuration, so no state of an older one remains.
"""

from __future__ import annotations

import random

from msgspec import Struct, field

from tinrudder.gateway.decisions.placement.route_table import RouteTable
from tinrudder.gateway.decisions.placement.weighted_rotation import WeightedRotation
from tinrudder.gateway.model.configuration import GatewayConfiguration, Route, Tenant
from tinrudder.gateway.model.http_messages import HttpRequest
from tinrudder.gateway.requests.api_keys import KeyIndex

INITIAL_TURNS = 240
"""Upper bound of the random number of turns that a new rotation skips.  It has many divisors, so
that it covers whole rounds for most weights.  Gateways start at different turns, so that the shares
of traffic hold over the fleet although each gateway receives few requests."""


class RoutesInForce(Struct):
    """One configuration, indexed.

    :param keys: the tenants by key.
    :param tenants: the tenants by name.
    :param priorities: the priorities of all routes and tenants, the most urgent first.
    """

    configuration: GatewayConfiguration
    table: RouteTable[Route]
    priorities: tuple[int, ...]
    keys: KeyIndex
    tenants: dict[str, Tenant]
    _rotations: dict[str, WeightedRotation] = field(default_factory=dict)

    @classmethod
    def of(cls, configuration: GatewayConfiguration) -> RoutesInForce:
        """Index a configuration."""
        priorities = {route.priority for route in configuration.routes}
        tenants = {tenant.name: tenant for tenant in configuration.tenants}
        priorities |= {one.priority for one in tenants.values() if one.priority is not None}
        return cls(
            configuration,
            RouteTable(configuration.routes),
            tuple(sorted(priorities)),
            KeyIndex.of(configuration),
            tenants,
        )

    def find(self, request: HttpRequest) -> Route | None:
        """Return the route that matches a request's host and the longest prefix of its path."""
        host = next(value for name, value in request.headers if name == b"host")
        name = host.decode("latin-1").lower()
        if name.count(":") == 1:
            name = name.partition(":")[0]
        return self.table.find(name, request.path.decode("latin-1"))

    def priority_steps(self, priority: int) -> int:
        """Return how many configured priorities are more urgent than ``priority``."""
        return sum(1 for other in self.priorities if other < priority)

    def choose_service(self, route: Route, random_source: random.Random) -> str:
        """Return the next service of the rotation of a route to one back end."""
        if len(route.services) == 1:
            return route.services[0].service
        rotation = self._rotations.get(route.name)
        if rotation is None:
            weights = {part.service: part.weight for part in route.services}
            rotation = WeightedRotation(weights, random_source.randrange(INITIAL_TURNS))
            self._rotations[route.name] = rotation
        return rotation.next()
