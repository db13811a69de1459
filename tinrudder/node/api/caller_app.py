"""Owns the callers' HTTP application, which runs queries and returns outcomes; see docs/API.md."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import msgspec
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from tinrudder.node.api.authentication import authenticate
from tinrudder.node.api.cursor import CursorCodec, PagePosition
from tinrudder.node.api.disconnect import CallerGoneError, run_unless_disconnected
from tinrudder.node.api.finished_query import FinishedQuery, QueryObserver
from tinrudder.node.api.outcome_mapping import body_of, headers_of, status_of
from tinrudder.node.api.problems import (
    JSON,
    ProblemReason,
    RequestProblemError,
    on_http_exception,
    on_internal_error,
    problem_response,
)
from tinrudder.node.api.query_body import (
    QueryBody,
    UnknownResourceError,
    cursor_scope,
    decode_cursor,
    decode_query_body,
    find_rule,
    make_request,
)
from tinrudder.node.api.request_body import read_json_body
from tinrudder.node.api.stream import NDJSON, QueryStream
from tinrudder.node.outcomes import (
    Complete,
    MayHaveRun,
    MayHaveRunReason,
    NotRun,
    NotRunReason,
    Outcome,
    Partial,
)
from tinrudder.node.query.coordinator import QueryRunner
from tinrudder.node.resources.configuration import Configuration
from tinrudder.node.resources.model import QueryRuleSpec
from tinrudder.timers import Timers

QUERY_ID_BYTES = 16
"""Random bytes in a query id."""
UNKNOWN_RESOURCE = NotRun(NotRunReason.UNKNOWN_RESOURCE, "index or rule: unknown to this tenant")

_encoder = msgspec.json.Encoder()


def new_query_id() -> str:
    """Return an unguessable id."""
    return secrets.token_hex(QUERY_ID_BYTES)


@dataclass(slots=True)
class CallerQuery:
    """State of one query while the application handles it.

    :param started: clock time at which the body had been read, in seconds.
    :param rule: ``None`` if index or rule is unknown to the tenant.
    """

    query_id: str
    tenant: str
    body: QueryBody
    started: float
    rule: QueryRuleSpec | None = None
    position: PagePosition | None = field(default=None)


class CallerApplication:
    """Authenticates callers, and validates and runs their queries."""

    def __init__(
        self,
        timers: Timers,
        runner: QueryRunner,
        configuration: Callable[[], Configuration],
        cursors: CursorCodec,
        observers: Sequence[QueryObserver] = (),
    ) -> None:
        """Run queries through ``runner`` and pass each finished query to ``observers``."""
        self._timers = timers
        self._runner = runner
        self._configuration = configuration
        self._cursors = cursors
        self._observers = observers
        self.app = Starlette(
            routes=[
                Route("/v1/query", self.query, methods=["POST"]),
                Route("/v1/stream", self.stream, methods=["POST"]),
            ],
            exception_handlers={
                HTTPException: on_http_exception,
                Exception: on_internal_error,
            },
        )

    async def query(self, request: Request) -> Response:
        """Answer ``POST /v1/query``."""
        if NDJSON in request.headers.get("accept", ""):
            return await self.stream(request)
        query_id = new_query_id()
        try:
            query = await self._read_query(request, query_id)
        except RequestProblemError as problem:
            return problem_response(query_id, problem)
        if query.rule is None:
            outcome: Outcome = UNKNOWN_RESOURCE
        else:
            outcome = await self._run(request, query, query.rule)
        self._notify_observers(query, outcome)
        return self._respond(query, outcome)

    async def stream(self, request: Request) -> Response:
        """Answer ``POST /v1/stream``."""
        query_id = new_query_id()
        try:
            query = await self._read_query(request, query_id)
        except RequestProblemError as problem:
            return problem_response(query_id, problem)
        if query.rule is None:
            self._notify_observers(query, UNKNOWN_RESOURCE)
            return self._respond(query, UNKNOWN_RESOURCE)
        rule = query.rule

        async def run_page(position: PagePosition | None) -> Outcome:
            now = self._timers.time()
            page = make_request(query_id, query.tenant, query.body, rule, position, now)
            return await self._runner.run(page)

        def on_end(outcome: Outcome) -> None:
            self._notify_observers(query, outcome)

        def encode_cursor(position: PagePosition) -> str:
            return self._cursors.encode(position, cursor_scope(query.body, query.tenant))

        return QueryStream(query_id, query.position, run_page, encode_cursor, on_end)

    async def _read_query(self, request: Request, query_id: str) -> CallerQuery:
        """Authenticate the caller, then read and validate the request's body.

        :raises RequestProblemError: naming the field and the rule that it breaks.
        """
        configuration = self._configuration()
        tenant = authenticate(request.headers.get("authorization"), configuration)
        if tenant is None:
            rule = "not a valid credential"
            raise RequestProblemError(ProblemReason.UNAUTHORIZED, "authorization", rule)
        body = decode_query_body(await read_json_body(request))
        query = CallerQuery(query_id, tenant, body, self._timers.time())
        try:
            query.rule = find_rule(body, tenant, self._configuration())
        except UnknownResourceError:
            return query
        query.position = decode_cursor(body, tenant, self._cursors)
        return query

    async def _run(self, request: Request, query: CallerQuery, rule: QueryRuleSpec) -> Outcome:
        """Run one page; cancel it if the caller disconnects."""
        query_request = make_request(
            query.query_id, query.tenant, query.body, rule, query.position, query.started
        )
        try:
            return await run_unless_disconnected(request.receive, self._runner.run(query_request))
        except CallerGoneError:
            return MayHaveRun(MayHaveRunReason.CANCELLED, "the caller went away")

    def _notify_observers(self, query: CallerQuery, outcome: Outcome) -> None:
        """Pass a finished query to the observers."""
        finished = FinishedQuery(
            query.query_id,
            query.tenant,
            query.rule.service if query.rule else "",
            query.body.index,
            query.body.rule,
            outcome,
            status_of(outcome),
            self._timers.time() - query.started,
        )
        for observer in self._observers:
            observer(finished)

    def _respond(self, query: CallerQuery, outcome: Outcome) -> Response:
        """Return the HTTP response for an outcome, with a cursor if there is a next page."""
        cursor = None
        if isinstance(outcome, Complete | Partial) and outcome.answer.next_after is not None:
            position = PagePosition(outcome.answer.version, outcome.answer.next_after)
            cursor = self._cursors.encode(position, cursor_scope(query.body, query.tenant))
        content = _encoder.encode(body_of(query.query_id, outcome, cursor))
        return Response(content, status_of(outcome), headers_of(outcome), JSON)
