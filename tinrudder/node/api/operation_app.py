"""Owns ``POST /v1/operations``, for requests that must run at most once; see docs/API.md."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Sequence
from typing import Annotated, Protocol

import msgspec
from msgspec import Meta
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from tinrudder.node.api.authentication import authenticate
from tinrudder.node.api.disconnect import CallerGoneError, run_unless_disconnected
from tinrudder.node.api.finished_query import FinishedQuery, QueryObserver
from tinrudder.node.api.outcome_mapping import body_of, headers_of, status_of
from tinrudder.node.api.problems import (
    JSON,
    ProblemReason,
    RequestProblemError,
    invalid_body,
    problem_response,
)
from tinrudder.node.api.query_body import MAX_MATCH_FIELDS, MatchValue, ShortText
from tinrudder.node.api.request_body import read_json_body
from tinrudder.node.outcomes import MayHaveRun, MayHaveRunReason, NotRun, NotRunReason, Outcome
from tinrudder.node.query.operations.operation_request import OperationRequest
from tinrudder.node.resources.configuration import Configuration
from tinrudder.node.resources.model import QueryRuleSpec
from tinrudder.timers import Timers

QUERY_ID_BYTES = 16
"""Random bytes in a query id."""


class OperationBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """JSON body of an operation request.

    :param key: idempotency key set by the caller, the same in all submissions of one request.
    :param valid_until: expiry in seconds since 1970; the same in all submissions of one request.
    :param resubmission: whether the key was submitted before with an unknown outcome.
    """

    index: ShortText
    rule: ShortText
    operation: ShortText
    key: Annotated[str, Meta(min_length=8, max_length=200)]
    valid_until: Annotated[float, Meta(gt=0, lt=1e11)]
    match: Annotated[dict[ShortText, MatchValue], Meta(max_length=MAX_MATCH_FIELDS)] = {}
    resubmission: bool = False


class OperationService(Protocol):
    """Runs operations; implemented in :mod:`tinrudder.node.query.operations.at_most_once`."""

    async def run(self, request: OperationRequest) -> Outcome:
        """Run one submission and return its outcome."""


_decoder = msgspec.json.Decoder(OperationBody)
_encoder = msgspec.json.Encoder()


def operation_route(
    timers: Timers,
    operations: OperationService,
    configuration: Callable[[], Configuration],
    observers: Sequence[QueryObserver] = (),
) -> Route:
    """Return the route; each finished operation is passed to ``observers``."""

    async def operate(request: Request) -> Response:
        query_id = secrets.token_hex(QUERY_ID_BYTES)
        try:
            tenant, body = await _read(request, configuration)
        except RequestProblemError as problem:
            return problem_response(query_id, problem)
        started = timers.time()
        rule = _visible_rule(body, tenant, configuration())
        outcome: Outcome = NotRun(NotRunReason.UNKNOWN_RESOURCE, "unknown to this tenant")
        if rule is not None:
            operation = _make_operation_request(
                query_id, tenant, body, started + rule.hard_deadline_ms / 1000
            )
            outcome = await _run(request, operations, operation)
        finished = FinishedQuery(
            query_id,
            tenant,
            rule.service if rule is not None else "",
            body.index,
            body.rule,
            outcome,
            status_of(outcome),
            timers.time() - started,
        )
        for observer in observers:
            observer(finished)
        content = _encoder.encode(body_of(query_id, outcome, None))
        return Response(content, status_of(outcome), headers_of(outcome), JSON)

    return Route("/v1/operations", operate, methods=["POST"])


async def _read(
    request: Request, configuration: Callable[[], Configuration]
) -> tuple[str, OperationBody]:
    """Authenticate the caller, then read and validate the request's body.

    :returns: the tenant and the body.
    :raises RequestProblemError: naming the field and the rule that it breaks.
    """
    tenant = authenticate(request.headers.get("authorization"), configuration())
    if tenant is None:
        rule = "not a valid credential"
        raise RequestProblemError(ProblemReason.UNAUTHORIZED, "authorization", rule)
    content = await read_json_body(request)
    try:
        return tenant, _decoder.decode(content)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise invalid_body(error) from error


def _visible_rule(
    body: OperationBody, tenant: str, configuration: Configuration
) -> QueryRuleSpec | None:
    """Return the rule of an operation, ``None`` if the tenant may not use it."""
    rule = configuration.rules.get(body.rule)
    index = configuration.indexes.get(body.index)
    if rule is None or index is None or rule.service != index.service:
        return None
    service = configuration.services.get(index.service)
    return rule if service is not None and tenant in service.tenants else None


def _make_operation_request(
    query_id: str, tenant: str, body: OperationBody, deadline: float
) -> OperationRequest:
    return OperationRequest(
        query_id,
        tenant,
        body.index,
        body.rule,
        body.operation,
        body.key,
        body.valid_until,
        body.match,
        deadline,
        body.resubmission,
    )


async def _run(
    request: Request, operations: OperationService, operation: OperationRequest
) -> Outcome:
    """Run one submission; a started operation outlives a disconnect, for a resubmission."""
    try:
        return await run_unless_disconnected(request.receive, operations.run(operation))
    except CallerGoneError:
        return MayHaveRun(MayHaveRunReason.CANCELLED, "the caller went away")
