"""Owns the liveness and readiness routes, and the closing of connections during a planned stop.

``/healthz`` states that the process works and needs no restart; ``/readyz`` states that it should
receive new queries.  A node that is leaving the cluster is alive but not ready.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from tinrudder.common.lifecycle import NodeLifecycle
from tinrudder.node.resources.configuration import Configuration

OK = 200
UNAVAILABLE = 503
JSON = "application/json"


class HealthBody(msgspec.Struct, frozen=True):
    """JSON body of both routes.

    :param revision: revision of the configuration in force, 0 before the first one.
    """

    state: str
    revision: int


def health_routes(
    lifecycle: NodeLifecycle, configuration: Callable[[], Configuration]
) -> list[Route]:
    """Return the ``/healthz`` and ``/readyz`` routes."""

    def body() -> bytes:
        return msgspec.json.encode(HealthBody(lifecycle.state, configuration().revision))

    async def healthz(_: Request) -> Response:
        return Response(body(), OK, media_type=JSON)

    async def readyz(_: Request) -> Response:
        is_ready = lifecycle.is_ready() and configuration().revision > 0
        return Response(body(), OK if is_ready else UNAVAILABLE, media_type=JSON)

    return [Route("/healthz", healthz), Route("/readyz", readyz)]


class CloseConnectionsWhenStopping:
    """ASGI middleware that adds ``Connection: close`` to every response once a stop has begun.

    Callers then open their next connection to another node, so no connection is cut off when
    this node stops listening.
    """

    def __init__(self, app: ASGIApp, lifecycle: NodeLifecycle) -> None:
        """Wrap ``app``."""
        self._app = app
        self._lifecycle = lifecycle

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request through the wrapped application."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return

        async def send_with_close(message: Message) -> None:
            if message["type"] == "http.response.start" and self._lifecycle.is_stopping():
                message["headers"] = [*message["headers"], (b"connection", b"close")]
            await send(message)

        await self._app(scope, receive, send_with_close)
