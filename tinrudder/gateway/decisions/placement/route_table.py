"""Finds a request's route: its host, then the longest path prefix that begins the path."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Generic, Protocol, TypeVar

SEPARATOR = "/"


class RoutedPath(Protocol):
    """What a route must tell to be found."""

    @property
    def host(self) -> str:
        """Return the host, in lower case."""

    @property
    def path_prefix(self) -> str:
        """Return the prefix, which begins and ends with a slash."""


RouteType = TypeVar("RouteType", bound=RoutedPath)


class RouteTable(Generic[RouteType]):
    """An immutable index over routes.

    Cost: one dictionary look-up for each slash in the path, however many routes there are.
    """

    def __init__(self, routes: Iterable[RouteType]) -> None:
        """Index the routes."""
        self._routes = {(route.host, route.path_prefix): route for route in routes}
        self._hosts = {route.host for route in self._routes.values()}

    def find(self, host: str, path: str) -> RouteType | None:
        """Return the route with the longest matching prefix.

        :param host: as in the request, in lower case and without a port.
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
