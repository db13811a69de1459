"""Owns the typed JSON errors of requests that are refused before they reach the query core.

Every error names the field and the rule that it breaks.  Errors don't depend on resources of other
tenants, so they reveal nothing about them.
"""

from __future__ import annotations

import enum
import re

import msgspec
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import Response

JSON = "application/json"
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
UNAUTHORIZED = 401
DECODER_MESSAGE_PATTERN = re.compile(r"^(?P<rule>.*?)(?: - at `\$\.?(?P<path>.*)`)?$", re.DOTALL)
FIELD_NAME_PATTERN = re.compile(r"`(?P<field>[^`]*)`$")


class ProblemReason(enum.StrEnum):
    """Why a request was refused before it became a query."""

    UNAUTHORIZED = "unauthorized"
    INVALID_REQUEST = "invalid_request"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TOO_SLOW = "body_too_slow"
    UNSUPPORTED_CONTENT = "unsupported_content"
    UNKNOWN_PATH = "unknown_path"
    UNKNOWN_QUERY = "unknown_query"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    INTERNAL_ERROR = "internal_error"


STATUS_OF_PROBLEM: dict[ProblemReason, int] = {
    ProblemReason.INVALID_REQUEST: 400,
    ProblemReason.UNAUTHORIZED: UNAUTHORIZED,
    ProblemReason.UNKNOWN_PATH: NOT_FOUND,
    ProblemReason.UNKNOWN_QUERY: NOT_FOUND,
    ProblemReason.METHOD_NOT_ALLOWED: METHOD_NOT_ALLOWED,
    ProblemReason.BODY_TOO_SLOW: 408,
    ProblemReason.BODY_TOO_LARGE: 413,
    ProblemReason.UNSUPPORTED_CONTENT: 415,
    ProblemReason.INTERNAL_ERROR: 500,
}
CONNECTION_CLOSING_REASONS = frozenset(
    {
        ProblemReason.UNAUTHORIZED,
        ProblemReason.BODY_TOO_LARGE,
        ProblemReason.BODY_TOO_SLOW,
        ProblemReason.UNSUPPORTED_CONTENT,
    }
)
"""The body may be unread after these, so the connection can't carry another request."""


class ProblemBody(msgspec.Struct, frozen=True):
    """Body of an error response.

    :param outcome: ``not_run``, but ``may_have_run`` for ``internal_error``.
    """

    query_id: str
    reason: str
    field: str
    rule: str
    outcome: str = "not_run"
    detail: str = ""


class RequestProblemError(Exception):
    """A request that breaks a rule.

    :param field: the invalid part: a body field, a header, ``body``, ``method`` or ``path``.
    :param rule: the rule that it breaks.
    """

    def __init__(self, reason: ProblemReason, field: str, rule: str) -> None:
        """Build the message from field and rule."""
        super().__init__(f"{field}: {rule}")
        self.reason = reason
        self.field = field
        self.rule = rule


def problem_response(query_id: str, problem: RequestProblemError) -> Response:
    """Return the HTTP response to a refused request."""
    headers = {}
    if problem.reason in CONNECTION_CLOSING_REASONS:
        headers["Connection"] = "close"
    if problem.reason is ProblemReason.UNAUTHORIZED:
        headers["WWW-Authenticate"] = "Bearer"
    body = ProblemBody(
        query_id, problem.reason.value, problem.field, problem.rule, detail=str(problem)
    )
    status = STATUS_OF_PROBLEM[problem.reason]
    return Response(msgspec.json.encode(body), status, headers, JSON)


def invalid_body(error: msgspec.MsgspecError | UnicodeDecodeError) -> RequestProblemError:
    """Convert a decoder's error into one that names field and rule.

    >>> problem = invalid_body(msgspec.ValidationError("Expected `int` >= 1 - at `$.limit`"))
    >>> problem.field, problem.rule
    ('limit', 'Expected `int` >= 1')
    >>> invalid_body(msgspec.ValidationError("Object contains unknown field `x`")).field
    'x'
    >>> invalid_body(msgspec.DecodeError("JSON is malformed")).field
    'body'
    """
    match = DECODER_MESSAGE_PATTERN.match(str(error))
    rule, path = (match["rule"], match["path"]) if match else (str(error), None)
    quoted_field = FIELD_NAME_PATTERN.search(rule)
    if not path and quoted_field and "field" in rule:
        path = quoted_field["field"]
    return RequestProblemError(ProblemReason.INVALID_REQUEST, path or "body", rule)


async def on_internal_error(_: Request, error: Exception) -> Response:
    """Answer an unexpected exception without details; starlette re-raises it for the log.

    The exception may come from any stage of the request, so the outcome is ``may_have_run``.
    """
    reason = ProblemReason.INTERNAL_ERROR
    body = ProblemBody("", reason.value, "", "", outcome="may_have_run", detail="internal error")
    return Response(msgspec.json.encode(body), STATUS_OF_PROBLEM[reason], media_type=JSON)


async def on_http_exception(request: Request, error: Exception) -> Response:
    """Answer unknown paths and methods, as a starlette exception handler."""
    status = error.status_code if isinstance(error, HTTPException) else NOT_FOUND
    if status == METHOD_NOT_ALLOWED:
        rule = f"not {request.method} on this path"
        problem = RequestProblemError(ProblemReason.METHOD_NOT_ALLOWED, "method", rule)
    else:
        problem = RequestProblemError(ProblemReason.UNKNOWN_PATH, "path", "no such path")
    response = problem_response("", problem)
    if isinstance(error, HTTPException) and error.headers:
        response.headers.update(error.headers)
    return response
