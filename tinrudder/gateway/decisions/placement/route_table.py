"""Which route does a request belong to?

A host may have many routes; the longest path prefix is the most specific one.

Inputs: the host in lower case without a port, and the path of the target; the routes of the
configuration in force.

Answer: the route, or ``None``.

Owns: an index of the routes, rebuilt for each configuration; a look-up costs at most one dictionary
access for each slash in the path.

Shown by: log line ``request``, field ``route``; a request without a route ends as UnknownRoute, or
as NotRun where a newer configuration could be in force elsewhere.

When an input is missing or old: before the first configuration every request is refused as not
run; an old configuration is used within the staleness bound.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Generic, Protocol, TypeVar

SEPARATOR = "/"


class RoutedPath(Protocol):
    """The attributes by which a route is looked up."""

    @property
    def host(self) -> str:
        """Return the host, in lower case."""

    @property
    def path_prefix(self) -> str:
        """Return the path prefix, which begins and ends with a slash."""


RouteType = TypeVar("RouteType", bound=RoutedPath)


class RouteTable(Generic[RouteType]):
    """An immutable index over routes.

    Cost: at most one dictionary look-up for each slash in the path, for any number of routes.
    """

    def __init__(self, routes: Iterable[RouteType]) -> None:
        """Index the routes."""
        self._routes = {(route.host, route.path_prefix): route for route in routes}
        self._hosts = {route.host for route in self._routes.values()}

    def find(self, host: str, path: str) -> RouteType | None:
        """Return the route with the longest matching prefix.

        :param host: host of the request, in lower case and without a port.
        """
        if host not in self._hosts:
            return None
        end = path.rfind(SEPARATOR)
        while end >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind(SEPARATOR, 0, end)
        return None
