"""A query after authentication, with the tenant taken from the credential.

Values only.  Created by the API from a request body, and by ``relay`` for another node's query.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class QueryRequest:
    """One query of one tenant.

    :param tenant: the authenticated tenant, never a field of the request body.
    :param deadline: this node's monotonic time by which the outcome must be known.
    :param version: the pinned index version of a later page, ``None`` for the first page.
    :param after: sort key and id of the row after which the page starts, ``None`` for the first.
    :param operation: name of a non-repeatable operation, ``None`` for a search.
    :param request_key: the caller's key for a request that must run at most once.
    :param valid_until: wall-clock time in seconds at which ``request_key`` expires.
    :param shards: the only shards to query, empty for all.
    """

    query_id: str
    tenant: str
    index: str
    rule: str
    match: dict[str, str]
    order_by: str
    descending: bool
    limit: int
    deadline: float
    version: int | None = None
    after: tuple[float, str] | None = None
    operation: str | None = None
    request_key: str | None = None
    valid_until: float | None = None
    shards: tuple[str, ...] = field(default=())
