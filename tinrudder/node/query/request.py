"""A query as the core sees it: already authenticated, its tenant taken from the credential.

Immutable; made by the API from a body, and by ``relay`` from another node.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class QueryRequest:
    """One query of one tenant.

    :param tenant: the authenticated tenant, never a field of the caller's body.
    :param deadline: monotonic time of this node by which the outcome must be known.
    :param version: the pinned index version of a later page, ``None`` on the first.
    :param after: where the page starts.
    :param operation: a non-repeatable operation's name, ``None`` for a search.
    :param request_key: the caller's key for a request that must run at most once.
    :param valid_until: wall-clock seconds until which ``request_key`` is honoured.
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
