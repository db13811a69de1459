"""The callers' HTTP application: one query in, one truthful outcome out."""

from __future__ import annotations

import asyncio
import math
import uuid
from collections.abc import Callable

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from tinrudder.api.authentication import authenticate
from tinrudder.api.cursor import CursorCodec, CursorError, PagePosition
from tinrudder.api.outcome_mapping import OutcomeBody, body_of, status_of
from tinrudder.logs import LogValue, log_event
from tinrudder.outcomes import Complete, NotRun, NotRunReason, Outcome, Partial
from tinrudder.query.coordinator import QueryRunner
from tinrudder.query.request import QueryRequest
from tinrudder.resources.configuration import Configuration
from tinrudder.timers import Timers

MAX_BODY_BYTES = 64 * 1024
UNAUTHORIZED = 401
CONTENT_TOO_LARGE = 413
JSON = "application/json"


class QueryBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a caller sends.

    :param match: field values that rows must have.
    :param deadline_ms: shortens the rule's hard deadline, never lengthens it.
    :param cursor: where a former page ended; pins its index version.
    """

    index: str
    rule: str
    match: dict[str, str] = {}
    order_by: str = "time"
    descending: bool = False
    limit: int = 100
    deadline_ms: int | None = None
    cursor: str | None = None


_body_decoder = msgspec.json.Decoder(QueryBody)
_encoder = msgspec.json.Encoder()


class CallerApplication:
    """Authenticates, checks and runs callers' queries."""

    def __init__(
        self,
        timers: Timers,
        runner: QueryRunner,
        configuration: Callable[[], Configuration],
        cursors: CursorCodec,
    ) -> None:
        """Run queries through ``runner``."""
        self._timers = timers
        self._runner = runner
        self._configuration = configuration
        self._cursors = cursors
        self.app = Starlette(routes=[Route("/v1/query", self.query, methods=["POST"])])

    async def query(self, request: Request) -> Response:
        """Answer ``POST /v1/query``."""
        query_id = uuid.uuid4().hex
        configuration = self._configuration()
        tenant = authenticate(request.headers.get("authorization"), configuration)
        if tenant is None:
            return _error(query_id, UNAUTHORIZED, "authorization: not a valid credential")
        body = await _read_body(request)
        if body is None:
            detail = f"body: longer than {MAX_BODY_BYTES} bytes"
            return _error(query_id, CONTENT_TOO_LARGE, detail)
        started = self._timers.time()
        try:
            parsed = self._parse(query_id, tenant, body, configuration)
        except (msgspec.MsgspecError, CursorError) as error:
            outcome: Outcome = NotRun(NotRunReason.INVALID_REQUEST, str(error))
            return self._respond(query_id, tenant, outcome)
        outcome = await self._run_unless_disconnected(request, parsed)
        elapsed_ms = round((self._timers.time() - started) * 1000, 3)
        response = self._respond(query_id, tenant, outcome)
        fields: dict[str, LogValue] = {
            "query_id": query_id,
            "tenant": tenant,
            "index": parsed.index,
            "rule": parsed.rule,
            "status": response.status_code,
            "outcome": type(outcome).__name__,
            "elapsed_ms": elapsed_ms,
        }
        log_event("query", fields)
        return response

    def _parse(
        self, query_id: str, tenant: str, body: bytes, configuration: Configuration
    ) -> QueryRequest:
        """Check the body and turn it into a request."""
        query = _body_decoder.decode(body)
        rule = configuration.rules.get(query.rule)
        allowed_ms = rule.hard_deadline_ms if rule else 0
        if query.deadline_ms is not None:
            allowed_ms = min(allowed_ms, query.deadline_ms)
        max_rows = rule.max_rows if rule else 1
        position: PagePosition | None = None
        if query.cursor is not None:
            position = self._cursors.decode(query.cursor, tenant, query.index)
        return QueryRequest(
            query_id=query_id,
            tenant=tenant,
            index=query.index,
            rule=query.rule,
            match=query.match,
            order_by=query.order_by,
            descending=query.descending,
            limit=max(1, min(query.limit, max_rows)),
            deadline=self._timers.time() + allowed_ms / 1000,
            version=position.version if position else None,
            after=position.after if position else None,
        )

    async def _run_unless_disconnected(self, request: Request, parsed: QueryRequest) -> Outcome:
        """Run the query; a caller that goes away frees its work."""
        run = asyncio.ensure_future(self._runner.run(parsed))
        gone = asyncio.ensure_future(_wait_for_disconnect(request))
        try:
            await asyncio.wait((run, gone), return_when=asyncio.FIRST_COMPLETED)
            if run.done():
                return run.result()
            return NotRun(NotRunReason.CANCELLED, "the caller went away")
        finally:
            run.cancel()
            gone.cancel()

    def _respond(self, query_id: str, tenant: str, outcome: Outcome) -> Response:
        """Encode an outcome."""
        cursor = None
        if isinstance(outcome, Complete | Partial) and outcome.answer.next_after is not None:
            position = PagePosition(outcome.answer.version, outcome.answer.next_after)
            cursor = self._cursors.encode(position, tenant)
        headers = {}
        if isinstance(outcome, NotRun) and outcome.retry_after_s is not None:
            headers["Retry-After"] = str(math.ceil(outcome.retry_after_s))
        content = _encoder.encode(body_of(query_id, outcome, cursor))
        return Response(content, status_of(outcome), headers, JSON)


async def _read_body(request: Request) -> bytes | None:
    """Return the body, ``None`` when it is longer than allowed."""
    parts: list[bytes] = []
    size = 0
    async for part in request.stream():
        size += len(part)
        if size > MAX_BODY_BYTES:
            return None
        parts.append(part)
    return b"".join(parts)


async def _wait_for_disconnect(request: Request) -> None:
    """Return when the caller has closed its connection."""
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            return


def _error(query_id: str, status: int, detail: str) -> Response:
    """Return an error that never reached the query core."""
    body = OutcomeBody(query_id, "not_run", NotRunReason.INVALID_REQUEST.value, detail)
    return Response(_encoder.encode(body), status, media_type=JSON)
