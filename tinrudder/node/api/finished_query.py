"""What is known of a caller's query once it has ended, for logs, metrics and explain."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from tinrudder.common.logs import LogValue, log_event
from tinrudder.node.outcomes import Complete, Outcome, reason_of


@dataclass(frozen=True, slots=True)
class FinishedQuery:
    """One ended query of one caller.

    :param service: the service it went to, empty when index or rule is unknown to the tenant.
    :param elapsed_s: from the read body to the outcome.
    """

    query_id: str
    tenant: str
    service: str
    index: str
    rule: str
    outcome: Outcome
    status: int
    elapsed_s: float


QueryObserver = Callable[[FinishedQuery], None]


class QueryLog:
    """Logs one JSON line per query: all that are not complete, and a share of the others.

    >>> log = QueryLog(0.5)
    >>> [log.takes_next() for _ in range(4)]
    [False, True, False, True]
    """

    def __init__(self, share: float) -> None:
        """Log every complete query for ``share`` 1.0, none for 0.0."""
        self._share = share
        self._due = 0.0

    def __call__(self, query: FinishedQuery) -> None:
        """Log a query if its turn has come or it did not go well."""
        if isinstance(query.outcome, Complete) and not self.takes_next():
            return
        fields: dict[str, LogValue] = {
            "query_id": query.query_id,
            "tenant": query.tenant,
            "index": query.index,
            "rule": query.rule,
            "status": query.status,
            "outcome": type(query.outcome).__name__,
            "reason": reason_of(query.outcome),
            "elapsed_ms": round(query.elapsed_s * 1000, 3),
        }
        log_event("query", fields)

    def takes_next(self) -> bool:
        """Tell whether the next complete query is logged."""
        self._due += self._share
        if self._due < 1.0:
            return False
        self._due -= 1.0
        return True
