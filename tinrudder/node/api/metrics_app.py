"""Owns the ``/metrics`` route, open to operators and to scrapers on the same machine."""

from __future__ import annotations

import ipaddress
from collections.abc import Mapping

from prometheus_client import CONTENT_TYPE_LATEST
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from tinrudder.node.api.operators.operator_authentication import authenticate_operator
from tinrudder.node.api.problems import ProblemReason, RequestProblemError, problem_response
from tinrudder.node.metrics import NodeMetrics


def metrics_route(metrics: NodeMetrics, operators: Mapping[str, str]) -> Route:
    """Return the ``/metrics`` route.

    :param operators: SHA-256 of each operator's secret, by key id.
    """

    async def show(request: Request) -> Response:
        if not _is_local(request) and not _is_operator(request, operators):
            rule = "an operator's credential, or a connection from the same machine"
            problem = RequestProblemError(ProblemReason.UNAUTHORIZED, "authorization", rule)
            return problem_response("", problem)
        return Response(metrics.render(), media_type=CONTENT_TYPE_LATEST)

    return Route("/metrics", show)


def _is_operator(request: Request, operators: Mapping[str, str]) -> bool:
    header = request.headers.get("authorization")
    return authenticate_operator(header, operators) is not None


def _is_local(request: Request) -> bool:
    """Return whether the connection comes from a loopback address."""
    if request.client is None:
        return False
    try:
        return ipaddress.ip_address(request.client.host).is_loopback
    except ValueError:
        return False
