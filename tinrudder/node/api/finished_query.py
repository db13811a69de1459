"""Owns the record of a finished query, which feeds logs, metrics and explain, and the query log."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from tinrudder.common.logs import LogValue, log_event
from tinrudder.node.outcomes import Complete, Outcome, reason_of


@dataclass(frozen=True, slots=True)
class FinishedQuery:
    """A finished query or operation of a caller.

    :param service: service of the query, empty if index or rule is unknown to the tenant.
    :param elapsed_s: seconds from reading the body to the outcome.
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
    """Logs a JSON line for each query that is not complete and for a share of the complete ones.

    >>> log = QueryLog(0.5)
    >>> [log.should_log_next() for _ in range(4)]
    [False, True, False, True]
    """

    def __init__(self, share: float) -> None:
        """Log this share of complete queries: 1.0 for all, 0.0 for none."""
        self._share = share
        self._accumulated_share = 0.0

    def __call__(self, query: FinishedQuery) -> None:
        """Log a query if it is not complete or is selected as a sample."""
        if isinstance(query.outcome, Complete) and not self.should_log_next():
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

    def should_log_next(self) -> bool:
        """Count one complete query; return whether to log it."""
        self._accumulated_share += self._share
        if self._accumulated_share < 1.0:
            return False
        self._accumulated_share -= 1.0
        return True
