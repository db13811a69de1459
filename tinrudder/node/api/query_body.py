"""Owns the validation of a caller's query and its conversion to a query of the core."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from tinrudder.node.api.cursor import CursorCodec, CursorError, CursorScope, PagePosition
from tinrudder.node.api.problems import ProblemReason, RequestProblemError, invalid_body
from tinrudder.node.query.request import QueryRequest
from tinrudder.node.resources.configuration import Configuration
from tinrudder.node.resources.model import QueryRuleSpec

MAX_MATCH_FIELDS = 32
"""Fields in one ``match``."""
DEFAULT_LIMIT = 100
"""Rows per page if the caller states no limit."""

ShortText = Annotated[str, Meta(min_length=1, max_length=100)]
MatchValue = Annotated[str, Meta(max_length=1000)]


class QueryBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """JSON body of a query request.

    :param match: required field values of returned rows.
    :param limit: rows per page, capped by the rule's ``max_rows``.
    :param deadline_ms: shortens the rule's hard deadline, never lengthens it.
    :param cursor: end of the previous page; pins its index version.
    """

    index: ShortText
    rule: ShortText
    match: Annotated[dict[ShortText, MatchValue], Meta(max_length=MAX_MATCH_FIELDS)] = {}
    order_by: ShortText = "time"
    descending: bool = False
    limit: Annotated[int, Meta(ge=1, le=10_000)] = DEFAULT_LIMIT
    deadline_ms: Annotated[int, Meta(ge=1, le=600_000)] | None = None
    cursor: Annotated[str, Meta(max_length=2000)] | None = None


_decoder = msgspec.json.Decoder(QueryBody)


class UnknownResourceError(Exception):
    """The index or rule does not exist or belongs to another tenant.

    Callers get the same response for both, without the delay of a relay, so that neither the text
    nor the timing reveals what other tenants have.
    """


def decode_query_body(body: bytes) -> QueryBody:
    """Return the decoded and validated body.

    :raises RequestProblemError: naming the field and the rule that it breaks.
    """
    try:
        return _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise invalid_body(error) from error


def find_rule(body: QueryBody, tenant: str, configuration: Configuration) -> QueryRuleSpec:
    """Return the rule of a query.

    :raises UnknownResourceError: if the tenant has no such index with this rule.
    """
    rule = configuration.rules.get(body.rule)
    index = configuration.indexes.get(body.index)
    service = configuration.services.get(index.service) if index is not None else None
    if rule is None or index is None or service is None:
        raise UnknownResourceError
    if rule.service != index.service or tenant not in service.tenants:
        raise UnknownResourceError
    return rule


def cursor_scope(body: QueryBody, tenant: str) -> CursorScope:
    """Return the scope to which a query's cursors are bound."""
    return CursorScope(tenant, body.index, body.order_by, body.descending, body.match)


def decode_cursor(body: QueryBody, tenant: str, cursors: CursorCodec) -> PagePosition | None:
    """Return the start of the requested page, ``None`` for the first one.

    :raises RequestProblemError: if the cursor was not issued to this tenant for this query.
    """
    if body.cursor is None:
        return None
    try:
        return cursors.decode(body.cursor, cursor_scope(body, tenant))
    except CursorError as error:
        raise RequestProblemError(
            ProblemReason.INVALID_REQUEST, "cursor", CursorError.RULE
        ) from error


def make_request(
    query_id: str,
    tenant: str,
    body: QueryBody,
    rule: QueryRuleSpec,
    position: PagePosition | None,
    now: float,
) -> QueryRequest:
    """Return the query for one page; its deadline is relative to ``now``."""
    allowed_ms = rule.hard_deadline_ms
    if body.deadline_ms is not None:
        allowed_ms = min(allowed_ms, body.deadline_ms)
    return QueryRequest(
        query_id=query_id,
        tenant=tenant,
        index=body.index,
        rule=body.rule,
        match=body.match,
        order_by=body.order_by,
        descending=body.descending,
        limit=min(body.limit, rule.max_rows),
        deadline=now + allowed_ms / 1000,
        version=position.version if position else None,
        after=position.after if position else None,
    )
