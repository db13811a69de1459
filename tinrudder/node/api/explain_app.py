"""Owns the route ``GET /v1/explain/{query_id}``, which explains how a finished query was run."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from tinrudder.node.api.operators.operator_authentication import Viewer, authenticate_viewer
from tinrudder.node.api.problems import JSON, ProblemReason, RequestProblemError, problem_response
from tinrudder.node.resources.configuration import Configuration

MAX_QUERY_ID_LENGTH = 64
"""Characters.  Longer ids are answered as unknown without a lookup."""

FindExplanation = Callable[[str, str | None], Awaitable[bytes | None]]


def explain_route(
    find: FindExplanation,
    operators: Mapping[str, str],
    configuration: Callable[[], Configuration],
) -> Route:
    """Return the explain route.

    :param find: called with a query id and a tenant, ``None`` for an operator, who may read the
        queries of all tenants; returns the explanation as JSON, ``None`` if there is none.
    """

    async def show(request: Request) -> Response:
        query_id = request.path_params["query_id"]
        header = request.headers.get("authorization")
        viewer: Viewer | None = authenticate_viewer(header, operators, configuration())
        if viewer is None:
            rule = "not a valid credential"
            problem = RequestProblemError(ProblemReason.UNAUTHORIZED, "authorization", rule)
            return problem_response("", problem)
        found = None
        if len(query_id) <= MAX_QUERY_ID_LENGTH:
            found = await find(query_id, viewer.tenant)
        if found is None:
            rule = "no query of this tenant that is still remembered"
            return problem_response(
                "", RequestProblemError(ProblemReason.UNKNOWN_QUERY, "query_id", rule)
            )
        return Response(found, media_type=JSON)

    return Route("/v1/explain/{query_id}", show)
